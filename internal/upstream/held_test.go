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

// scenarioCount is the number of scenarios that the test runs. HELD_SEED selects one, and logs its
// steps; HELD_SEEDS sets another number.
const scenarioCount = 150

// settleTime is how long a scenario continues after the last request and fault: cuts have healed,
// and state that is still held then is never released.
const settleTime = 40 * time.Second

// answerSlack is how long after the client's timeout an answer may still arrive.
const answerSlack = 50 * time.Millisecond

// scenario is a random deployment with its clients and faults.
type scenario struct {
	random        *rand.Rand
	fleet         *simFleet
	core          *core.Core
	settings      routing.Settings
	endpoints     []core.Endpoint
	clients       sync.WaitGroup
	stopProcess   context.CancelFunc // stops the process: the core and the pool
	clientsResume bool               // clients request the remainder of a broken stream
	draining      atomic.Bool        // the process rejects new requests, as it shuts down
	streams       context.Context    // ends when the process aborts open streams
	abortStreams  context.CancelFunc // aborts open streams
	exited        chan struct{}      // closed once the process has exited, if planShutdown has scheduled that
}

func pickOne[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// randomDuration returns a random duration from low to high.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}

// randomSettings returns random settings.
func randomSettings(r *rand.Rand) routing.Settings {
	effects := []routing.Effect{routing.EffectIdempotent, routing.EffectDeduplicated, routing.EffectAtMostOnce}
	settings := routing.Settings{
		Zones: []string{"a", "b"}[:1+r.IntN(2)], Gateways: 1 + r.IntN(4), MaxAttempts: 1 + r.IntN(5),
		CanCancel: r.IntN(4) > 0, CanRetryAfter: true, MaxRetryAfter: time.Second, DecodePrefills: r.IntN(3) == 0,
		SlowStartPeriod: time.Second, SlowStartCapacity: 0.3, OverloadWindow: time.Second, OverloadMultiple: 3,
		HeldStateLimit: randomDuration(r, 100*time.Millisecond, 2*time.Second), TickInterval: pickOne(r, time.Millisecond, 4*time.Millisecond, 20*time.Millisecond),
	}
	settings.Zone = settings.Zones[0]
	for _, role := range []routing.Role{routing.RolePrefill, routing.RoleDecode, routing.RoleMixed} {
		settings.Kinds = append(settings.Kinds, routing.EngineKind{Name: kindNames[role], Role: role, Memory: 2e5})
	}
	for i := range 3 {
		settings.Classes = append(settings.Classes, routing.Class{
			Name: fmt.Sprint("c", i), FirstTokenObjective: randomDuration(r, 500*time.Millisecond, 3*time.Second), PriorityWeight: 1,
			Effect: effects[i], DedupScope: pickOne(r, routing.DedupAllEngines, routing.DedupZone, routing.DedupCell), DedupWindow: randomDuration(r, time.Second, 5*time.Second),
		})
	}
	return settings
}

// newScenario creates a random deployment and starts the core and the pool of a gateway.
func newScenario(t *testing.T, seed uint64) *scenario {
	r := rand.New(rand.NewPCG(seed, 0))
	settings := randomSettings(r)
	s := &scenario{random: r, settings: settings, fleet: newSimFleet(simRules{
		pinLimit: settings.HeldStateLimit, releaseAnywhere: r.IntN(2) == 0, cancelStopsWork: r.IntN(2) == 0, endsWhenNoticed: r.IntN(2) == 0,
		decodePrefills: settings.DecodePrefills, maxPrefillTime: randomDuration(r, 20*time.Millisecond, 600*time.Millisecond),
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
	connect := randomDuration(r, 100*time.Millisecond, time.Second)
	pool := upstream.NewPool(upstream.Options{
		ConnectTimeout: connect, ServerIdleTimeout: 15 * time.Second, MaxConns: 400,
		StreamSilenceTimeout: 5 * time.Second, Dial: s.fleet.dial,
	})
	process, stopProcess := context.WithCancel(t.Context())
	s.stopProcess = stopProcess
	s.streams, s.abortStreams = context.WithCancel(t.Context())
	s.clientsResume = r.IntN(2) == 0
	go pool.Sweep(process)
	router, err := routing.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	limits := core.Limits{DeadlineSlack: 16 * time.Millisecond, HeldStateLimit: settings.HeldStateLimit, HeldStateSlack: releaseSlack, MaxAttempts: settings.MaxAttempts}
	client := upstream.NewClient(pool, func(string) upstream.Dialect { return platform.Dialect{} })
	s.core = core.New(router, client, staticDirectory{}, limits, s.log(t), invariant.New())
	go s.core.Run(process)
	s.core.UpdateEndpoints(routing.EngineListSnapshot, s.endpoints)
	s.fleet.step("settings %+v, rules %+v, clients resume: %v", settings, s.fleet.rules, s.clientsResume)
	return s
}

// log returns the log of the core, which is part of the steps if a single scenario runs.
func (s *scenario) log(t *testing.T) *slog.Logger {
	if envNumber(t, "HELD_SEED") == 0 {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(stepWriter{s.fleet}, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && (a.Key == slog.TimeKey || a.Key == slog.LevelKey) {
			return slog.Attr{}
		}
		return a
	}}))
}

// stepWriter records the lines of a log as steps.
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
	s.fleet.add(name, role, 200*time.Microsecond+time.Duration(zone)*randomDuration(s.random, time.Millisecond, 3*time.Millisecond))
	s.endpoints = append(s.endpoints, core.Endpoint{Addr: name, EngineInfo: routing.EngineInfo{
		Name: name, Kind: kind, Zone: s.settings.Zones[zone], Cell: n % 3, Weight: 1,
	}})
}

// staticDirectory is a directory that sends no updates.
type staticDirectory struct{}

func (staticDirectory) Subscribe() {}

// run runs clients and faults and waits until all attempts, faults and releases have ended.
func (s *scenario) run(t *testing.T) {
	requests := 25 + s.random.IntN(25)
	s.planReloads(t, requests)
	s.planShutdown(t, requests)
	for n := range requests {
		time.Sleep(randomDuration(s.random, 0, 150*time.Millisecond))
		if s.random.IntN(5) == 0 {
			s.injectFault()
		}
		if !s.draining.Load() {
			s.runClient(t.Context(), n)
		}
	}
	s.clients.Wait()
	time.Sleep(settleTime)
	if s.draining.Load() {
		<-s.exited
	}
}

// planReloads replaces the settings, as SIGHUP does, when requests reach random stages.
func (s *scenario) planReloads(t *testing.T, requests int) {
	for range s.random.IntN(3) {
		next := s.settings
		next.MaxAttempts = 1 + s.random.IntN(5)
		next.Classes = slices.Clone(next.Classes)
		for i := range next.Classes {
			next.Classes[i].Effect = pickOne(s.random, routing.EffectIdempotent, routing.EffectDeduplicated, routing.EffectAtMostOnce)
		}
		s.fleet.addTrigger(trigger{stage: pickOne(s.random, stages...), skip: s.random.IntN(requests), run: func() {
			s.fleet.step("the settings are replaced")
			if err := s.core.Reconfigure(t.Context(), next); err != nil {
				t.Error(err)
			}
		}})
	}
}

// planShutdown shuts the process down, in half of the scenarios, when a request reaches a random
// stage.
func (s *scenario) planShutdown(t *testing.T, requests int) {
	s.exited = make(chan struct{})
	if s.random.IntN(2) == 0 {
		return
	}
	shutdownDelay, final := randomDuration(s.random, 0, time.Second), s.random.IntN(2) == 0
	killDelay := shutdownDelay + randomDuration(s.random, time.Second, 4*time.Second)
	s.fleet.addTrigger(trigger{stage: pickOne(s.random, stages...), skip: s.random.IntN(requests), run: func() {
		defer close(s.exited)
		s.fleet.step("the gateway drains, rejects waiting requests after %v, is killed after %v", shutdownDelay, killDelay)
		s.draining.Store(!s.clientsResume) // if clients resume, requests are accepted until shutdownDelay has passed
		process, stop := context.WithTimeout(t.Context(), killDelay)
		defer stop()
		time.Sleep(shutdownDelay)
		s.draining.Store(true)
		s.core.NotifyShutdown(final)
		abortTimer := time.AfterFunc((killDelay-shutdownDelay)/2, func() {
			s.core.NotifyShutdown(true)
			s.abortStreams()
		})
		defer abortTimer.Stop()
		killed := s.core.Drain(process) != nil
		s.stopProcess()
		s.fleet.processExited(killed)
	}})
}

// Maximum delay before a client requests the remainder of a broken stream, and how often it may do
// so.
const (
	maxResumeDelay = 250 * time.Millisecond
	maxResumes     = 3
)

// simClient is the behaviour of one client: its request, when it disconnects, and when it requests
// the remainder of a broken stream.
type simClient struct {
	request      core.Request
	timeout      time.Duration // from the arrival of the request; requests for a remainder use the full TTL
	disconnectAt stage         // "" for none
	resumeDelays []time.Duration
}

// randomClient returns a random client; some disconnect early, some of these during their stream.
func (s *scenario) randomClient(n int) simClient {
	wait := randomDuration(s.random, 300*time.Millisecond, 5*time.Second)
	client := simClient{timeout: wait}
	switch s.random.IntN(8) {
	case 0:
		client.timeout = randomDuration(s.random, 0, wait)
	case 1, 2:
		client.disconnectAt = pickOne(s.random, stages...)
	}
	client.request = core.Request{ClientRequestID: fmt.Sprint("q", n), Payload: core.Payload{Method: "POST", Target: "/v1/chat/completions", Body: []byte("{}")}}
	client.request.Request = routing.Request{Class: fmt.Sprint("c", s.random.IntN(3)), Session: fmt.Sprint(s.random.IntN(5)), PromptTokens: 100, MaxTokens: 10, TTL: wait}
	if s.clientsResume {
		for range s.random.IntN(maxResumes + 1) {
			client.resumeDelays = append(client.resumeDelays, randomDuration(s.random, 0, maxResumeDelay))
		}
	}
	return client
}

// runClient runs one client: its request and, if clients resume, requests for the remainder of its
// stream as often as that breaks.
func (s *scenario) runClient(ctx context.Context, n int) {
	client := s.randomClient(n)
	s.clients.Go(func() {
		q := client.request
		broken := s.runRequest(ctx, q, client.timeout, client.disconnectAt)
		for i, delay := range client.resumeDelays {
			time.Sleep(delay)
			if !broken || s.draining.Load() {
				return
			}
			q.ClientRequestID = fmt.Sprint(client.request.ClientRequestID, "-", i+1)
			q.Reconnect = true
			broken = s.runRequest(ctx, q, q.TTL, "")
		}
	})
}

// runRequest makes one request. It reports whether the stream broke, or the client disconnected
// during it.
func (s *scenario) runRequest(ctx context.Context, q core.Request, timeout time.Duration, disconnectAt stage) (broken bool) {
	clientCtx, disconnect := context.WithTimeout(ctx, timeout)
	defer disconnect()
	stop := context.AfterFunc(s.streams, disconnect)
	defer stop()
	s.fleet.step("%s class %s arrives, waits %v of %v", q.ClientRequestID, q.Class, timeout, q.TTL)
	if disconnectAt != "" {
		s.fleet.addTrigger(trigger{id: q.ClientRequestID, stage: disconnectAt, run: disconnect})
	}
	q.Arrived = time.Now()
	s.fleet.updateRecord(q.ClientRequestID, func(r *requestRecord) { r.deadline = q.Arrived.Add(q.TTL) })
	a, ticket, answered := core.SubmitAndWait(clientCtx, s.core, q)
	s.fleet.step("%s answered: %v, verdict %v", q.ClientRequestID, answered, a.Verdict)
	s.fleet.updateRecord(q.ClientRequestID, func(r *requestRecord) { r.clientGoneAt = time.Now() })
	if excess := time.Since(q.Arrived) - q.TTL; excess > answerSlack {
		s.fleet.addViolation("%s had no answer for %v after its timeout", q.ClientRequestID, excess)
	}
	if !answered || a.Verdict != core.Streaming {
		return false
	}
	stopRecording := context.AfterFunc(clientCtx, func() {
		s.fleet.updateRecord(q.ClientRequestID, func(r *requestRecord) { r.streamAbortedAt = time.Now() })
	})
	defer stopRecording()
	return ticket.Relay(clientCtx, a.Stream, func([]byte) error { return nil }) != nil
}

// injectFault applies a random fault to an engine or its network, and ends it later.
func (s *scenario) injectFault() {
	name := pickOne(s.random, s.endpoints...).Name
	duration := randomDuration(s.random, 200*time.Millisecond, 6*time.Second)
	resetConns := s.random.IntN(2) == 0
	switch s.random.IntN(10) {
	case 0, 1:
		names := []string{name}
		if s.random.IntN(2) == 0 { // a random subset, such as a zone or all engines of a role
			names = nil
			for _, endpoint := range s.endpoints {
				if s.random.IntN(2) == 0 {
					names = append(names, endpoint.Name)
				}
			}
		}
		for _, name := range names {
			s.partition(name, duration, resetConns)
		}
	case 2:
		s.fleet.changeNetwork(name, "refused", func(l *simLink) { l.change(func() { l.refused = true }); l.reset() })
		time.AfterFunc(duration, func() {
			s.fleet.changeNetwork(name, "accepted again", func(l *simLink) { l.change(func() { l.refused = false }) })
		})
	case 3:
		s.fleet.changeNetwork(name, "reset", func(l *simLink) { l.reset() })
	case 4:
		connectDelay := randomDuration(s.random, 50*time.Millisecond, time.Second)
		s.fleet.changeNetwork(name, fmt.Sprint("connect delay ", connectDelay), func(l *simLink) { l.change(func() { l.connectDelay = connectDelay }) })
		time.AfterFunc(duration, func() {
			s.fleet.changeNetwork(name, "no connect delay", func(l *simLink) { l.change(func() { l.connectDelay = 0 }) })
		})
	case 5:
		s.fleet.restart(name)
	case 6, 7:
		s.loseConnections(name, duration)
	case 8:
		s.fleet.changeNetwork(name, "all open connections lost", func(l *simLink) { l.loseAll() })
	case 9:
		s.stall(randomDuration(s.random, 100*time.Millisecond, maxStall))
	}
}

// stall stalls the gateway's process: its connections, and its core, by an answer whose delivery
// takes as long.
func (s *scenario) stall(duration time.Duration) {
	if !s.fleet.stall(duration) {
		return
	}
	s.core.Submit(core.Request{ClientRequestID: "held up", Arrived: time.Now()}, slowFront(duration))
}

// slowFront is a front that blocks the core for a while with the delivery of an answer.
type slowFront time.Duration

func (f slowFront) Answer(core.Answer) { time.Sleep(time.Duration(f)) }

// maxConnections exceeds the number of connections that a gateway here ever has open to one engine.
const maxConnections = 1000

// maxStall is how long a process may be stalled between its check of the time and a write.
const maxStall = 150 * time.Millisecond

// loseConnections loses single connections to an engine for a duration, one after the other.
func (s *scenario) loseConnections(name string, duration time.Duration) {
	both, delay := s.random.IntN(3) > 0, randomDuration(s.random, 20*time.Millisecond, 200*time.Millisecond)
	end := time.Now().Add(duration)
	go func() {
		for time.Now().Before(end) && s.streams.Err() == nil {
			random := s.fleet.randomN(maxConnections)
			s.fleet.changeNetwork(name, "a connection lost", func(l *simLink) { l.lose(random, both) })
			time.Sleep(delay)
		}
	}()
}

func (s *scenario) partition(name string, duration time.Duration, resetConns bool) {
	s.fleet.changeNetwork(name, "cut", func(l *simLink) { l.change(func() { l.cut = true }) })
	time.AfterFunc(duration, func() {
		s.fleet.changeNetwork(name, fmt.Sprint("healed, connections reset: ", resetConns), func(l *simLink) {
			if resetConns {
				l.reset()
			}
			l.change(func() { l.cut, l.healedAt = false, time.Now() })
		})
	})
}

// While none of a request's attempts is in flight, its held state is fetched or released within the
// pin limit and the slack of the protocol page: under random settings and faults of engines,
// connections and clients.
func TestHeldStatesUnderRandomFaults(t *testing.T) {
	first, last := uint64(1), uint64(scenarioCount)
	if n := envNumber(t, "HELD_SEEDS"); n > 0 {
		last = n
	}
	if n := envNumber(t, "HELD_SEED"); n > 0 {
		first, last = n, n
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, seed, first == last) })
		})
	}
}

// envNumber reads a number from the environment, 0 if the variable is not set.
func envNumber(t *testing.T, name string) uint64 {
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

func runScenario(t *testing.T, seed uint64, steps bool) {
	s := newScenario(t, seed)
	s.run(t)
	violations := s.fleet.allViolations()
	for _, violation := range violations {
		t.Error(violation)
	}
	if len(violations) > 0 || steps {
		for _, step := range s.fleet.steps {
			t.Log(step)
		}
	}
	for name := range s.fleet.links {
		s.fleet.links[name].reset()
	}
}
