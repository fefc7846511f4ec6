package routing

import (
	"cmp"
	"slices"
)

const (
	maxLoadRatio = 1.5 // at most so many times an even share for a prefill engine
)

// cellCapacity is a cell's part in the plan. All are sums of engines' weights.
type cellCapacity struct {
	id                                         int
	prefillWeight, decodeWeight, prefillTarget float64
}

// sumCellCapacities adds up the usable engines' weights by cell, in order of cell.
func sumCellCapacities(engines []*engine) []*cellCapacity {
	cells := []*cellCapacity{}
	for _, e := range engines {
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
			c.prefillWeight += e.Weight
		case RoleDecode:
			c.decodeWeight += e.Weight
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
// capacity of its decode engines is decoded in other cells. It reads the engines' weights and changes
// nothing else. Prefix homes and decode placement ask; a change of the engine list invalidates it.
type cellPlan struct {
	cells []*cellCapacity // in order of cell; nil when the engine list has changed
}

func (p *cellPlan) invalidate() { p.cells = nil }

// capacities returns the capacities over the engines, made anew if need be.
func (p *cellPlan) capacities(engines []*engine) []*cellCapacity {
	if p.cells != nil {
		return p.cells
	}
	p.cells = sumCellCapacities(engines)
	prefillEngines, decodeEngines, given := 0.0, 0.0, 0.0
	for _, c := range p.cells {
		prefillEngines, decodeEngines = prefillEngines+c.prefillWeight, decodeEngines+c.decodeWeight
	}
	most := maxLoadRatio * decodeEngines / max(prefillEngines, 1e-9) // what a prefill engine may get
	for _, c := range p.cells {
		c.prefillTarget = min(c.decodeWeight, most*c.prefillWeight)
		given += c.prefillTarget
	}
	rest := max(0, decodeEngines-given) / max(most*prefillEngines-given, 1e-9)
	for _, c := range p.cells {
		c.prefillTarget += (most*c.prefillWeight - c.prefillTarget) * rest
	}
	return p.cells
}
