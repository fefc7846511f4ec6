package routing

// Shares of an engine's memory in use. The gap between the two keeps answers from moving to and fro.
const (
	memoryHighWatermark = 0.95 // above this, an engine in another cell is considered
	memoryLowWatermark  = 0.75 // below this, an engine has room for work from elsewhere
)

// placeDecode chooses the decode engine with most free memory in the prefill engine's cell. It leaves
// the cell only when no engine there is eligible, or all are full while another cell has room.
func (r *Router) placeDecode(req *request) *engine {
	var near, far, mixed []*engine
	cell := r.decodeCell(req)
	for _, e := range r.eligible(req, false) {
		switch {
		case e.role() == RoleMixed:
			mixed = append(mixed, e)
		case e.Cell == cell:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	fill := func(e *engine) float64 { return r.memoryUsage(e) * r.slowdown(e) }
	n, f := r.minCostEngine(req, near, fill), r.minCostEngine(req, far, fill)
	switch {
	case n == nil && f == nil:
		return r.minCostEngine(req, mixed, fill)
	case n == nil || f != nil && fill(n) > memoryHighWatermark && fill(f) < memoryLowWatermark:
		return f
	}
	return n
}

// decodeCell is the prefill engine's cell, or for the part of its prefills that exceeds the capacity
// of its decode engines a cell with capacity to spare, drawn by how much it has.
func (r *Router) decodeCell(req *request) int {
	plan := r.cells.capacities(r.engines.ordered)
	c := findCell(plan, req.stateHolder.Cell)
	if c == nil || c.prefillTarget <= c.decodeWeight {
		return req.stateHolder.Cell
	}
	lacking := 0.0
	for _, c := range plan {
		lacking += max(0, c.decodeWeight-c.prefillTarget)
	}
	at := r.random.uniform(req.ID, "cell") * c.prefillTarget / (c.prefillTarget - c.decodeWeight) * lacking
	for _, to := range plan {
		if at -= max(0, to.decodeWeight-to.prefillTarget); at < 0 {
			return to.id
		}
	}
	return req.stateHolder.Cell
}
