package core

import (
	"slices"
	"testing"
	"time"

	"wellgw/routing"
)

// An engine that is ejected manually gets nothing new, whatever the list says, until it is
// called back; a name never listed is refused.
func TestManualEjection(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return ended(routing.StatusError) })}
	c := newCore(t, f)
	c.UpdateEndpoints(routing.EngineListDelta, []Endpoint{{EngineInfo: routing.EngineInfo{Name: "w2", Kind: "w", Weight: 1}}})
	if _, ok := c.Eject(t.Context(), "nobody", true); ok {
		t.Fatal("an engine that was never listed was ejected")
	}
	if names, ok := c.Eject(t.Context(), "w1", true); !ok || !slices.Equal(names, []string{"w1"}) {
		t.Fatalf("ejected: %v %v", names, ok)
	}
	if names, ok := c.Eject(t.Context(), "w1", true); !ok || len(names) != 1 {
		t.Fatalf("ejected again: %v %v", names, ok)
	}
	// The list says it is on: the ejection holds.
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
		t.Fatalf("back: %v %v", names, ok)
	}
	// Another process's file: the set is taken whole.
	c.SetEjected([]string{"w2"})
	if names, ok := c.Eject(t.Context(), "r1", false); !ok || !slices.Equal(names, []string{"w2"}) {
		t.Fatalf("after the file: %v %v", names, ok)
	}
}

// New settings bind new requests; a dropped class is still served; a bad set
// changes nothing.
func TestRetune(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return ended(routing.StatusError) })}
	c := newCore(t, f)
	bad := routing.Settings{Classes: []routing.Class{{Name: "new", FirstTokenObjective: time.Second}}, MaxAttempts: 0}
	if err := c.Reconfigure(t.Context(), bad); err == nil {
		t.Fatal("no attempts were taken")
	}
	good := routing.Settings{Classes: []routing.Class{{Name: "new", FirstTokenObjective: 10 * time.Second, PriorityWeight: 1, Effect: routing.EffectAtMostOnce}}, MaxAttempts: 2}
	if err := c.Reconfigure(t.Context(), good); err != nil {
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

// A step of the wall clock changes nothing for an engine whose start is known, and makes no engine
// that has just restarted count as long warm.
func TestStartsUnderWallClockSteps(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCore(t, f)
	step := func(d time.Duration) {
		runQuery(t.Context(), c, func() bool { c.clock.wall = func() time.Time { return time.Now().Add(d).Round(0) }; return true })
	}
	list := func(started time.Time) (cameUp routing.Time) {
		m := Endpoint{EngineInfo: routing.EngineInfo{Name: "stepped", Kind: "r", Zone: "a", Phase: routing.PhaseActive}, StartedAt: started}
		c.UpdateEndpoints(routing.EngineListDelta, []Endpoint{m})
		return runQuery(t.Context(), c, func() routing.Time { return c.endpoints.listed["stepped"].StartTime })
	}
	started := time.Now().Add(-time.Minute).Round(0)
	first := list(started)
	for _, d := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		if step(d); list(started) != first {
			t.Errorf("a step of %v moved a start that was known", d)
		}
	}
	for _, d := range []time.Duration{time.Hour, -time.Hour} {
		step(d)
		now := runQuery(t.Context(), c, func() routing.Time { return c.clock.now() })
		if at := list(time.Now().Round(0)); at < now-time.Second || at > now+time.Minute {
			t.Errorf("a restart just now, after a step of %v, is %v old", d, now-at)
		}
	}
}
