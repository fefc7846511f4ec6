package routing

import (
	"slices"
	"time"
)

const (
	leastExpect = 30 * time.Millisecond  // expectations below this are noise
	leastRemain = 30 * time.Millisecond  // with less time left an attempt cannot be answered
	leastAdvice = 200 * time.Millisecond // a refused client is told to stay away for this long at least
	outGuess    = 0.3                    // part of the longest answer that one takes, without a hint
)

type phase uint8

const (
	waitPrefill phase = iota // no attempt out, nothing held
	reading                  // an attempt is out at a prefill engine, or whole at a mixed engine
	waitDecode               // no attempt out, the state waits at a prefill engine
	writing                  // an attempt is out at a decode engine
	streaming                // the answer has begun
)

// request is one client's try. It is kept until its attempts have ended.
type request struct {
	Request
	class         *Class
	most          int     // attempts allowed, as the settings said at its arrival
	density       float64 // worth per unit of work, lower beyond the tenant's quota
	deadline, aim Time
	phase         phase
	home, spare   *engine // where its text is expected
	at, holder    *engine // where the attempt is out; which prefill engine holds the state
	avoid         *engine // the last engine that failed it
	attempts      int
	sentAt, since Time    // when the attempt left; when the phase began
	outAt         Time    // when an attempt was last out, from which a waiting state's time counts
	todo          int     // tokens the prefill engine is expected to read
	ahead         float64 // tokens queued there before it
	shown         float64 // tokens that its report showed waiting
	match         int     // tokens expected kept there
	expect        time.Duration
	ended         bool // answered, or nobody waits any more
	cancelled     bool
	whole         bool      // the attempt reads and answers
	asked         []*engine // prefill engines probed for it before its first choice
	risks         []risk
}

// aim is when the first token is wanted after a prompt of so many tokens.
func (c *Class) aim(prompt int) time.Duration {
	return c.FirstTokenObjective + time.Duration(prompt)*c.FirstTokenPerPromptToken
}

// toPrefill sends a request to the design's choice of prefill engine, or holds it for a
// short part of its aim when no engine may be sent to.
func (r *Router) toPrefill(q *request) {
	w, wait := r.pickPrefill(q)
	if w == nil {
		r.hold(q, waitPrefill)
		return
	}
	if r.overloaded(q, wait) {
		r.giveUp(q, seconds(wait/2))
		return
	}
	q.match = r.match(q, w)
	q.todo = max(q.PromptTokens-q.match, 1)
	q.shown = r.reported(w)
	q.ahead = r.queue(w) + r.queued(w) // not given up early where the report shows a queue
	q.expect = max(leastExpect, seconds((q.ahead+float64(q.todo)+leastRead)*r.perToken(w.role())))
	r.send(q, w, reading)
}

// toDecode sends a read request on, or holds it well inside the pin limit.
func (r *Router) toDecode(q *request) {
	w := r.pickDecode(q)
	if w == nil {
		r.hold(q, waitDecode)
		return
	}
	q.expect = max(leastExpect, seconds(r.stages[w.role()].first))
	r.send(q, w, writing)
}

func (r *Router) send(q *request, w *engine, p phase) {
	r.shift(q, p, w)
	q.attempts++
	q.whole = p == reading && w.role() != RolePrefill
	q.sentAt, q.cancelled = r.now, false
	limit := r.patience(q)
	if r.set.CanCancel { // silence is seen by watch, so that a crowd is not mistaken for it
		limit = max(2*limit, 2*q.class.FirstTokenObjective)
	}
	if q.attempts >= q.most-1 || r.now+limit+leastRemain >= q.deadline {
		limit = q.deadline - r.now
	}
	w.sends = append(w.sends, sendMark{r.now, r.weights[q.Class]})
	if w.role() != RolePrefill {
		q.risks = append(q.risks, risk{w.Zone, w.Cell, r.now})
	}
	r.do(Send{ID: q.ID, Engine: w.Name, Timeout: limit})
}

