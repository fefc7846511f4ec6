package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Deployments count waiting tokens differently: whole prompts, or only the tokens that are not cached. The
// weight of a reported token relative to a token to prefill is estimated from prefill durations.
func TestWeightOfReportedTokens(t *testing.T) {
	for _, c := range []struct{ weight, noise, want float64 }{{1, 0, 1},
		{0.25, 0, 0.25}, {0.25, 0.3, 0.25}, {0, 0, 0.1}, {5, 0, 1}} {
		rng := rand.New(rand.NewPCG(4, 4))
		var f reportRegression
		if f.tokenWeight() != 1 {
			t.Error("without samples the weight of a reported token is not 1")
		}
		for range 400 {
			reported, own := 30_000*rng.Float64(), 300+6000*rng.Float64()
			f.observe(reported, own, 5e-5*(own+c.weight*reported)*(1+c.noise*rng.NormFloat64()))
		}
		if got := f.tokenWeight(); got < c.want-0.06 || got > c.want+0.06 {
			t.Errorf("weight %.2f with noise %.1f: estimated weight %.2f", c.weight, c.noise, got)
		}
	}
}

// As a report ages, the estimate moves gradually to the mean of the peers, plus the tokens sent since the
// report. An earlier version counted a report in full for 1.5 s and then ignored it, so that the estimate
// dropped from 40,000 tokens to 0 in one step.
func TestReportsDecayWithAge(t *testing.T) {
	long, short := 40_000.0, 0.0
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
	a, b := r.engines.byName["a"], r.engines.byName["b"]
	a.report.update(&LoadReport{WaitingTokens: &long}, r.now)
	b.report.update(&LoadReport{WaitingTokens: &short}, r.now)
	last := r.queuedTokens(a)
	if last != long || r.queuedTokens(b) != 0 {
		t.Fatalf("queue estimates %.0f and %.0f after new reports of 40000 and 0", last, r.queuedTokens(b))
	}
	sentTo(t, r.Handle(0, testRequest(1, 5000))) // sent to b, whose report shows an empty queue
	if got, tokens := r.queuedTokens(b), float64(r.requests[1].prefillTokens); got != tokens || tokens == 0 {
		t.Errorf("with %.0f tokens sent since a report of 0 the queue estimate is %.0f", tokens, got)
	}
	for at := Time(100 * ms); at <= 10*time.Second; at += 100 * ms {
		r.Handle(at, TimerFired{Name: "tick"})
		now := r.queuedTokens(a)
		if now >= last || last-now > long/5 {
			t.Fatalf("at %v the queue estimate from one report went from %.0f to %.0f, want a gradual decay",
				at, last, now)
		}
		last = now
	}
	if last > 100 {
		t.Errorf("queue estimate %.0f from a report 10 s old, want 100 at most", last)
	}
}

// Among many routers, a prefill engine without prefills of this router is not idle if its recent report
// shows a queue: a request that cannot meet its objective there is rejected, not sent.
func TestReportedQueueCountsAsLoad(t *testing.T) {
	for _, c := range []struct {
		queue    float64
		at       time.Duration // of the request, after the report
		rejected bool
	}{{0, 0, false}, {8, 0, true}, {8, 30 * time.Second, false}} {
		set := testSettings()
		set.Gateways, set.CanProbe = 80, true
		r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("w1", "w", 0))
		for _, name := range []string{"r1", "r2"} {
			r.Handle(time.Second, ProbeResult{Engine: name, Report: &LoadReport{QueueLength: &c.queue}})
		}
		actions := slices.Clone(r.Handle(time.Second+c.at, testRequest(1, 8000)))
		if c.at > 0 { // the report is old: the engine of minimum cost is probed and does not respond
			actions = append(actions, r.Handle(time.Second+c.at+60*ms, TimerFired{Name: "tick"})...)
		}
		if has[Reject](actions) != c.rejected || has[Send](actions) == c.rejected {
			t.Errorf("queue of %v reported %v ago: actions %v", c.queue, c.at, actions)
		}
	}
}
