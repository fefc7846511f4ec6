package routing

import (
	"cmp"
	"slices"
)

const (
	planExcess = 1.5 // times its even share that the plan gives a prefill engine at most
)

// cell is a cell's part in the plan, in decode engines' weight.
type cell struct {
	id                                   int
	prefillEngines, decodeEngines, reads float64
}

// tally adds up the usable engines' weights by cell, in order of cell.
func (r *Router) tally() []*cell {
	cells := []*cell{}
	for _, w := range r.order {
		if !w.usable {
			continue
		}
		c := cellOf(cells, w.Cell)
		if c == nil {
			c = &cell{id: w.Cell}
			cells = append(cells, c)
		}
		switch w.role() {
		case RolePrefill:
			c.prefillEngines += w.Weight
		case RoleDecode:
			c.decodeEngines += w.Weight
		}
	}
	slices.SortFunc(cells, func(a, b *cell) int { return cmp.Compare(a.id, b.id) })
	return cells
}

// cellOf returns the cell with an id, nil if there is none.
func cellOf(cells []*cell, id int) *cell {
	if i := slices.IndexFunc(cells, func(c *cell) bool { return c.id == id }); i >= 0 {
		return cells[i]
	}
	return nil
}

// plan spreads reads over the cells as their decode engines can take them, but gives no prefill engine more
// than planExcess of an even share. What a cell reads beyond that is answered elsewhere.
func (r *Router) plan() []*cell {
	if r.cells != nil {
		return r.cells
	}
	r.cells = r.tally()
	prefillEngines, decodeEngines, given := 0.0, 0.0, 0.0
	for _, c := range r.cells {
		prefillEngines, decodeEngines = prefillEngines+c.prefillEngines, decodeEngines+c.decodeEngines
	}
	most := planExcess * decodeEngines / max(prefillEngines, 1e-9) // what a prefill engine may get
	for _, c := range r.cells {
		c.reads = min(c.decodeEngines, most*c.prefillEngines)
		given += c.reads
	}
	rest := max(0, decodeEngines-given) / max(most*prefillEngines-given, 1e-9)
	for _, c := range r.cells {
		c.reads += (most*c.prefillEngines - c.reads) * rest
	}
	return r.cells
}
