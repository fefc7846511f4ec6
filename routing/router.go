package routing

import (
	"maps"
	"slices"
	"time"
)

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

// New returns a router for the settings; all its chance comes from seed. An
// error names the setting that cannot be used.
func New(set Settings, seed uint64) (*Router, error) {
	r, err := newRouter(set, seed)
	if err != nil {
		return nil, err
	}
	r.retries = 1 // not the full budget: all routers may have restarted
	for _, t := range set.Tenants {
		if t.Quota > 0 {
			rate := quotaSlack * t.Quota / float64(set.Gateways)
			r.quotas[t.Name] = &quota{rate: rate, saved: max(rate*quotaSpan, 1)}
		}
	}
	return r, nil
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

func (r *Router) tick() time.Duration { return max(min(tickSpan, r.set.HeldStateLimit/8), r.set.Tick) }

// onTick looks after what no outcome will: held requests and silent attempts.
func (r *Router) onTick() {
	r.ticking = false
	if r.set.MustSubscribe && !r.calling && r.now-r.callAt >= subscribeGap {
		r.subscribe()
	}
	held := r.held
	r.held = nil
	for _, q := range held {
		if q.phase == waitDecode {
			r.toDecode(q)
		} else {
			r.toPrefill(q)
		}
	}
	for role := RolePrefill; role <= RoleMixed && r.set.CanCancel; role++ {
		r.watch(role)
	}
}

func (r *Router) onRequest(e Request) {
	class := r.classes[e.Class]
	if r.reqs[e.ID] != nil {
		return
	}
	q := &request{Request: e, class: class, deadline: r.now + e.TTL, since: r.now, most: r.set.MaxAttempts}
	r.reqs[e.ID] = q
	if class == nil || r.closing { // what is sent now would only be withdrawn
		r.giveUp(q, 0)
		return
	}
	q.aim = min(r.now+class.aim(e.PromptTokens), q.deadline)
	share := r.overShare(e.Tenant)
	if share == 0 { // worth nothing: come back when the quota allows one more
		t := r.quotas[e.Tenant]
		r.refuse(q, seconds((1-t.saved)/t.rate), true)
		return
	}
	q.density = class.PriorityWeight * share
	r.retries = min(1+retryMost/float64(r.set.Gateways), r.retries+retryRate)
	r.count(e.Prefix)
	r.weights[e.Class] += (float64(e.PromptTokens) - r.weights[e.Class]) * usualStep
	r.toPrefill(q)
}

func (r *Router) onFirstToken(e FirstToken) {
	q := r.reqs[e.ID]
	if q == nil || q.at == nil || e.Attempt != q.attempts-1 {
		return
	}
	w := q.at
	w.heard, w.passed = r.now, max(w.passed, q.sentAt)
	q.cancelled = false
	if q.phase == reading {
		r.noteRead(w, q, float64(q.todo), e.Latency)
	} else {
		r.sample(&r.stages[w.role()].first, e.Latency.Seconds())
		r.stages[w.role()].firstAt = r.now
		r.notePace(w, e.Latency.Seconds()/q.expect.Seconds())
	}
	r.carry(w, r.weights[q.Class])
	r.shift(q, streaming, w)
	q.holder = nil
}

func (r *Router) onOutcome(e Outcome) {
	q, w := r.reqs[e.ID], r.engines[e.Engine]
	r.noteReport(w, e.Report)
	if q == nil || q.at == nil || e.Attempt != q.attempts-1 {
		return
	}
	w = q.at
	r.judge(w, q, e)
	if e.Status == StatusPrefilled || e.Status == StatusServed && q.whole {
		r.noteKept(q, w)
	}
	if n := len(q.risks); n > 0 && w.role() != RolePrefill && neverRan(e.Status) {
		q.risks = q.risks[:n-1]
	}
	r.attemptOver(q, e.Status)
	if e.Status == StatusPrefilled {
		q.holder = w
	}
	switch {
	case e.Final || q.ended:
		r.close(q)
	case e.Status == StatusPrefilled && q.attempts < q.most:
		r.toDecode(q)
	default:
		if e.StateMissing {
			q.holder = nil
		}
		q.avoid = w
		r.again(q, e.Status)
	}
}

// onClosing gives up what has not begun to be answered, so that clients may try elsewhere.
// What is out at a decode engine may have run, and is soon answered: it is waited for to the last.
func (r *Router) onClosing(last bool) {
	for _, id := range slices.Sorted(maps.Keys(r.reqs)) {
		if q := r.reqs[id]; !q.ended && q.phase != streaming && (last || q.phase != writing) {
			if q.at != nil {
				r.cancel(q)
			}
			r.giveUp(q, 0)
		}
	}
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
