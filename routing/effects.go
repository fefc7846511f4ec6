package routing

// possibleRun is an attempt that may have had an effect.
type possibleRun struct {
	zone string
	cell int
	sent Time
}

// provesNoEffect reports whether an outcome proves that the attempt had no effect.
func provesNoEffect(s Status) bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent || s == StatusPrefilled
}

// effectAllows reports whether another attempt, at e, keeps to the class's effect: none where it
// must not run twice, and only where engines drop the duplicate otherwise.
func (r *Router) effectAllows(req *request, e *engine) bool {
	if req.class.Effect == EffectIdempotent {
		return true
	}
	for _, run := range req.possibleRuns {
		switch {
		case req.class.Effect == EffectAtMostOnce,
			r.now+r.set.SendDelay-run.sent >= req.class.DedupWindow, // it might arrive after the window
			req.class.DedupScope == DedupZone && run.zone != e.Zone,
			req.class.DedupScope == DedupCell && run.cell != e.Cell:
			return false
		}
	}
	return true
}
