package routing

import (
	"slices"
	"time"
)

const (
	patience     = 5.0 // an attempt may take this many times the expected time
	patienceTail = 4.0 // and this many times what any takes, as queues are not seen
	patienceAim  = 0.4 // and at least this part of the aim, so chance never trips it
	lagBand      = 3.0 // an attempt out this many times as long as expected tells of silence
)

// patience is how long an attempt may take before it counts as overdue.
func (r *Router) patience(q *request) time.Duration {
	usual := r.stages[q.at.role()].took
	if q.phase == writing {
		usual = r.stages[q.at.role()].first
	}
	tail := patienceTail * float64(seconds(usual))
	return time.Duration(max(patience*float64(q.expect), patienceAim*float64(q.class.FirstTokenObjective), tail))
}

// watch withdraws attempts that are overdue while the peers' are not, or that later ones have
// passed: they hang. An engine not heard of since is blamed for silence; else it is only busy.
func (r *Router) watch(role Role) {
	usual := max(r.survey(role).lag, 1)
	for w := range r.all(role) {
		late := r.lag(w) >= lagBand*usual
		for _, q := range slices.Clone(w.out) {
			age := r.now - q.sentAt
			busy := !late || w.heard > q.sentAt && (r.slow(w) == 1 || age < q.class.FirstTokenObjective)
			spent := q.cancelled || r.retries < 1 || q.attempts >= q.most
			if busy && q.sentAt >= w.passed || spent || age < r.patience(q) {
				continue
			}
			if w.heard <= q.sentAt {
				r.blame(w, 1, 1)
			}
			r.cancel(q)
		}
	}
}
