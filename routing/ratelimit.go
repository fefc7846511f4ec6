package routing

import (
	"time"
)

const (
	rejectionBackoff  = 150 * time.Millisecond // an engine that rejected a request gets no like one
	rateLimitedShare  = 0.25                   // of attempts rejected, above what full engines bring by chance
	rateLimitedOthers = 0.2                    // of it for others: in an overload all are rejected alike
	rateLimitBackoff  = 10 * time.Second       // the same where the engine limits a rate, which lasts
)

// rateLimitKey names what an engine may limit the rate of. No name holds the byte between the
// two, so that other names never give the same key.
func rateLimitKey(req *request) string { return req.Tenant + "\x00" + req.Request.Class }

// rateLimited reports whether engines reject the like of a request, one tenant's and class's, far more
// often than others: then they have room, and another attempt is cheap. In an overload all are rejected
// alike. It could do harm where one tenant sends far more than the others.
func (r *Router) rateLimited(req *request) bool {
	mine := r.rejectedShare[rateLimitKey(req)]
	for _, others := range r.rejectedShare {
		if mine > rateLimitedShare && others < rateLimitedOthers*mine {
			return true
		}
	}
	return false
}
