package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/invariant"
	"wellgw/internal/platform"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// heldSeeds is how many scenarios the suite plays. HELD_SEED plays one, with its steps, and
// HELD_SEEDS so many.
const heldSeeds = 150

// heldEnd is how long after the last request and fault a scenario goes on: cuts have healed,
// and whatever is still held then is held for good.
const heldEnd = 40 * time.Second

// answerSlack is how long after a client's time its answer may come and still count.
const answerSlack = 50 * time.Millisecond

// scenario is one drawn deployment with its clients and faults.
type scenario struct {
	random   *rand.Rand
	fleet    *simFleet
	core     *core.Core
	settings routing.Settings
	members  []core.Endpoint
	clients  sync.WaitGroup
	end      context.CancelFunc // of the process: the core and the pool
	resumes  bool               // clients ask for the rest of a stream that broke
	leaving  atomic.Bool        // it takes no more, as it has been told to end
	streams  context.Context    // ends when the process cuts off what streams
	cut      context.CancelFunc // ends streams
	gone     chan struct{}      // closed once it has ended; nil if it is not told to
}

func pick[T any](r *rand.Rand, of ...T) T { return of[r.IntN(len(of))] }

// between draws a span.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)+1))
}

// drawSettings draws another customer's settings.
func drawSettings(r *rand.Rand) routing.Settings {
	effects := []routing.Effect{routing.EffectIdempotent, routing.EffectDeduplicated, routing.EffectAtMostOnce}
	set := routing.Settings{
		Zones: []string{"a", "b"}[:1+r.IntN(2)], Gateways: 1 + r.IntN(4), MaxAttempts: 1 + r.IntN(5),
		CanCancel: r.IntN(4) > 0, CanRetryAfter: true, MaxRetryAfter: time.Second, DecodePrefills: r.IntN(3) == 0,
		SlowStartPeriod: time.Second, SlowStartCapacity: 0.3, OverloadWindow: time.Second, OverloadMultiple: 3,
		HeldStateLimit: between(r, 100*time.Millisecond, 2*time.Second), TickInterval: pick(r, time.Millisecond, 4*time.Millisecond, 20*time.Millisecond),
	}
	set.Zone = set.Zones[0]
	for _, role := range []routing.Role{routing.RolePrefill, routing.RoleDecode, routing.RoleMixed} {
		set.Kinds = append(set.Kinds, routing.EngineKind{Name: kindNames[role], Role: role, Memory: 2e5})
	}
	for i := range 3 {
		set.Classes = append(set.Classes, routing.Class{
			Name: fmt.Sprint("c", i), FirstTokenObjective: between(r, 500*time.Millisecond, 3*time.Second), PriorityWeight: 1,
			Effect: effects[i], DedupScope: pick(r, routing.DedupAllEngines, routing.DedupZone, routing.DedupCell), DedupWindow: between(r, time.Second, 5*time.Second),
		})
	}
	return set
}

// newScenario draws a deployment and starts a gateway's core and pool before it.
func newScenario(t *testing.T, seed uint64) *scenario {
	r := rand.New(rand.NewPCG(seed, 0))
	set := drawSettings(r)
	s := &scenario{random: r, settings: set, fleet: newSimFleet(simRules{
		pinLimit: set.HeldStateLimit, anywhere: r.IntN(2) == 0, stopsWork: r.IntN(2) == 0, learnsLate: r.IntN(2) == 0,
		ownRead: set.DecodePrefills, readersLast: between(r, 20*time.Millisecond, 600*time.Millisecond),
	}, seed)}
	for i := range 2 + r.IntN(5) {
		s.add(routing.RolePrefill, i)
	}
	for i := range 2 + r.IntN(4) {
		s.add(routing.RoleDecode, i)
	}
	if r.IntN(3) == 0 {
		for i := range 1 + r.IntN(3) {
			s.add(routing.RoleMixed, i)
		}
	}
	connect := between(r, 100*time.Millisecond, time.Second)
	pool := upstream.NewPool(upstream.Options{
		ConnectTimeout: connect, ServerIdleTimeout: 15 * time.Second, MaxConns: 400,
		StreamSilenceTimeout: 5 * time.Second, ReuseDelay: 30 * time.Millisecond, Dial: s.fleet.dial,
	})
	process, end := context.WithCancel(t.Context())
	s.end = end
	s.streams, s.cut = context.WithCancel(t.Context())
	s.resumes = r.IntN(2) == 0
	go pool.Sweep(process)
	router, err := routing.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	figures := core.Limits{DeadlineSlack: 16 * time.Millisecond, HeldStateLimit: set.HeldStateLimit, HeldStateSlack: releaseSlack, MaxAttempts: set.MaxAttempts}
	engine := upstream.NewClient(pool, func(string) upstream.Dialect { return platform.Dialect{} })
	s.core = core.New(router, engine, still{}, figures, s.log(t), invariant.New())
	go s.core.Run(process)
	s.core.UpdateEndpoints(routing.EngineListSnapshot, s.members)
	s.fleet.step("settings %+v, rules %+v, clients resume: %v", set, s.fleet.rules, s.resumes)
	return s
}

