package routing

import (
	"maps"
	"slices"
	"time"
)

// Router makes the routing decisions of one gateway. It is not safe for concurrent use.
type Router struct {
	set         Settings
	classes     map[string]*Class
	kinds       map[string]*EngineKind
	maxPriority float64 // highest PriorityWeight of a class

	now     Time
	actions []Action // results of the current event
	random  seededRandom

	requests  map[RequestID]*request
	holdQueue holdQueue
	engines   engineTable
	pools     [RoleMixed + 1]poolStats // valid for the current event; see pool
	cells     cellPlan

	popularity   prefixPopularity
	latency      latencyModel
	throughputs  [RoleMixed + 1]throughput
	quotas       quotas
	retryBudget  retryBudget
	rateLimits   rateLimits
	subscription subscription
	meanPrompt   promptMeans

	shuttingDown bool // see ShuttingDown
	timerSet     bool
}

// New returns a router with the given settings; all its randomness derives from seed. An error names the
// invalid setting.
func New(set Settings, seed uint64) (*Router, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	r := &Router{
		set: set, kinds: map[string]*EngineKind{}, random: seededRandom{seed},
		requests: map[RequestID]*request{}, engines: engineTable{byName: map[string]*engine{}},
		popularity: prefixPopularity{map[string]float64{}}, quotas: newQuotas(&set), retryBudget: newRetryBudget(),
		rateLimits: rateLimits{map[string]float64{}}, meanPrompt: promptMeans{map[string]float64{}},
	}
	r.indexClasses()
	for i := range set.Kinds {
		r.kinds[set.Kinds[i].Name] = &r.set.Kinds[i]
	}
	return r, nil
}

// indexClasses rebuilds the index of the classes, and the highest priority, from the settings.
func (r *Router) indexClasses() {
	r.classes, r.maxPriority = map[string]*Class{}, 0
	for i := range r.set.Classes {
		r.classes[r.set.Classes[i].Name] = &r.set.Classes[i]
		r.maxPriority = max(r.maxPriority, r.set.Classes[i].PriorityWeight, 1e-9)
	}
}

