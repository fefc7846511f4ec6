package routing

import (
	"time"
)

const (
	fullPause   = 150 * time.Millisecond // an engine that was full is passed over this long by the like
	limitShare  = 0.25                   // part turned away, above what full engines bring by chance
	limitOthers = 0.2                    // of it for others: in an overload all are turned away alike
	limitPause  = 10 * time.Second       // an engine that limits a tenant's or class's rate does so for long
)

// rateKey names what an engine may limit the rate of. No name holds the byte between the two:
// tenants and classes of other names never meet in one key.
func rateKey(q *request) string { return q.Tenant + "\x00" + q.Request.Class }

// singledOut tells whether engines turn away the like of a request, one tenant's or
// class's, far more than of others: then they have room, and another try is cheap.
// In an overload all are turned away alike. It could do harm where one asks far more.
func (r *Router) singledOut(q *request) bool {
	mine := r.turned[rateKey(q)]
	for _, others := range r.turned {
		if mine > limitShare && others < limitOthers*mine {
			return true
		}
	}
	return false
}
