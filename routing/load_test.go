package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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

// A report is believed by its age, the peers' mean in its place as it ages, and what this
// router has sent since comes on top; before, an old one counted in full for 1.5 s, then not
// at all, and a queue of 40,000 tokens was one of none a moment later.
func TestReportsDecayWithAge(t *testing.T) {
	long, short := 40_000.0, 0.0
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
	a, b := r.engines.byName["a"], r.engines.byName["b"]
	a.report.update(&LoadReport{WaitingTokens: &long}, r.now)
	b.report.update(&LoadReport{WaitingTokens: &short}, r.now)
	last := r.queuedTokens(a)
	if last != long || r.queuedTokens(b) != 0 {
		t.Fatalf("fresh reports of 40000 and 0 tell queues of %.0f and %.0f", last, r.queuedTokens(b))
	}
	sentTo(t, r.Handle(0, testRequest(1, 5000))) // to b
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
		r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("w1", "w", 0))
		for _, name := range []string{"r1", "r2"} {
			r.Handle(time.Second, ProbeResult{Engine: name, Report: &LoadReport{QueueLength: &c.queue}})
		}
		actions := slices.Clone(r.Handle(time.Second+c.at, testRequest(1, 8000)))
		if c.at > 0 { // the report is old: the likeliest prefill engine is asked, and does not answer
			actions = append(actions, r.Handle(time.Second+c.at+60*ms, TimerFired{Name: "tick"})...)
		}
		if has[Reject](actions) != c.refused || has[Send](actions) == c.refused {
			t.Errorf("a queue of %v, %v ago: %v", c.queue, c.at, actions)
		}
	}
}
