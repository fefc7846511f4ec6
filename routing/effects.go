package routing

// risk is an attempt that may have had an effect.
type risk struct {
	zone string
	cell int
	sent Time
}

// neverRan tells whether an outcome proves that the attempt had no effect.
func neverRan(s Status) bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent || s == StatusPrefilled
}

// mayRun tells whether an effect's group and window allow an attempt at w.
func (r *Router) mayRun(q *request, w *engine) bool {
	if q.class.Effect == EffectIdempotent {
		return true
	}
	for _, k := range q.risks {
		switch {
		case q.class.Effect == EffectAtMostOnce, r.now+r.set.SendDelay-k.sent >= q.class.DedupWindow,
			q.class.DedupScope == DedupZone && k.zone != w.Zone, q.class.DedupScope == DedupCell && k.cell != w.Cell:
			return false
		}
	}
	return true
}
