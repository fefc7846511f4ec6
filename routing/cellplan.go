package routing

import (
	"cmp"
	"slices"
)

const (
	maxEvenShare = 1.5 // at most so many times an even share for a prefill engine
)

// cellCapacity is a cell's part in the plan. All are sums of engines' weights.
type cellCapacity struct {
	id                                           int
	prefillEngines, decodeEngines, prefillTarget float64
}

// tallyCells adds up the usable engines' weights by cell, in order of cell.
func (r *Router) tallyCells() []*cellCapacity {
	cells := []*cellCapacity{}
	for _, e := range r.order {
		if !e.usable {
			continue
		}
		c := findCell(cells, e.Cell)
		if c == nil {
			c = &cellCapacity{id: e.Cell}
			cells = append(cells, c)
		}
		switch e.role() {
		case RolePrefill:
			c.prefillEngines += e.Weight
		case RoleDecode:
			c.decodeEngines += e.Weight
		}
	}
	slices.SortFunc(cells, func(a, b *cellCapacity) int { return cmp.Compare(a.id, b.id) })
	return cells
}

// findCell returns the cell with an id, nil if there is none.
func findCell(cells []*cellCapacity, id int) *cellCapacity {
	if i := slices.IndexFunc(cells, func(c *cellCapacity) bool { return c.id == id }); i >= 0 {
		return cells[i]
	}
	return nil
}

// cellPlan spreads prefills over the cells by the capacity of their decode engines, but gives no
// prefill engine more than maxEvenShare times an even share. What a cell prefills beyond the
// capacity of its decode engines is decoded in other cells.
func (r *Router) cellPlan() []*cellCapacity {
	if r.cells != nil {
		return r.cells
	}
	r.cells = r.tallyCells()
	prefillEngines, decodeEngines, given := 0.0, 0.0, 0.0
	for _, c := range r.cells {
		prefillEngines, decodeEngines = prefillEngines+c.prefillEngines, decodeEngines+c.decodeEngines
	}
	most := maxEvenShare * decodeEngines / max(prefillEngines, 1e-9) // what a prefill engine may get
	for _, c := range r.cells {
		c.prefillTarget = min(c.decodeEngines, most*c.prefillEngines)
		given += c.prefillTarget
	}
	rest := max(0, decodeEngines-given) / max(most*prefillEngines-given, 1e-9)
	for _, c := range r.cells {
		c.prefillTarget += (most*c.prefillEngines - c.prefillTarget) * rest
	}
	return r.cells
}