// Handle processes one event and returns the resulting actions in order. The result is valid until the next
// call.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.actions = now, r.actions[:0]
	clear(r.pools[:])
	switch event := ev.(type) {
	case EngineList:
		r.onEngineList(event)
	case Request:
		r.onRequest(event)
	case FirstToken:
		r.onFirstToken(event)
	case Outcome:
		r.onOutcome(event)
	case ClientGone:
		if req := r.requests[event.ID]; req != nil {
			r.onClientGone(req)
		}
	case GatewaysChanged:
		r.onGatewaysChanged(event.Gateways)
	case ShuttingDown:
		r.shuttingDown = true
		r.onShuttingDown(event.Final)
	case ProbeResult:
		r.onProbeResult(event)
	case TimerFired:
		r.onTick()
	}
	if !r.timerSet {
		r.timerSet = true
		r.emit(SetTimer{After: r.tickPeriod(), Name: "tick"})
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// tickPeriod is defaultTickInterval, or an eighth of HeldStateLimit if that is shorter, but at least the
// TickInterval of the settings.
func (r *Router) tickPeriod() time.Duration {
	return max(min(defaultTickInterval, r.set.HeldStateLimit/8), r.set.TickInterval)
}

// onTick dispatches queued requests again and cancels overdue attempts, as no events report either.
func (r *Router) onTick() {
	r.timerSet = false
	if r.set.MustSubscribe && r.subscription.shouldRetry(r.now) {
		r.subscribe()
	}
	for _, req := range r.holdQueue.removeAll() {
		if req.phase == awaitingDecode {
			r.dispatchDecode(req)
		} else {
			r.dispatchPrefill(req)
		}
	}
	for role := RolePrefill; role <= RoleMixed && r.set.CanCancel; role++ {
		r.cancelOverdue(role)
	}
}

func (r *Router) onRequest(event Request) {
	class := r.classes[event.Class]
	if r.requests[event.ID] != nil {
		return
	}
	req := &request{
		Request: event, class: class, maxAttempts: r.set.MaxAttempts,
		deadline: r.now + event.TTL, phaseSince: r.now,
	}
	r.requests[event.ID] = req
	if class == nil || r.shuttingDown { // shutdown would cancel any attempt sent now
		r.rejectOrFail(req, 0)
		return
	}
	req.objective = min(r.now+class.firstTokenObjective(event.PromptTokens), req.deadline)
	weight := r.quotas.consume(event.Tenant, r.now)
	if weight == 0 { // no priority: the client may retry when the quota allows another request
		r.reject(req, r.quotas.refillTime(event.Tenant), true)
		return
	}
	req.priority = class.PriorityWeight * weight
	r.retryBudget.deposit(r.set.Gateways)
	r.popularity.count(event.Prefix)
	r.meanPrompt.observe(event.Class, event.PromptTokens)
	r.dispatchPrefill(req)
}

func (r *Router) onFirstToken(event FirstToken) {
	req := r.requests[event.ID]
	if req == nil || req.engine == nil || event.Attempt != req.attempts-1 {
		return
	}
	e := req.engine
	e.recordResponse(r.now)
	e.recordSuccess(req.sentAt)
	req.cancelled = false
	if req.phase == prefilling {
		r.recordPrefill(e, req, float64(req.prefillTokens), event.Latency)
	} else {
		r.latency.observeFirstToken(e.role(), event.Latency.Seconds(), r.now)
		e.latencyRatio.observe(event.Latency.Seconds()/req.expectedTime.Seconds(), r.now)
	}
	r.recordThroughput(e, r.meanPrompt.mean(req.Class))
	r.setPhase(req, streaming, e)
	req.stateHolder = nil
}

func (r *Router) onOutcome(event Outcome) {
	req := r.requests[event.ID]
	if e := r.engines.byName[event.Engine]; e != nil {
		e.report.update(event.Report, r.now)
	}
	if req == nil || req.engine == nil || event.Attempt != req.attempts-1 {
		return
	}
	e := req.engine
	r.recordOutcome(e, req, event)
	if event.Status == StatusPrefilled || event.Status == StatusServed && req.prefillsAndDecodes {
		e.cache.record(&req.Request, r.now)
	}
	if e.role() != RolePrefill && provesNoEffect(event.Status) {
		req.effects.removeLatest()
	}
	r.endAttempt(req, event.Status)
	if event.Status == StatusPrefilled {
		req.stateHolder = e
	}
	switch {
	case event.Final || req.ended:
		r.finish(req)
	case event.Status == StatusPrefilled && req.attempts < req.maxAttempts:
		r.dispatchDecode(req)
	default:
		if event.StateMissing {
			req.stateHolder = nil
		}
		req.lastFailedEngine = e
		r.retryIfAllowed(req, event.Status)
	}
}

// onShuttingDown rejects or fails the requests whose answers have not started, so that clients can retry at
// another gateway. Those in flight at a decode engine may have run and are answered soon: they are
// rejected or failed only if final is set.
func (r *Router) onShuttingDown(final bool) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if req := r.requests[id]; !req.ended && req.phase != streaming && (final || req.phase != decoding) {
			if req.engine != nil {
				r.cancel(req)
			}
			r.rejectOrFail(req, 0)
		}
	}
}

// onGatewaysChanged updates the number of gateways that share the engines. This router's fraction of every
// quota changes with it, as do all estimates that use the number.
func (r *Router) onGatewaysChanged(gateways int) {
	if gateways < 1 || gateways == r.set.Gateways {
		return
	}
	r.quotas.rescale(r.set.Gateways, gateways)
	r.set.Gateways = gateways
}

// QuotaStatus returns the state of a tenant's quota at this router as of the tenant's latest request; false
// if it has no quota.
func (r *Router) QuotaStatus(tenant string) (QuotaStatus, bool) { return r.quotas.status(tenant) }

// Idempotent reports whether requests of a class may be retried without restriction.
func (r *Router) Idempotent(class string) bool {
	c := r.classes[class]
	return c != nil && c.Effect == EffectIdempotent
}

// CanPrefill reports whether engines of a kind may prefill a prompt.
func (r *Router) CanPrefill(kind string) bool {
	k := r.kinds[kind]
	if k == nil {
		return false
	}
	return k.Role == RolePrefill || k.Role == RoleMixed || k.Role == RoleDecode && r.set.DecodePrefills
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
