package routing

// Thresholds for the fraction of an engine's memory in use. The gap between them prevents placement from
// oscillating between cells.
const (
	memoryHighWatermark = 0.95 // above it, engines in other cells are considered
	memoryLowWatermark  = 0.75 // below it, an engine accepts requests from other cells
)

// placeDecode chooses the decode engine with the lowest memory usage in the cell of the prefill engine. It
// chooses an engine in another cell only if the cell has no eligible engine, or if all its engines are
// above memoryHighWatermark while an engine in another cell is below memoryLowWatermark. Mixed engines
// are the last choice. The slowdown of an engine multiplies its memory usage.
func (r *Router) placeDecode(req *request) *engine {
	var local, remote, mixed []*engine
	cell := r.decodeCell(req)
	for _, e := range r.eligible(req, false) {
		switch {
		case e.role() == RoleMixed:
			mixed = append(mixed, e)
		case e.Cell == cell:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	usage := func(e *engine) float64 { return r.memoryUsage(e) * r.slowdown(e) }
	bestLocal, bestRemote := r.minCostEngine(req, local, usage), r.minCostEngine(req, remote, usage)
	switch {
	case bestLocal == nil && bestRemote == nil:
		return r.minCostEngine(req, mixed, usage)
	case bestLocal == nil || bestRemote != nil &&
		usage(bestLocal) > memoryHighWatermark && usage(bestRemote) < memoryLowWatermark:
		return bestRemote
	}
	return bestLocal
}

// decodeCell returns the cell in which to decode a request: the cell of the prefill engine, or for the
// fraction of its prefills that exceeds the capacity of its decode engines another cell, drawn with a
// probability proportional to the unused decode capacity there.
func (r *Router) decodeCell(req *request) int {
	plan := r.cells.capacities(r.engines.ordered)
	c := findCell(plan, req.stateHolder.Cell)
	if c == nil || c.prefillTarget <= c.decodeWeight {
		return req.stateHolder.Cell
	}
	unused := 0.0
	for _, c := range plan {
		unused += max(0, c.decodeWeight-c.prefillTarget)
	}
	draw := r.random.uniform(req.ID, "cell") * c.prefillTarget / (c.prefillTarget - c.decodeWeight) * unused
	for _, other := range plan {
		if draw -= max(0, other.decodeWeight-other.prefillTarget); draw < 0 {
			return other.id
		}
	}
	return req.stateHolder.Cell
}