// log returns the core's log, which goes among the steps where one scenario is played alone.
func (s *scenario) log(t *testing.T) *slog.Logger {
	if number(t, "HELD_SEED") == 0 {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(stepWriter{s.fleet}, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && (a.Key == slog.TimeKey || a.Key == slog.LevelKey) {
			return slog.Attr{}
		}
		return a
	}}))
}

// stepWriter makes steps of a log's lines.
type stepWriter struct{ fleet *simFleet }

func (w stepWriter) Write(line []byte) (int, error) {
	w.fleet.step("%s", bytes.TrimSpace(line))
	return len(line), nil
}

// kindNames are the names of the kinds of engines, by role.
var kindNames = map[routing.Role]string{routing.RolePrefill: "r", routing.RoleDecode: "w", routing.RoleMixed: "m"}

func (s *scenario) add(role routing.Role, n int) {
	kind := kindNames[role]
	name := fmt.Sprint(kind, n)
	zone := n % len(s.settings.Zones)
	s.fleet.add(name, role, 200*time.Microsecond+time.Duration(zone)*between(s.random, time.Millisecond, 3*time.Millisecond))
	s.members = append(s.members, core.Endpoint{Addr: name, EngineInfo: routing.EngineInfo{
		Name: name, Kind: kind, Zone: s.settings.Zones[zone], Cell: n % 3, Weight: 1,
	}})
}

// still is a directory that tells nothing by itself.
type still struct{}

func (still) Subscribe() {}

// play runs clients and faults and waits until all has come to rest.
func (s *scenario) play(t *testing.T) {
	asks := 25 + s.random.IntN(25)
	s.planReloads(t, asks)
	s.planEnd(t, asks)
	for n := range asks {
		time.Sleep(between(s.random, 0, 150*time.Millisecond))
		if s.random.IntN(5) == 0 {
			s.fault()
		}
		if !s.leaving.Load() {
			s.ask(t.Context(), n)
		}
	}
	s.clients.Wait()
	time.Sleep(heldEnd)
	if s.leaving.Load() {
		<-s.gone
	}
}

// planReloads has the settings in force replaced, as SIGHUP does, when requests reach stages.
func (s *scenario) planReloads(t *testing.T, asks int) {
	for range s.random.IntN(3) {
		next := s.settings
		next.MaxAttempts = 1 + s.random.IntN(5)
		next.Classes = slices.Clone(next.Classes)
		for i := range next.Classes {
			next.Classes[i].Effect = pick(s.random, routing.EffectIdempotent, routing.EffectDeduplicated, routing.EffectAtMostOnce)
		}
		s.fleet.on(trigger{stage: pick(s.random, stages...), skip: s.random.IntN(asks), run: func() {
			s.fleet.step("settings are replaced")
			if err := s.core.Reconfigure(t.Context(), next); err != nil {
				t.Error(err)
			}
		}})
	}
}

// planEnd has the process told to end, in half of the scenarios, when a request reaches a stage.
func (s *scenario) planEnd(t *testing.T, asks int) {
	s.gone = make(chan struct{})
	if s.random.IntN(2) == 0 {
		return
	}
	early, atOnce := between(s.random, 0, time.Second), s.random.IntN(2) == 0
	kill := early + between(s.random, time.Second, 4*time.Second)
	s.fleet.on(trigger{stage: pick(s.random, stages...), skip: s.random.IntN(asks), run: func() {
		defer close(s.gone)
		s.fleet.step("the gateway is told to end, gives up after %v, is killed after %v", early, kill)
		s.leaving.Store(!s.resumes) // where clients resume, all is served as ever for a while
		process, stop := context.WithTimeout(t.Context(), kill)
		defer stop()
		time.Sleep(early)
		s.leaving.Store(true)
		s.core.NotifyShutdown(atOnce)
		last := time.AfterFunc((kill-early)/2, func() {
			s.core.NotifyShutdown(true)
			s.cut()
		})
		defer last.Stop()
		killed := s.core.Drain(process) != nil
		s.end()
		s.fleet.processEnds(killed)
	}})
}