// giveUp gives the final answer at once. A refusal tells when to come back.
func (r *Router) giveUp(q *request, wait time.Duration) {
	refusable := len(q.risks) == 0 || q.class == nil || q.class.Effect == EffectIdempotent ||
		q.class.Effect == EffectDeduplicated && q.class.DedupScope == DedupAllEngines
	if refusable {
		r.refuse(q, wait, false)
		return
	}
	r.do(Fail{q.ID})
	r.close(q)
}

// refuse turns a request away that has had no effect or may be repeated.
func (r *Router) refuse(q *request, wait time.Duration, overQuota bool) {
	if wait = min(max(wait, leastAdvice), r.set.MaxRetryAfter); !r.set.CanRetryAfter {
		wait = 0
	}
	part := 0.5 + 0.5*r.chance(q.ID, "wait")
	if overQuota { // sooner would only be refused again
		part += 0.5
	}
	wait = min(time.Duration(float64(wait)*part), r.set.MaxRetryAfter)
	r.do(Reject{ID: q.ID, RetryAfter: wait, OverQuota: overQuota})
	r.close(q)
}

// size guesses the memory that a request takes while it is answered.
func (r *Router) size(q *request) float64 {
	out := outGuess * float64(q.MaxTokens)
	if q.DurationHint > 0 && q.class != nil && q.class.TokenIntervalObjective > 0 {
		out = float64(q.DurationHint) / float64(q.class.TokenIntervalObjective)
	}
	return float64(q.PromptTokens) + out
}

// shift is the one place where a request changes phase: it keeps the account of
// what is out, queued and held at each engine.
func (r *Router) shift(q *request, p phase, at *engine) {
	r.account(q, -1)
	if q.at != nil {
		q.at.out = without(q.at.out, q)
	}
	q.phase, q.at, q.since = p, at, r.now
	if p == reading || p == writing {
		at.out = append(at.out, q)
	}
	r.account(q, 1)
}

// account says what counts as load and as memory taken at an engine.
func (r *Router) account(q *request, sign int) {
	n := float64(sign)
	if q.holder != nil && (q.phase == waitDecode || q.phase == writing) {
		q.holder.states += sign
		q.holder.stateTokens += n * float64(q.PromptTokens)
	}
	if q.at == nil {
		return
	}
	if q.phase == reading {
		q.at.reads += sign
		q.at.readTokens += n * float64(q.todo)
		q.at.readSince += max(n, 0) * float64(q.todo)
	}
	if q.at.role() != RolePrefill {
		q.at.answers += sign
		q.at.memory += n * r.size(q)
		if sign > 0 {
			q.at.sentSince += r.size(q)
		}
	}
}

// attemptOver accounts for the end of a request's attempt. One that had no connection was
// never out.
func (r *Router) attemptOver(q *request, s Status) {
	r.shift(q, waitPrefill, nil)
	if s != StatusConnectFailed {
		q.outAt = r.now
	}
}

// leave ends a request whose client has gone.
func (r *Router) leave(q *request) {
	if q.at == nil {
		r.close(q)
		return
	}
	q.ended = true
	if q.phase != streaming {
		r.cancel(q)
	}
}

func (r *Router) cancel(q *request) {
	if r.set.CanCancel && !q.cancelled {
		q.cancelled = true
		r.do(CancelAttempt{ID: q.ID, Attempt: q.attempts - 1})
	}
}

// close forgets a request with no attempt out and lets go of all it holds.
func (r *Router) close(q *request) {
	if q.holder != nil {
		r.do(Release{q.ID})
	}
	r.shift(q, waitPrefill, nil)
	r.held = without(r.held, q)
	delete(r.reqs, q.ID)
}

// without returns the list less one request.
func without(list []*request, q *request) []*request {
	if i := slices.Index(list, q); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
