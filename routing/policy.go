// This file holds every decision; its interface is api.go. A request goes to the prefill engine
// whose kept text and queue promise the soonest read (gate, cap), then, once read, to the decode
// engine in its cell with most free memory. What else stands here guards that path against
// engines, lists and loads that are not as they should be.

package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	gateThreshold = 0.1 // a best match of no more than this part of the prompt counts as none
	capMultiple   = 2.0 // a prefill engine may hold this many times its fair share of active requests
	answerWeight  = 0.3 // part of a read at a mixed engine that each answer there is held to lose
	spareWeight   = 0.7 // of a read at a decode engine against one at a prefill engine, nobody behind it
	stateWeight   = 0.2 // a waiting state holds memory and a port but is read already
	readWeight    = 4.0 // of a token to read against one queued: it delays all later ones and drives out text

	// The table and the plan.
	horizon    = time.Minute     // most sessions' turns lie closer; older entries are as likely gone as kept
	tableMost  = 4096            // entries a prefill engine; a sweep drops the aged ones beyond it
	homeParts  = 4.0             // shared beginnings that a prefill engine is home to: their loads even out
	seenMost   = 400.0           // requests over which the share of a beginning is counted
	seenLeast  = 40.0            // with fewer of them a share is not believed
	planExcess = 1.5             // times its even share that the plan gives a prefill engine at most
	mixedShare = 0.6             // work of a mixed engine against a decode engine's, which need not read
	ownEnough  = 10              // among fewer routers own load tells a queue, and reads add but noise
	behindStep = 0.5             // weight of one read: two in a row are rare
	behindFade = 8 * time.Second // about as long as a session lasts

	// The judge of engines.
	failStep    = 0.3                    // weight of one outcome; two failures in a row pass failBound
	failBound   = 0.35                   // above this, and twice the peers' mean, an engine is ejected
	failCleared = 0.15                   // below this an engine that was ejected is trusted again
	ejectFirst  = 800 * time.Millisecond // first ejection; doubles, as most troubles outlast it
	ejectMost   = 6400 * time.Millisecond
	slowBand    = 1.8 // paces within this of the peers' median are chance, not slowness
	slowMost    = 20.0
	paceStep    = 0.25            // weight of one pace sample
	paceFade    = 5 * time.Second // a pace with no fresh sample halves its excess in this time
	lagBand     = 3.0             // an attempt out this many times as long as expected tells of silence

	// Attempts.
	patience     = 5.0                    // an attempt may take this many times the expected time
	patienceTail = 4.0                    // and this many times what any takes, as queues are not seen
	patienceAim  = 0.4                    // and at least this part of the aim, so chance never trips it
	leastExpect  = 30 * time.Millisecond  // expectations below this are noise
	retryRate    = 0.25                   // further attempts that each request adds to the budget
	retryMost    = 40.0                   // and how many all routers may save up: those out at a few engines
	leastRemain  = 30 * time.Millisecond  // with less time left an attempt cannot be answered
	fullPause    = 150 * time.Millisecond // an engine that was full is passed over this long by the like
	limitShare   = 0.25                   // part turned away, above what full engines bring by chance
	limitOthers  = 0.2                    // of it for others: in an overload all are turned away alike
	limitPause   = 10 * time.Second       // an engine that limits a tenant's or class's rate does so for long
	tickSpan     = 50 * time.Millisecond  // how often held requests and silent attempts are looked at
	pinPart      = 0.5                    // part of the pin limit for which a state may wait for a decode engine
	holdPart     = 0.4                    // part of the aim for which a request may wait for a prefill engine
	leastAdvice  = 200 * time.Millisecond // a refused client is told to stay away for this long at least
	subscribeGap = time.Second            // between calls to a discovery that fails

	// Cold engines.
	coldMargin = 0.7             // part of the budget used: others' estimates differ from ours
	carryFade  = 8 * time.Second // memory of what warm engines carry
	peakFade   = 90 * time.Second

	// Admission.
	readGuess   = 1e-4        // seconds a token, before the first read has ended
	leastRead   = 300.0       // tokens that a step costs, however little it reads
	usualStep   = 0.1         // weight of one sample in the usual figures
	sampleMost  = 3.0         // a sample counts as at most this many times the usual
	outGuess    = 0.3         // part of the longest answer that an answer takes, when no hint is given
	firstFade   = time.Second // half-life of the usual wait for a decode engine when no answer begins
	admitLeast  = 0.4         // part of the aim that the wait may take for work of no worth
	admitMost   = 0.7         // and for work of the highest; estimates are off by about a third
	quotaSlack  = 1.2         // a router's share of a quota is uneven
	quotaSpan   = 2.0         // seconds of quota that may be saved up
	shortWeight = 4.0         // times that the wait for a decode engine counts anew where memory seems short

	memoryFull, memoryRoomy = 0.95, 0.75

	reportFade = time.Second            // in which a report's word loses half of its weight
	askFresh   = 300 * time.Millisecond // a report younger than this is not asked anew
	askWait    = 40 * time.Millisecond  // a probe not answered by then is not waited for
)

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

