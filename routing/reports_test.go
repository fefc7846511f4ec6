package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestOldestReadDoesNotMoveSession(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
	q := ask(1, 4000)
	keep(r, "a", q.Session, 3999)
	small := ask(2, 100)
	keep(r, "a", small.Session, 99)
	sent(t, r.Handle(ms, small)) // one short read has been out for a while at the keeper
	if to := sent(t, r.Handle(200*ms, q)); to != "a" {
		t.Error("a session left its reader because of one old short read there")
	}
}

// What a deployment counts as waiting differs: whole prompts, or what of them is not kept.
// The time that reads took tells what a reported token stands for against one to be read.
func TestReportedTokensAreWeighed(t *testing.T) {
	for _, c := range []struct{ worth, noise, want float64 }{{1, 0, 1}, {0.25, 0, 0.25}, {0.25, 0.3, 0.25}, {0, 0, 0.1}, {5, 0, 1}} {
		rng := rand.New(rand.NewPCG(4, 4))
		var f reportRegression
		if f.tokenWeight() != 1 {
			t.Error("with nothing known a reported token must count in full")
		}
		for range 400 {
			reported, toRead := 30_000*rng.Float64(), 300+6000*rng.Float64()
			f.observe(reported, toRead, 5e-5*(toRead+c.worth*reported)*(1+c.noise*rng.NormFloat64()))
		}
		if got := f.tokenWeight(); got < c.want-0.06 || got > c.want+0.06 {
			t.Errorf("tokens worth %.2f with noise %.1f are held to be worth %.2f", c.worth, c.noise, got)
		}
	}
}

// Where decode engines read, one with memory to spare takes a prompt for which every prefill engine has
// a long queue; nowhere else, and not one that is full or reads already.
func TestDecodePrefillsUnderQueue(t *testing.T) {
	queued, full := 40_000.0, 0.9
	for _, c := range []struct {
		name    string
		allowed bool
		memory  *float64
		first   bool // a first such read is out already
		to      string
	}{
		{"allowed", true, nil, false, "w"}, {"not allowed", false, nil, false, "a"},
		{"no memory to spare", true, &full, false, "a"}, {"reads already", true, nil, true, "a"},
	} {
		set := testSettings()
		set.DecodePrefills = c.allowed
		r := router(t, set, server("a", "r", 0), server("w", "w", 0))
		r.engines.byName["a"].report.take(&LoadReport{WaitingTokens: &queued}, r.now)
		if c.memory != nil {
			r.engines.byName["w"].report.take(&LoadReport{MemoryUsed: c.memory}, r.now)
		}
		if c.first {
			r.Handle(ms, ask(1, 1000))
		}
		to := ""
		for _, a := range r.Handle(ms, ask(2, 1000)) {
			if s, ok := a.(Send); ok {
				to = s.Engine
			}
		}
		if to != c.to {
			t.Errorf("%s: sent to %q, want %q", c.name, to, c.to)
		}
	}
}

// A report is believed by its age, the peers' mean in its place as it ages, and what this
// router has sent since comes on top; before, an old one counted in full for 1.5 s, then not
// at all, and a queue of 40,000 tokens was one of none a moment later.
func TestReportsDecayWithAge(t *testing.T) {
	long, short := 40_000.0, 0.0
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
	a, b := r.engines.byName["a"], r.engines.byName["b"]
	a.report.take(&LoadReport{WaitingTokens: &long}, r.now)
	b.report.take(&LoadReport{WaitingTokens: &short}, r.now)
	last := r.queuedTokens(a)
	if last != long || r.queuedTokens(b) != 0 {
		t.Fatalf("fresh reports of 40000 and 0 tell queues of %.0f and %.0f", last, r.queuedTokens(b))
	}
	sent(t, r.Handle(0, ask(1, 5000))) // to b
	if got, todo := r.queuedTokens(b), float64(r.requests[1].prefillTokens); got != todo || todo == 0 {
		t.Errorf("%.0f tokens sent since a report of none: a queue of %.0f", todo, got)
	}
	for at := Time(100 * ms); at <= 10*time.Second; at += 100 * ms {
		r.Handle(at, TimerFired{Name: "tick"})
		now := r.queuedTokens(a)
		if now >= last || last-now > long/5 {
			t.Fatalf("at %v the queue told by one report went from %.0f to %.0f", at, last, now)
		}
		last = now
	}
	if last > 100 {
		t.Errorf("a report 10 s old still tells a queue of %.0f", last)
	}
}

// A refusal for want of retries advises the wait that is seen, not a part of the aim: short
// where nobody waits, long where the oldest have waited long, and not the same for all.
func TestRetryAfterFollowsObservedWait(t *testing.T) {
	advice := func(crowd int) (all []time.Duration) {
		for id := RequestID(100); id < 110; id++ {
			set := testSettings()
			set.MaxRetryAfter = 5 * time.Second
			r := router(t, set, server("r1", "r", 0), server("r2", "r", 0), server("r3", "r", 0), server("w1", "w", 0))
			for n := range crowd {
				r.Handle(time.Second, ask(RequestID(n+1), 100))
			}
			at := sent(t, r.Handle(1200*ms, ask(id, 100)))
			r.retries.attempts = 0
			for _, a := range r.Handle(2200*ms, Outcome{ID: id, Engine: at, Status: StatusError}) {
				if f, ok := a.(Reject); ok {
					all = append(all, f.RetryAfter)
				}
			}
		}
		slices.Sort(all)
		return all
	}
	idle, busy := advice(0), advice(6)
	if len(idle) != 10 || len(busy) != 10 {
		t.Fatalf("%d and %d refusals of 10", len(idle), len(busy))
	}
	if idle[9] > minRetryAfter {
		t.Errorf("nobody waits, and clients are told to stay away for %v", idle[9])
	}
	if busy[0] < 500*ms || busy[9] > 1200*ms || busy[9]-busy[0] < 100*ms {
		t.Errorf("where others have waited for 1.2 s: %v to %v", busy[0], busy[9])
	}
}

// Among many routers a prefill engine with none of our own reads is not idle if its fresh report
// shows a queue: what can't be in time there is refused, not tried.
func TestReportedQueueCountsAsLoad(t *testing.T) {
	for _, c := range []struct {
		queue   float64
		at      time.Duration // of the request, after the report
		refused bool
	}{{0, 0, false}, {8, 0, true}, {8, 30 * time.Second, false}} {
		set := testSettings()
		set.Gateways, set.CanProbe = 80, true
		r := router(t, set, server("r1", "r", 0), server("r2", "r", 0), server("w1", "w", 0))
		for _, name := range []string{"r1", "r2"} {
			r.Handle(time.Second, ProbeResult{Engine: name, Report: &LoadReport{QueueLength: &c.queue}})
		}
		actions := slices.Clone(r.Handle(time.Second+c.at, ask(1, 8000)))
		if c.at > 0 { // the report is old: the likeliest prefill engine is asked, and does not answer
			actions = append(actions, r.Handle(time.Second+c.at+60*ms, TimerFired{Name: "tick"})...)
		}
		if has[Reject](actions) != c.refused || has[Send](actions) == c.refused {
			t.Errorf("a queue of %v, %v ago: %v", c.queue, c.at, actions)
		}
	}
}
