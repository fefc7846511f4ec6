package routing

const (
	retryRate = 0.25 // further attempts that each request adds to the budget
	retryMost = 40.0 // and how many all routers may save up: those out at a few engines
)

// again decides what follows a failed attempt: a waiting state goes to another
// decode engine, anything else is read anew, within the retry budget.
func (r *Router) again(q *request, s Status) {
	left := q.most - q.attempts
	spent := left < 1 || left < 2 && q.holder == nil || q.deadline-r.now < leastRemain || s == StatusNotSent
	if spent || r.closing || len(q.risks) > 0 && q.class.Effect == EffectAtMostOnce {
		r.giveUp(q, 0)
		return
	}
	if s != StatusRejected || !r.singledOut(q) {
		if r.retries < 1 {
			r.giveUp(q, seconds(r.survey(RolePrefill).age+r.decodeWait()))
			return
		}
		r.retries--
	}
	if q.holder != nil {
		r.toDecode(q)
		return
	}
	r.toPrefill(q)
}
