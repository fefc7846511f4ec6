package routing

import (
	"fmt"
	"testing"
	"time"
)

// The table must not grow without bound when every new engine has a new name. A removed engine is retained
// while an attempt is in flight there and until OverloadWindow has passed since the last send.
func TestRemovedEnginesAreDeleted(t *testing.T) {
	set := testSettings()
	r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("w1", "w", 0))
	r.Handle(time.Second, testRequest(1, 100))
	for n := range 50 {
		s := testEngine(fmt.Sprint("x", n), "r", 0)
		r.Handle(time.Second, EngineList{Engines: []EngineInfo{s}})
		s.Phase = PhaseRemoved
		r.Handle(time.Second, EngineList{Engines: []EngineInfo{s}})
	}
	full := EngineList{Scope: EngineListSnapshot, Engines: []EngineInfo{testEngine("w1", "w", 0)}}
	later := time.Second + set.OverloadWindow + ms
	for _, c := range []struct {
		at   Time
		ev   Event
		want int
	}{
		{time.Second, full, 2}, {later, full, 2},
		{later, Outcome{ID: 1, Engine: "r1", Status: StatusReset}, 2}, {later, full, 1},
	} {
		if r.Handle(c.at, c.ev); len(r.engines.byName) != c.want || len(r.engines.ordered) != c.want {
			t.Errorf("after %+v at %v: %d engines by name and %d in order, want %d",
				c.ev, c.at, len(r.engines.byName), len(r.engines.ordered), c.want)
		}
	}
}

func TestEventsForUnknownIDsAndNamesAreIgnored(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("x", "nonesuch", 0), EngineInfo{Name: "v", Kind: "r", Zone: "nowhere"})
	for _, ev := range []Event{
		Outcome{ID: 9, Engine: "q"}, FirstToken{ID: 9}, ClientGone{ID: 9}, ProbeResult{Engine: "q"},
		ReservationResult{ID: 9}, PeerMessage{}, TimerFired{Name: "other"}, EngineList{Scope: EngineListFailed},
	} {
		if a := r.Handle(ms, ev); has[Send](a) {
			t.Errorf("%T for an unknown request or engine caused a send", ev)
		}
	}
	if a := r.Handle(ms, testRequest(1, 100)); has[Send](a) {
		t.Error("a request was sent to an engine of an unknown kind or zone")
	}
	bad := testRequest(2, 100)
	bad.Class = "nonesuch"
	if a := r.Handle(ms, bad); !has[Reject](a) {
		t.Error("a request of an unknown class was not rejected")
	}
}

func TestSubscribeIsRetriedAfterFailure(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	r, _ := New(set, 1)
	if a := r.Handle(0, EngineList{Scope: EngineListStale}); !has[Subscribe](a) {
		t.Fatal("no Subscribe after a stale engine list")
	}
	r.Handle(ms, EngineList{Scope: EngineListFailed})
	if a := r.Handle(2*time.Second, TimerFired{Name: "tick"}); !has[Subscribe](a) {
		t.Error("Subscribe was not retried after a failed engine list")
	}
}
