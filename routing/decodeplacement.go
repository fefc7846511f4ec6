package routing

const (
	memoryFull, memoryRoomy = 0.95, 0.75
)

// pickDecode takes the decode engine with most free memory in the prefill engine's cell. It leaves the cell
// only when nobody there may be sent to, or all are full while another cell has room.
func (r *Router) pickDecode(q *request) *engine {
	var near, far, mixed []*engine
	cell := r.answerCell(q)
	for _, w := range r.eligible(q, false) {
		switch {
		case w.role() == RoleMixed:
			mixed = append(mixed, w)
		case w.Cell == cell:
			near = append(near, w)
		default:
			far = append(far, w)
		}
	}
	fill := func(w *engine) float64 { return r.fill(w) * r.slow(w) }
	n, f := r.least(q, near, fill), r.least(q, far, fill)
	switch {
	case n == nil && f == nil:
		return r.least(q, mixed, fill)
	case n == nil || f != nil && fill(n) > memoryFull && fill(f) < memoryRoomy:
		return f
	}
	return n
}

// answerCell is the prefill engine's cell but for what is too much for its decode engines by the plan.
func (r *Router) answerCell(q *request) int {
	plan := r.plan()
	c := cellOf(plan, q.holder.Cell)
	if c == nil || c.reads <= c.decodeEngines {
		return q.holder.Cell
	}
	lacking := 0.0
	for _, c := range plan {
		lacking += max(0, c.decodeEngines-c.reads)
	}
	at := r.chance(q.ID, "cell") * c.reads / (c.reads - c.decodeEngines) * lacking
	for _, to := range plan {
		if at -= max(0, to.decodeEngines-to.reads); at < 0 {
			return to.id
		}
	}
	return q.holder.Cell
}

// fill guesses how much of an engine's memory is taken, by its report and own work.
func (r *Router) fill(w *engine) float64 {
	room := max(w.kind.Memory, 1)
	own := w.memory * float64(r.set.Gateways) / room
	if w.report.MemoryUsed == nil {
		return own
	}
	return own + (*w.report.MemoryUsed+w.sentSince/room-own)*r.fresh(w)
}
