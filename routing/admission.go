package routing

const (
	minAdmissionFraction = 0.4 // part of the objective that the wait may take at priority 0
	maxAdmissionFraction = 0.7 // and at the highest priority: estimates are off by about a third
)

// overloaded reports whether a request is to be rejected at once: after the wait expected for it,
// seconds, it would come too late, or make requests of higher priority late.
func (r *Router) overloaded(req *request, wait float64) bool {
	part := minAdmissionFraction + (maxAdmissionFraction-minAdmissionFraction)*min(1, req.priority/r.maxPriority)
	left := req.objective - r.now
	for i := range r.set.Classes {
		if c := &r.set.Classes[i]; c.PriorityWeight > req.priority {
			left = min(left, c.firstTokenObjective(req.PromptTokens))
		}
	}
	return wait > part*left.Seconds()
}

// freeDecodeTokens estimates the free memory of the decode engines, in tokens, less what the
// prefills in flight will need there.
func (r *Router) freeDecodeTokens() float64 {
	free := 0.0
	for _, e := range r.engines.ordered {
		switch {
		case e.role() == RoleDecode && e.usable && r.available(e):
			free += max(0, 1-r.memoryUsage(e)) * e.kind.Memory
		case e.role() == RolePrefill:
			for _, req := range e.inFlight {
				free -= r.memoryEstimate(req) * float64(r.set.Gateways)
			}
		}
	}
	return free
}