// Clients that ask for the rest of a stream that broke come again so soon, and so often.
const (
	resumeWithin = 250 * time.Millisecond
	resumeMost   = 3
)

// visit is what one client does: its request, when it leaves, and when it comes again where
// clients ask for the rest of a stream.
type visit struct {
	request core.Request
	stay    time.Duration // from when the request comes; the rest of a stream is waited for whole
	leaveAt stage         // "" for none
	pauses  []time.Duration
}

// drawVisit draws a client; some leave early, some of these in the middle of their stream.
func (s *scenario) drawVisit(n int) visit {
	wait := between(s.random, 300*time.Millisecond, 5*time.Second)
	v := visit{stay: wait}
	switch s.random.IntN(8) {
	case 0:
		v.stay = between(s.random, 0, wait)
	case 1, 2:
		v.leaveAt = pick(s.random, stages...)
	}
	v.request = core.Request{ClientRequestID: fmt.Sprint("q", n), Payload: core.Payload{Method: "POST", Target: "/v1/chat/completions", Body: []byte("{}")}}
	v.request.Request = routing.Request{Class: fmt.Sprint("c", s.random.IntN(3)), Session: fmt.Sprint(s.random.IntN(5)), PromptTokens: 100, MaxTokens: 10, TTL: wait}
	if s.resumes {
		for range s.random.IntN(resumeMost + 1) {
			v.pauses = append(v.pauses, between(s.random, 0, resumeWithin))
		}
	}
	return v
}

// ask has one client make a request and, where clients do so, ask for the rest of its stream
// as often as that breaks.
func (s *scenario) ask(ctx context.Context, n int) {
	v := s.drawVisit(n)
	s.clients.Go(func() {
		q := v.request
		broke := s.try(ctx, q, v.stay, v.leaveAt)
		for again, pause := range v.pauses {
			time.Sleep(pause)
			if !broke || s.leaving.Load() {
				return
			}
			q.ClientRequestID = fmt.Sprint(v.request.ClientRequestID, "-", again+1)
			q.Reconnect = true
			broke = s.try(ctx, q, q.TTL, "")
		}
	})
}

// try has a client make one request and tells whether it ended with its stream broken, or left
// by the client.
func (s *scenario) try(ctx context.Context, q core.Request, stay time.Duration, leaveAt stage) (broke bool) {
	mine, leave := context.WithTimeout(ctx, stay)
	defer leave()
	stop := context.AfterFunc(s.streams, leave)
	defer stop()
	s.fleet.step("%s class %s comes, waits %v of %v", q.ClientRequestID, q.Class, stay, q.TTL)
	if leaveAt != "" {
		s.fleet.on(trigger{id: q.ClientRequestID, stage: leaveAt, run: leave})
	}
	q.Arrived = time.Now()
	s.fleet.account(q.ClientRequestID, func(r *record) { r.due = q.Arrived.Add(q.TTL) })
	a, ticket, here := core.SubmitAndWait(mine, s.core, q)
	s.fleet.step("%s answered: %v, verdict %v", q.ClientRequestID, here, a.Verdict)
	s.fleet.account(q.ClientRequestID, func(r *record) { r.left = time.Now() })
	if late := time.Since(q.Arrived) - q.TTL; late > answerSlack {
		s.fleet.fail("%s had no answer for %v after its time", q.ClientRequestID, late)
	}
	if !here || a.Verdict != core.Streaming {
		return false
	}
	stopNote := context.AfterFunc(mine, func() {
		s.fleet.account(q.ClientRequestID, func(r *record) { r.streamLeft = time.Now() })
	})
	defer stopNote()
	return ticket.Relay(mine, a.Stream, func([]byte) error { return nil }) != nil
}

