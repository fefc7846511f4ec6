package routing

import (
	"cmp"
	"slices"
)

const (
	maxLoadRatio = 1.5 // upper bound on the load of a prefill engine, as a multiple of an even distribution
)

// cellCapacity is the capacity of a cell, as sums of engine weights. prefillTarget is the amount of prefills
// that the plan assigns to the cell, in the unit of decodeWeight.
type cellCapacity struct {
	id                                         int
	prefillWeight, decodeWeight, prefillTarget float64
}

// sumCellCapacities returns the sums of the weights of the usable engines by cell, sorted by cell ID.
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

// findCell returns the cell with the given id, or nil.
func findCell(cells []*cellCapacity, id int) *cellCapacity {
	if i := slices.IndexFunc(cells, func(c *cellCapacity) bool { return c.id == id }); i >= 0 {
		return cells[i]
	}
	return nil
}

// cellPlan distributes prefills over the cells in proportion to the capacity of their decode engines, but
// assigns no prefill engine more than maxLoadRatio times an even load. Prefills of a cell beyond the
// capacity of its decode engines are decoded in other cells. The plan depends on engine weights only.
// Prefix homes and decode placement use it; a change of the engine list invalidates it.
type cellPlan struct {
	cells []*cellCapacity // sorted by cell; nil if not computed since the last change of the engine list
}

func (p *cellPlan) invalidate() { p.cells = nil }

// capacities returns the plan for the engines and computes it if necessary.
func (p *cellPlan) capacities(engines []*engine) []*cellCapacity {
	if p.cells != nil {
		return p.cells
	}
	p.cells = sumCellCapacities(engines)
	prefillWeight, decodeWeight, assigned := 0.0, 0.0, 0.0
	for _, c := range p.cells {
		prefillWeight, decodeWeight = prefillWeight+c.prefillWeight, decodeWeight+c.decodeWeight
	}
	maxLoad := maxLoadRatio * decodeWeight / max(prefillWeight, 1e-9) // per unit of prefill weight
	for _, c := range p.cells {
		c.prefillTarget = min(c.decodeWeight, maxLoad*c.prefillWeight)
		assigned += c.prefillTarget
	}
	fraction := max(0, decodeWeight-assigned) / max(maxLoad*prefillWeight-assigned, 1e-9)
	for _, c := range p.cells {
		c.prefillTarget += (maxLoad*c.prefillWeight - c.prefillTarget) * fraction
	}
	return p.cells
}
