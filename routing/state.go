package routing

import (
	"maps"
	"slices"
	"time"
)

// This file holds what a router remembers and the accounts of it. It decides
// nothing; see policy.go.

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

// risk is an attempt that may have had an effect.
type risk struct {
	zone string
	cell int
	sent Time
}

type held struct {
	tokens int
	seen   Time
}

// stage holds what is usual at the engines of a role.
type stage struct {
	took, read  float64 // seconds and tokens of a read
	first       float64 // seconds to the first token, decode engines
	carried     float64 // weight done by warm engines, fading
	at, firstAt Time
	peak        float64 // best rate per warm engine
	reads       shown
}

// survey is one look at the engines of a role, good for one event.
type survey struct {
	engines, warm        int
	pace, fail, age, lag float64 // fail of the better quarter, else the median
	waiting              float64 // tokens that reports show, the mean
}

type quota struct {
	rate, saved float64
	at          Time
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set     Settings
	seed    uint64
	now     Time
	out     []Action
	classes map[string]*Class
	kinds   map[string]*Kind
	weights map[string]float64 // mean prompt of a class: what a send to a cold engine weighs
	quotas  map[string]*quota
	engines map[string]*engine
	order   []*engine // by name
	reqs    map[RequestID]*request
	held    []*request // waitPrefill and waitDecode, in order of arrival
	stages  [RoleMixed + 1]stage
	surveys [RoleMixed + 1]survey
	seen    map[string]float64 // requests by shared beginning, "" for all, fading
	cells   []*cell            // the plan; nil when the roster has changed
	retries float64
	turned  map[string]float64 // share of attempts turned away as full, by rateKey
	topGain float64
	calling bool
	closing bool // see Closing
	callAt  Time
	ticking bool
}

// Handle takes one event and returns what to do about it, in order. The result
// is valid until the next call.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.out = now, r.out[:0]
	clear(r.surveys[:])
	switch e := ev.(type) {
	case EngineList:
		r.onRoster(e)
	case Request:
		r.onRequest(e)
	case FirstToken:
		r.onFirstToken(e)
	case Outcome:
		r.onOutcome(e)
	case ClientGone:
		if q := r.reqs[e.ID]; q != nil {
			r.leave(q)
		}
	case GatewaysChanged:
		r.onPeers(e.Gateways)
	case ShuttingDown:
		r.closing = true
		r.onClosing(e.Final)
	case ProbeResult:
		r.onProbed(e)
	case TimerFired:
		r.onTick()
	}
	if !r.ticking {
		r.ticking = true
		r.do(SetTimer{In: r.tick(), Name: "tick"})
	}
	return r.out
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

// neverRan tells whether an outcome proves that the attempt had no effect.
func neverRan(s Status) bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent || s == StatusPrefilled
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

// aim is when the first token is wanted after a prompt of so many tokens.
func (c *Class) aim(prompt int) time.Duration {
	return c.FirstTokenObjective + time.Duration(prompt)*c.FirstTokenPerPromptToken
}

func newRouter(set Settings, seed uint64) (*Router, error) {
	r := &Router{
		set: set, seed: seed, classes: map[string]*Class{}, kinds: map[string]*Kind{},
		weights: map[string]float64{}, quotas: map[string]*quota{}, engines: map[string]*engine{},
		reqs: map[RequestID]*request{}, seen: map[string]float64{}, turned: map[string]float64{},
	}
	if err := validate(&set); err != nil {
		return nil, err
	}
	for i := range set.Classes {
		r.classes[set.Classes[i].Name] = &r.set.Classes[i]
		r.topGain = max(r.topGain, set.Classes[i].PriorityWeight, 1e-9)
	}
	for i := range set.Kinds {
		r.kinds[set.Kinds[i].Name] = &r.set.Kinds[i]
	}
	return r, nil
}

// QuotaStatus returns how a tenant stands with its quota at this router, as of its latest
// request; false if it has none.
func (r *Router) QuotaStatus(tenant string) (QuotaStatus, bool) {
	t := r.quotas[tenant]
	if t == nil {
		return QuotaStatus{}, false
	}
	most := max(t.rate*quotaSpan, 1)
	return QuotaStatus{Burst: most, Remaining: t.saved, ResetIn: seconds((most - t.saved) / t.rate)}, true
}

// Idempotent tells whether requests of a class may be repeated at will.
func (r *Router) Idempotent(class string) bool {
	c := r.classes[class]
	return c != nil && c.Effect == EffectIdempotent
}

// CanPrefill tells whether engines of a kind may read a prompt.
func (r *Router) CanPrefill(kind string) bool {
	k := r.kinds[kind]
	if k == nil {
		return false
	}
	return k.Role == RolePrefill || k.Role == RoleMixed || k.Role == RoleDecode && r.set.DecodePrefills
}

// rateKey names what an engine may limit the rate of. No name holds the byte between the two:
// tenants and classes of other names never meet in one key.
func rateKey(q *request) string { return q.Tenant + "\x00" + q.Request.Class }

// count keeps how often each shared beginning comes, and all under ""; old counts fade.
func (r *Router) count(prefix string) {
	r.seen[""]++
	if prefix != "" {
		r.seen[prefix]++
	}
	if r.seen[""] > seenMost {
		maps.DeleteFunc(r.seen, func(_ string, n float64) bool { return n < 2 })
		for k := range r.seen {
			r.seen[k] /= 2
		}
	}
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

// attemptOver accounts for the end of a request's attempt. One that had no connection was
// never out.
func (r *Router) attemptOver(q *request, s Status) {
	r.shift(q, waitPrefill, nil)
	if s != StatusConnectFailed {
		q.outAt = r.now
	}
}

// chance returns a number in [0,1) that depends on seed, request and salt alone.
func (r *Router) chance(id RequestID, salt string) float64 {
	x := r.seed ^ uint64(id)*0x9e3779b97f4a7c15
	for i := 0; i < len(salt); i++ {
		x = (x ^ uint64(salt[i])) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// blend returns a number in (0,1) that is the same at every router.
func blend(text, name string) float64 {
	x := uint64(14695981039346656037)
	for _, s := range [2]string{text, name} {
		for i := 0; i < len(s); i++ {
			x = (x ^ uint64(s[i])) * 0x100000001b3
		}
		x = (x ^ x>>32) * 0xbf58476d1ce4e5b9
	}
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// median returns the middle of the values, or none if there are none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// without returns the list less one request.
func without(list []*request, q *request) []*request {
	if i := slices.Index(list, q); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
