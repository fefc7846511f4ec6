package core

import (
	"slices"
	"testing"
	"time"

	"wellgw/routing"
)

// A manually ejected engine gets no new attempts, even if the engine list has it as active, until it is
// restored. A name that was never listed can't be ejected.
func TestManualEjection(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return attemptResult(routing.StatusError) })}
	c := newCore(t, f)
	c.UpdateEndpoints(routing.EngineListDelta, []Endpoint{{EngineInfo: routing.EngineInfo{Name: "w2", Kind: "w", Weight: 1}}})
	if _, ok := c.Eject(t.Context(), "unlisted", true); ok {
		t.Fatal("an engine that was never listed was ejected")
	}
	if names, ok := c.Eject(t.Context(), "w1", true); !ok || !slices.Equal(names, []string{"w1"}) {
		t.Fatalf("first ejection: %v %v", names, ok)
	}
	if names, ok := c.Eject(t.Context(), "w1", true); !ok || len(names) != 1 {
		t.Fatalf("repeated ejection: %v %v", names, ok)
	}
	// A list with w1 as active does not end the ejection.
	c.UpdateEndpoints(routing.EngineListSnapshot, []Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w2", Kind: "w", Weight: 1}},
	})
	for range 20 {
		SubmitAndWait(t.Context(), c, newTestRequest("free", time.Minute))
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	sent := slices.Clone(f.attempts)
	f.mu.Unlock()
	if slices.Contains(sent, "w1") || !slices.Contains(sent, "w2") {
		t.Fatalf("attempts during the ejection: %v", sent)
	}
	if names, ok := c.Eject(t.Context(), "w1", false); !ok || len(names) != 0 {
		t.Fatalf("restored: %v %v", names, ok)
	}
	// A set from another process replaces the whole set.
	c.SetEjected([]string{"w2"})
	if names, ok := c.Eject(t.Context(), "r1", false); !ok || !slices.Equal(names, []string{"w2"}) {
		t.Fatalf("after SetEjected: %v %v", names, ok)
	}
}

// New settings apply to new requests, a removed class is still served, and invalid settings change nothing.
func TestReconfigure(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return attemptResult(routing.StatusError) })}
	c := newCore(t, f)
	invalid := routing.Settings{Classes: []routing.Class{{Name: "new", FirstTokenObjective: time.Second}}, MaxAttempts: 0}
	if err := c.Reconfigure(t.Context(), invalid); err == nil {
		t.Fatal("settings with 0 attempts were accepted")
	}
	valid := routing.Settings{Classes: []routing.Class{{Name: "new", FirstTokenObjective: 10 * time.Second, PriorityWeight: 1, Effect: routing.EffectAtMostOnce}}, MaxAttempts: 2}
	if err := c.Reconfigure(t.Context(), valid); err != nil {
		t.Fatal(err)
	}
	for _, class := range []string{"new", "free", "unknown"} {
		f.mu.Lock()
		before := len(f.attempts)
		f.mu.Unlock()
		SubmitAndWait(t.Context(), c, newTestRequest(class, time.Minute))
		if err := c.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.mu.Lock()
		sent := f.attempts[before:]
		f.mu.Unlock()
		if want := class != "unknown"; slices.Contains(sent, "w1") != want {
			t.Errorf("%s: attempts %v", class, sent)
		}
	}
}

// A step of the wall clock changes no recorded start time of an engine, and an engine that has just restarted
// does not count as started long ago, which would skip its slow start.
func TestStartsUnderWallClockSteps(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCore(t, f)
	step := func(d time.Duration) {
		runQuery(t.Context(), c, func() bool { c.clock.wall = func() time.Time { return time.Now().Add(d).Round(0) }; return true })
	}
	listStarted := func(startedAt time.Time) (startTime routing.Time) {
		endpoint := Endpoint{EngineInfo: routing.EngineInfo{Name: "stepped", Kind: "r", Zone: "a", Phase: routing.PhaseActive}, StartedAt: startedAt}
		c.UpdateEndpoints(routing.EngineListDelta, []Endpoint{endpoint})
		return runQuery(t.Context(), c, func() routing.Time { return c.endpoints.listed["stepped"].StartTime })
	}
	started := time.Now().Add(-time.Minute).Round(0)
	recorded := listStarted(started)
	for _, d := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		if step(d); listStarted(started) != recorded {
			t.Errorf("a step of %v changed a recorded start time", d)
		}
	}
	for _, d := range []time.Duration{time.Hour, -time.Hour} {
		step(d)
		now := runQuery(t.Context(), c, func() routing.Time { return c.clock.now() })
		if at := listStarted(time.Now().Round(0)); at < now-time.Second || at > now+time.Minute {
			t.Errorf("restart after a step of %v: recorded as %v ago, want just now", d, now-at)
		}
	}
}