// ---- the roster

func (r *Router) tick() time.Duration { return max(min(tickSpan, r.set.HeldStateLimit/8), r.set.Tick) }

// learn takes a roster entry. A new start empties what the engine kept, and old
// grudges with it; a drain or removal stops new sends from this moment on.
func (r *Router) learn(s EngineInfo) {
	w := r.engine(s.Name)
	if w.StartTime != s.StartTime {
		w.forget()
		w.fail, w.pace, w.ejectedFor, w.ejectedUntil = 0, 1, 0, 0
	}
	s.Weight = cmp.Or(max(s.Weight, 0), 1)
	w.EngineInfo, w.kind = s, r.kinds[s.Kind]
	w.usable = s.Phase == PhaseActive && w.role() != RoleNone && slices.Contains(r.set.Zones, s.Zone)
}

// ---- life of a request

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

// overShare returns what a tenant's next request is worth against others.
func (r *Router) overShare(tenant string) float64 {
	t := r.quotas[tenant]
	if t == nil {
		return 1
	}
	most := max(t.rate*quotaSpan, 1) // a small quota may save up for one request
	t.saved = min(most, t.saved+t.rate*(r.now-t.at).Seconds())
	t.at = r.now
	if t.saved < 1 {
		return r.set.OverQuotaWeight
	}
	t.saved--
	return 1
}

// overloaded tells what to refuse early: it would come too late, or make worthier work late.
func (r *Router) overloaded(q *request, wait float64) bool {
	part := admitLeast + (admitMost-admitLeast)*min(1, q.density/r.topGain)
	left := q.aim - r.now
	for i := range r.set.Classes {
		if c := &r.set.Classes[i]; c.PriorityWeight > q.density {
			left = min(left, c.aim(q.PromptTokens))
		}
	}
	return wait > part*left.Seconds()
}

// decodeWait is the usual wait for a first token while fresh, or that at half of the decode engines now.
func (r *Router) decodeWait() float64 {
	st := &r.stages[RoleDecode]
	usual := st.first * math.Exp2(-(r.now-st.firstAt).Seconds()/firstFade.Seconds())
	return max(usual, r.survey(RoleDecode).age)
}