// fault does something to an engine or its network, and mends it later.
func (s *scenario) fault() {
	name := pick(s.random, s.members...).Name
	last := between(s.random, 200*time.Millisecond, 6*time.Second)
	broken := s.random.IntN(2) == 0
	switch s.random.IntN(10) {
	case 0, 1:
		names := []string{name}
		if s.random.IntN(2) == 0 { // a zone, or a role
			names = nil
			for _, m := range s.members {
				if s.random.IntN(2) == 0 {
					names = append(names, m.Name)
				}
			}
		}
		for _, name := range names {
			s.partition(name, last, broken)
		}
	case 2:
		s.fleet.network(name, "refused", func(l *simLink) { l.change(func() { l.refused = true }); l.reset() })
		time.AfterFunc(last, func() {
			s.fleet.network(name, "taken again", func(l *simLink) { l.change(func() { l.refused = false }) })
		})
	case 3:
		s.fleet.network(name, "reset", func(l *simLink) { l.reset() })
	case 4:
		late := between(s.random, 50*time.Millisecond, time.Second)
		s.fleet.network(name, fmt.Sprint("late by ", late), func(l *simLink) { l.change(func() { l.late = late }) })
		time.AfterFunc(last, func() {
			s.fleet.network(name, "in time", func(l *simLink) { l.change(func() { l.late = 0 }) })
		})
	case 5:
		s.fleet.restart(name)
	case 6, 7:
		s.loseConnections(name, last)
	case 8:
		s.fleet.network(name, "all open connections lost", func(l *simLink) { l.loseAll() })
	case 9:
		s.holdUp(between(s.random, 100*time.Millisecond, mostHeldUp))
	}
}

// holdUp holds the gateway's process up: its connections, and its core, which delivers an answer that takes
// as long.
func (s *scenario) holdUp(span time.Duration) {
	if !s.fleet.holdUp(span) {
		return
	}
	s.core.Submit(core.Request{ClientRequestID: "held up", Arrived: time.Now()}, sleepingFront(span))
}

// sleepingFront is a front that takes a while over an answer, and keeps the core waiting.
type sleepingFront time.Duration

func (f sleepingFront) Answer(core.Answer) { time.Sleep(time.Duration(f)) }

// mostConnections is more than a gateway ever has open to one engine here.
const mostConnections = 1000

// mostHeldUp is for how long a process may be held up between its clock and a write.
const mostHeldUp = 150 * time.Millisecond

// loseConnections loses single connections to an engine for a while, one after the other.
func (s *scenario) loseConnections(name string, last time.Duration) {
	both, pause := s.random.IntN(3) > 0, between(s.random, 20*time.Millisecond, 200*time.Millisecond)
	end := time.Now().Add(last)
	go func() {
		for time.Now().Before(end) && s.streams.Err() == nil {
			drawn := s.fleet.chance(mostConnections)
			s.fleet.network(name, "a connection lost", func(l *simLink) { l.lose(drawn, both) })
			time.Sleep(pause)
		}
	}()
}

func (s *scenario) partition(name string, last time.Duration, broken bool) {
	s.fleet.network(name, "cut", func(l *simLink) { l.change(func() { l.cut = true }) })
	time.AfterFunc(last, func() {
		s.fleet.network(name, fmt.Sprint("healed, connections broken: ", broken), func(l *simLink) {
			if broken {
				l.reset()
			}
			l.change(func() { l.cut, l.healed = false, time.Now() })
		})
	})
}

// While none of a request's attempts is out, what is held for it at an engine is taken or
// let go within the pin limit and the slack of the protocol page: under any customer's
// settings, and whatever engines, connections and clients do meanwhile.
func TestHeldStatesUnderDrawnFaults(t *testing.T) {
	first, last := uint64(1), uint64(heldSeeds)
	if n := number(t, "HELD_SEEDS"); n > 0 {
		last = n
	}
	if n := number(t, "HELD_SEED"); n > 0 {
		first, last = n, n
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHeld(t, seed, first == last) })
		})
	}
}

// number reads a number from the environment, 0 if it is not there.
func number(t *testing.T, name string) uint64 {
	v := os.Getenv(name)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func playHeld(t *testing.T, seed uint64, steps bool) {
	s := newScenario(t, seed)
	s.play(t)
	bad := s.fleet.verdict()
	for _, what := range bad {
		t.Error(what)
	}
	if len(bad) > 0 || steps {
		for _, step := range s.fleet.steps {
			t.Log(step)
		}
	}
	for name := range s.fleet.links {
		s.fleet.links[name].reset()
	}
}
