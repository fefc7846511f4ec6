package routing

const (
	// minAdmissionFraction is the fraction of the time to the objective that the expected wait of a request
	// of priority 0 may use.
	minAdmissionFraction = 0.4
	// maxAdmissionFraction is the same for the highest priority. It allows for estimates of the wait that are
	// off by about a third.
	maxAdmissionFraction = 0.7
)

// overloaded reports whether a request must be rejected before it is sent: given its expected wait, in
// seconds, it would miss its objective or make requests of higher priority miss theirs.
func (r *Router) overloaded(req *request, wait float64) bool {
	fraction := minAdmissionFraction +
		(maxAdmissionFraction-minAdmissionFraction)*min(1, req.priority/r.maxPriority)
	remaining := req.objective - r.now
	for i := range r.set.Classes {
		if c := &r.set.Classes[i]; c.PriorityWeight > req.priority {
			remaining = min(remaining, c.firstTokenObjective(req.PromptTokens))
		}
	}
	return wait > fraction*remaining.Seconds()
}

// freeDecodeTokens estimates the free memory of the decode engines, in tokens, minus the memory that the
// prefills in flight will need on them.
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