// room is how many tokens the decode engines are believed to have free for what is not yet being read.
func (r *Router) room() float64 {
	free := 0.0
	for _, w := range r.order {
		switch {
		case w.role() == RoleDecode && w.usable && r.trusted(w):
			free += max(0, 1-r.fill(w)) * w.kind.Memory
		case w.role() == RolePrefill:
			for _, q := range w.out {
				free -= r.size(q) * float64(r.set.Gateways)
			}
		}
	}
	return free
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

// hold keeps a request for a look at every tick, a read state well inside the pin limit.
func (r *Router) hold(q *request, p phase) {
	if q.phase != p {
		r.shift(q, p, nil)
	}
	end := q.outAt + time.Duration(pinPart*float64(r.set.HeldStateLimit)) // however many are not reached
	if p == waitPrefill {
		end = q.since + time.Duration(holdPart*float64(q.class.FirstTokenObjective))
	}
	if r.now+r.tick() >= min(end, q.deadline-leastRemain) { // the next look would be too late
		r.giveUp(q, seconds(r.survey(RolePrefill).age+r.decodeWait()))
		return
	}
	r.held = append(r.held, q)
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

// patience is how long an attempt may take before it counts as overdue.
func (r *Router) patience(q *request) time.Duration {
	usual := r.stages[q.at.role()].took
	if q.phase == writing {
		usual = r.stages[q.at.role()].first
	}
	tail := patienceTail * float64(seconds(usual))
	return time.Duration(max(patience*float64(q.expect), patienceAim*float64(q.class.FirstTokenObjective), tail))
}

// size guesses the memory that a request takes while it is answered.
func (r *Router) size(q *request) float64 {
	out := outGuess * float64(q.MaxTokens)
	if q.DurationHint > 0 && q.class != nil && q.class.TokenIntervalObjective > 0 {
		out = float64(q.DurationHint) / float64(q.class.TokenIntervalObjective)
	}
	return float64(q.PromptTokens) + out
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

func (r *Router) sample(usual *float64, v float64) {
	*usual = cmp.Or(*usual, v)
	*usual += (min(v, sampleMost**usual) - *usual) * usualStep // one slow engine is not the pool
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

// ---- choosing

// pickPrefill is the design's choice: held prefix against queued load behind gate and cap.
func (r *Router) pickPrefill(q *request) (*engine, float64) {
	later := r.decodeWait()
	pool := r.eligible(q, true)
	q.home, q.spare = nil, nil
	best, active := 0, 1
	for _, w := range pool {
		best = max(best, r.match(q, w))
		active += w.reads + w.states
	}
	gate := int(gateThreshold * float64(q.PromptTokens))
	if best <= max(gate, q.PrefixLen) { // nothing is known here of the session itself
		q.home, q.spare = r.home(q, pool)
		if q.home != nil {
			best = max(best, r.match(q, q.home))
		}
	}
	gated := best <= gate
	most := capMultiple * math.Ceil(float64(active)/float64(max(len(pool), 1)))
	over := func(w *engine) bool { return float64(w.reads+w.states+1) > most }
	capped := slices.DeleteFunc(slices.Clone(pool), over)
	if len(capped) == 0 {
		capped = pool
	}
	if r.set.DecodePrefills {
		capped = append(capped, r.spareDecodeEngines(q)...)
	}
	cost := func(w *engine) float64 {
		m := 0
		if !gated {
			m = r.match(q, w)
		}
		tokens := r.queue(w) + readWeight*float64(q.PromptTokens-m) + leastRead
		cost := tokens * r.perToken(w.role()) * r.slow(w) / w.Weight
		switch w.role() {
		case RolePrefill: // its state waits for a decode engine
			return cost + later
		case RoleDecode:
			return cost * spareWeight
		}
		// At a mixed engine each running answer waits out the read.
		return cost * (1 + answerWeight*float64(w.answers*r.set.Gateways))
	}
	if !gated && r.ask(q, capped, cost) { // kept text draws every router's choice alike
		return nil, 0
	}
	w := r.least(q, capped, func(w *engine) float64 {
		return cost(w) + r.queued(w)*r.perToken(w.role())*r.slow(w)/w.Weight
	})
	if w == nil {
		return nil, 0
	}
	wait := cost(w)
	if w.reads == 0 && w.role() == RolePrefill && r.queued(w) < leastRead { // an idle one is tried
		wait = later
	}
	wait = max(wait, r.age(w)) // first come, first read: the oldest tells what the wait is at least
	switch {
	case w.role() == RolePrefill && r.room() < r.size(q): // by a guess: the wait seen tells how much it matters
		wait += shortWeight * later
	case w.role() == RoleMixed && r.fill(w)+r.size(q)/max(w.kind.Memory, 1) > 1:
		wait = max(wait, q.class.FirstTokenObjective.Seconds())
	}
	return w, wait
}

// spareDecodeEngines are those that may read a prompt themselves and have memory to spare. They
// relieve prefill engines that have a queue. Their running answers wait meanwhile: one read at a time.
func (r *Router) spareDecodeEngines(q *request) []*engine {
	return slices.DeleteFunc(r.eligible(q, false), func(w *engine) bool {
		return w.role() != RoleDecode || w.reads > 0 || r.fill(w)+r.size(q)/max(w.kind.Memory, 1) > memoryRoomy
	})
}

// least returns the engine of least cost; ties go by chance of request and seed.
func (r *Router) least(q *request, pool []*engine, cost func(*engine) float64) *engine {
	var best *engine
	var low, tie float64
	for _, w := range pool {
		c, t := cost(w), r.chance(q.ID, w.Name)
		if best == nil || c < low-1e-12 || c <= low+1e-12 && t < tie {
			best, low, tie = w, c, t
		}
	}
	return best
}

// ask probes the likeliest prefill engine, once a request, where its report is old: among many routers
// each sees it too seldom to know its queue. The request is held until it answers, or askWait.
func (r *Router) ask(q *request, pool []*engine, cost func(*engine) float64) bool {
	if !r.set.CanProbe || r.set.Gateways < ownEnough || q.asked != nil || len(pool) < 2 {
		return false
	}
	w := slices.MinFunc(pool, func(a, b *engine) int { return cmp.Compare(cost(a), cost(b)) })
	q.asked = []*engine{w}
	if r.now-w.reportAt < askFresh {
		return false
	}
	if !r.asking(w) {
		w.askedAt = r.now
		r.do(Probe{Engine: w.Name})
	}
	return true
}

// queued is how many tokens a reported queue holds beyond this router's own. It ranks prefill engines
// and sets how long a read is waited for, but turns nothing away: perToken holds it already.
func (r *Router) queued(w *engine) float64 {
	if w.report.QueueLength == nil {
		return 0
	}
	return max(0, *w.report.QueueLength*max(r.stages[w.role()].read, leastRead)*r.fresh(w)-w.readTokens)
}

func (r *Router) asking(w *engine) bool { return w.askedAt > w.answeredAt && r.now-w.askedAt < askWait }

// onProbed takes a report and sends on what waited for it alone.
func (r *Router) onProbed(e ProbeResult) {
	w := r.engines[e.Engine]
	if w == nil {
		return
	}
	r.noteReport(w, e.Report)
	w.answeredAt = r.now
	held := r.held
	r.held = nil
	for _, q := range held {
		if q.phase == waitPrefill && len(q.asked) > 0 && !slices.ContainsFunc(q.asked, r.asking) {
			r.toPrefill(q)
		} else {
			r.held = append(r.held, q)
		}
	}
}

// queue is the load before a new read, in tokens: this router's own or, if more, what was
// reported and sent since. As a report ages, the peers' mean takes the place of what it said.
func (r *Router) queue(w *engine) float64 {
	own := w.readTokens + stateWeight*w.stateTokens
	if w.report.WaitingTokens != nil {
		return max(own, r.stages[w.role()].reads.worth()*r.reported(w)+w.readSince)
	}
	if r.set.Gateways < ownEnough { // own load is a good part of all, and newer
		return own
	}
	return own + max(0, r.behind(w))
}

// reported is how many tokens a report shows waiting, as far as it is still believed.
func (r *Router) reported(w *engine) float64 {
	if w.report.WaitingTokens == nil {
		return 0
	}
	usual := r.survey(w.role()).waiting
	return usual + (*w.report.WaitingTokens-usual)*r.fresh(w)
}

// fresh is how far an engine's report is still believed, from 1 to 0.
func (r *Router) fresh(w *engine) float64 {
	return math.Exp2(-(r.now - w.reportAt).Seconds() / reportFade.Seconds())
}

// pickDecode takes the decode engine with most free memory in the prefill engine's cell. It leaves the cell
// only when nobody there may be sent to, or all are full while another cell has room.
func (r *Router) pickDecode(q *request) *engine {
	var near, far, mixed []*engine
	cell := r.answerCell(q)
	for _, w := range r.eligible(q, false) {
		switch {
		case w.role() == RoleMixed:
			mixed = append(mixed, w)
		case w.Cell == cell:
			near = append(near, w)
		default:
			far = append(far, w)
		}
	}
	fill := func(w *engine) float64 { return r.fill(w) * r.slow(w) }
	n, f := r.least(q, near, fill), r.least(q, far, fill)
	switch {
	case n == nil && f == nil:
		return r.least(q, mixed, fill)
	case n == nil || f != nil && fill(n) > memoryFull && fill(f) < memoryRoomy:
		return f
	}
	return n
}

// answerCell is the prefill engine's cell but for what is too much for its decode engines by the plan.
func (r *Router) answerCell(q *request) int {
	plan := r.plan()
	c := cellOf(plan, q.holder.Cell)
	if c == nil || c.reads <= c.decodeEngines {
		return q.holder.Cell
	}
	lacking := 0.0
	for _, c := range plan {
		lacking += max(0, c.decodeEngines-c.reads)
	}
	at := r.chance(q.ID, "cell") * c.reads / (c.reads - c.decodeEngines) * lacking
	for _, to := range plan {
		if at -= max(0, to.decodeEngines-to.reads); at < 0 {
			return to.id
		}
	}
	return q.holder.Cell
}

// fill guesses how much of an engine's memory is taken, by its report and own work.
func (r *Router) fill(w *engine) float64 {
	room := max(w.kind.Memory, 1)
	own := w.memory * float64(r.set.Gateways) / room
	if w.report.MemoryUsed == nil {
		return own
	}
	return own + (*w.report.MemoryUsed+w.sentSince/room-own)*r.fresh(w)
}

// eligible lists the engines that the guards admit for a read or an answer.
func (r *Router) eligible(q *request, read bool) []*engine {
	var fit, well []*engine
	for _, w := range r.order {
		role := w.role()
		wanted := role == RoleMixed || read && role == RolePrefill || !read && role == RoleDecode
		full := w.fullTo[rateKey(q)] > r.now
		if !wanted || !w.usable || full || !r.mayRun(q, w) || !r.coldRoom(w, r.weights[q.Class]) {
			continue
		}
		fit = append(fit, w)
		if w != q.avoid && r.trusted(w) {
			well = append(well, w)
		}
	}
	// The floor: at least half of those fit are kept, the least failing first.
	if short := (len(fit)+1)/2 - len(well); short > 0 {
		rest := slices.DeleteFunc(slices.Clone(fit), func(w *engine) bool { return slices.Contains(well, w) })
		slices.SortStableFunc(rest, func(a, b *engine) int { return cmp.Compare(a.fail, b.fail) })
		well = append(well, rest[:short]...)
	}
	return well
}

// ---- the judge

// trusted tells whether an engine may take ordinary work. One ejected comes
// back by trial: one request at a time until its outcomes clear it.
func (r *Router) trusted(w *engine) bool {
	if r.now < w.ejectedUntil {
		return false
	}
	return w.ejectedFor == 0 || len(w.out) == 0
}

// judge is fed by every outcome. It guards against engines that fail, reset, refuse or stay
// silent, also towards this router alone. A common cause fails all alike: see blame and eligible.
func (r *Router) judge(w *engine, q *request, e Outcome) {
	if e.Status != StatusTimeout && e.Status != StatusCancelled && e.Status != StatusNotSent {
		w.heard = r.now
	}
	full := 0.0
	if e.Status == StatusRejected {
		full = 1
	}
	r.turned[rateKey(q)] += (full - r.turned[rateKey(q)]) * usualStep
	switch e.Status {
	case StatusPrefilled:
		w.passed = max(w.passed, q.sentAt)
		r.blame(w, 0, 1)
		r.noteRead(w, q, float64(q.PromptTokens-e.CachedTokens), e.Latency)
		r.carry(w, r.weights[q.Class])
	case StatusServed:
		r.blame(w, 0, 1)
	case StatusError:
		r.blame(w, 1, 1)
	case StatusTimeout:
		if w.heard <= q.sentAt { // silent since; a busy engine is not to blame
			r.blame(w, 1, 1)
		}
	case StatusReset, StatusConnectFailed:
		r.blame(w, 1, 2) // the process is down: two outcomes' worth
	case StatusRejected:
		if !e.StateMissing {
			w.fullTo[rateKey(q)] = r.now + fullPause
			if r.singledOut(q) {
				w.fullTo[rateKey(q)] = r.now + limitPause
			}
		}
	}
}

func (r *Router) blame(w *engine, v float64, times int) {
	for range times {
		w.fail += (v - w.fail) * failStep
	}
	r.surveys[w.role()] = survey{}
	if v == 0 && w.fail < failCleared {
		w.ejectedFor = 0
	}
	if v > 0 && w.usable && w.fail > failBound && w.fail > 2*r.survey(w.role()).fail && r.now >= w.ejectedUntil {
		w.ejectedFor = min(max(2*w.ejectedFor, ejectFirst), ejectMost)
		w.ejectedUntil = r.now + w.ejectedFor
	}
}

// survey looks at a role's engines, once an event at most. Failing is that of the
// better quarter: a common cause shows there too, a few sick engines do not.
func (r *Router) survey(role Role) *survey {
	v := &r.surveys[role]
	if v.engines > 0 {
		return v
	}
	var pace, fail, age, lag []float64
	for w := range r.all(role) {
		v.engines++
		if !r.cold(w) {
			v.warm++
		}
		fail, age, lag = append(fail, w.fail), append(age, r.age(w)), append(lag, r.lag(w))
		pace = append(pace, r.faded(w))
		if w.report.WaitingTokens != nil {
			v.waiting += *w.report.WaitingTokens * r.fresh(w)
		}
	}
	v.waiting /= float64(max(v.engines, 1))
	v.pace, v.age, v.lag = median(pace, 1), median(age, 0), median(lag, 1)
	if slices.Sort(fail); len(fail) > 0 {
		v.fail = fail[len(fail)/4]
	}
	return v
}

// noteRead takes one sample of the time that an engine needs for a read.
func (r *Router) noteRead(w *engine, q *request, toRead float64, took time.Duration) {
	st := &r.stages[w.role()]
	tokens := q.ahead + toRead + leastRead
	st.reads.add(q.shown, toRead+leastRead, took.Seconds())
	behind := took.Seconds()/r.perToken(w.role()) - tokens
	w.behind, w.behindAt = r.behind(w)+(behind-r.behind(w))*behindStep, r.now
	r.notePace(w, took.Seconds()/tokens/r.perToken(w.role()))
	r.sample(&st.took, took.Seconds())
	r.sample(&st.read, tokens)
}

// behind is how many tokens more, or fewer, than usual a read has lately waited out
// at an engine beside this router's own: what the others have sent there.
func (r *Router) behind(w *engine) float64 {
	return w.behind * math.Exp2(-(r.now-w.behindAt).Seconds()/behindFade.Seconds())
}

// perToken is the usual time for a token; an untried role counts as quick as the other.
func (r *Router) perToken(role Role) float64 {
	for _, st := range []*stage{&r.stages[role], &r.stages[RolePrefill], &r.stages[RoleMixed]} {
		if st.read > 0 {
			return st.took / st.read
		}
	}
	return readGuess
}

// notePace takes one sample of an engine's time against the usual of its role.
func (r *Router) notePace(w *engine, ratio float64) {
	w.pace = r.faded(w)
	w.pace += (min(ratio, slowMost) - w.pace) * paceStep
	w.paceAt = r.now
}

func (r *Router) faded(w *engine) float64 {
	return 1 + (w.pace-1)*math.Exp2(-(r.now-w.paceAt).Seconds()/paceFade.Seconds())
}

// slow is how many times slower than its peers an engine is, 1 if it is not clear.
func (r *Router) slow(w *engine) float64 {
	s := 1.0
	if p := r.faded(w) / max(r.survey(w.role()).pace, 0.1); p > slowBand {
		s = p
	}
	if lag := r.lag(w); lag > lagBand && w.heard <= w.oldest().sentAt {
		s = max(s, lag)
	}
	return min(s, slowMost)
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

// ---- cold engines

// coldRoom bounds this router's sends to a cold engine within any fall window by what warm
// peers carried for it, so that the routers' shares add up to less than the rule's multiple.
// Where that is less than one request, chance decides once a window whether to send one:
// first ones from many would push it over. It could starve a pool that is cold as a whole.
func (r *Router) coldRoom(w *engine, weight float64) bool {
	for len(w.sends) > 0 && r.now-w.sends[0].at > r.set.OverloadWindow { // they are in order of time
		w.sends = w.sends[1:]
	}
	if !r.cold(w) {
		return true
	}
	limit := coldMargin * r.stages[w.role()].peak * r.set.OverloadWindow.Seconds() *
		r.set.OverloadMultiple * r.set.SlowStartCapacity
	if len(w.sends) == 0 && limit < weight {
		// no window common to all routers
		window := float64(r.now)/float64(r.set.OverloadWindow) + r.chance(0, w.Name)
		return r.chance(RequestID(window), w.Name) < limit/weight
	}
	for _, s := range w.sends {
		weight += s.weight
	}
	return weight <= limit
}

// carry notes work done by a warm engine and keeps the best rate seen at one.
func (r *Router) carry(w *engine, weight float64) {
	if r.cold(w) {
		return
	}
	st := &r.stages[w.role()]
	dt := (r.now - st.at).Seconds()
	st.at = r.now
	st.carried = st.carried*math.Exp(-dt/carryFade.Seconds()) + weight
	rate := st.carried / carryFade.Seconds() / float64(max(r.survey(w.role()).warm, 1))
	st.peak = max(st.peak*math.Exp(-dt/peakFade.Seconds()), rate)
}

func (r *Router) cold(w *engine) bool {
	return w.StartTime != 0 && r.now-w.StartTime < r.set.SlowStartPeriod
}

// ---- the table

// match is how many of a prompt's tokens an engine is believed to keep: what its
// table says or, at the prompt's home, the shared beginning.
func (r *Router) match(q *request, w *engine) int {
	best := 0
	if h, ok := w.sessions[q.Session]; ok && q.Session != "" && r.now-h.seen < horizon {
		best = h.tokens
	}
	if h, ok := w.prefixes[q.Prefix]; ok && q.Prefix != "" && r.now-h.seen < horizon {
		best = max(best, min(h.tokens, q.PrefixLen))
	}
	switch w {
	case q.home: // perhaps the session's earlier turns too
		best = max(best, (q.PrefixLen+q.PromptTokens)/2)
	case q.spare:
		best = max(best, q.PrefixLen)
	}
	return max(min(best, q.PromptTokens-1), 0)
}

// home names two prefill engines at which to expect the text of a session that this router has not
// seen: the same at every router, by rendezvous hash. A shared beginning has more homes the
// more requests begin with it; the session picks among them by the plan's weights. It does
// harm where a home has just lost its text.
func (r *Router) home(q *request, pool []*engine) (home, spare *engine) {
	text := cmp.Or(q.Prefix, q.Session)
	if text == "" || len(pool) == 0 {
		return nil, nil
	}
	sure := r.seen[q.Prefix] - max(1, 0.7*math.Sqrt(r.seen[q.Prefix])) // what chance would not bring
	share := max(0, sure) / max(r.seen[""], seenLeast)
	homes := 2 + int(share*homeParts*float64(len(pool))) // one, a spare and more for a hot one
	ranked := slices.Clone(pool)
	if homes < len(pool) {
		of := make(map[*engine]float64, len(pool))
		for _, w := range pool {
			of[w] = blend(text, w.Name)
		}
		slices.SortFunc(ranked, func(a, b *engine) int { return cmp.Compare(of[a], of[b]) })
		ranked = ranked[:homes]
	}
	low, next := math.Inf(1), math.Inf(1)
	plan := r.plan()
	for _, w := range ranked {
		weight := w.Weight * mixedShare
		if w.role() == RolePrefill {
			c := cellOf(plan, w.Cell)
			weight = w.Weight * c.reads / c.prefillEngines
		}
		if far := -math.Log(blend(cmp.Or(q.Session, text), w.Name)) / max(weight, 1e-9); far < low {
			home, low, spare, next = w, far, home, low
		} else if far < next {
			spare, next = w, far
		}
	}
	return home, spare
}

// plan spreads reads over the cells as their decode engines can take them, but gives no prefill engine more
// than planExcess of an even share. What a cell reads beyond that is answered elsewhere.
func (r *Router) plan() []*cell {
	if r.cells != nil {
		return r.cells
	}
	r.cells = r.tally()
	prefillEngines, decodeEngines, given := 0.0, 0.0, 0.0
	for _, c := range r.cells {
		prefillEngines, decodeEngines = prefillEngines+c.prefillEngines, decodeEngines+c.decodeEngines
	}
	most := planExcess * decodeEngines / max(prefillEngines, 1e-9) // what a prefill engine may get
	for _, c := range r.cells {
		c.reads = min(c.decodeEngines, most*c.prefillEngines)
		given += c.reads
	}
	rest := max(0, decodeEngines-given) / max(most*prefillEngines-given, 1e-9)
	for _, c := range r.cells {
		c.reads += (most*c.prefillEngines - c.reads) * rest
	}
	return r.cells
}

// noteKept enters what an engine keeps after a read. It needs no correction by what
// the read found: an entry that was wrong is right now.
func (r *Router) noteKept(q *request, w *engine) {
	if q.Session != "" {
		w.sessions[q.Session] = held{q.PromptTokens, r.now}
	}
	if q.Prefix != "" {
		w.prefixes[q.Prefix] = held{q.PrefixLen, r.now}
	}
	if aged := func(_ string, h held) bool { return r.now-h.seen > horizon }; len(w.sessions) > tableMost {
		maps.DeleteFunc(w.sessions, aged)
		maps.DeleteFunc(w.prefixes, aged)
	}
}

func (r *Router) noteReport(w *engine, rep *LoadReport) {
	if w != nil && rep != nil {
		w.report, w.reportAt, w.sentSince, w.readSince = *rep, r.now, 0, 0
	}
}
