package lifecycle

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var origin = time.Now()

const second = time.Second

// at returns the time that lies d after the tests' origin.
func at(d time.Duration) time.Time { return origin.Add(d) }

// since returns the offset of t from the tests' origin; -1 for the zero time.
func since(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return t.Sub(origin)
}

// A process ends before the kill under the settings in force, even if a reload has shortened the maximum
// wait. A longer wait does not extend the shutdown beyond the settings at the start.
func TestShutdownFollowsSettings(t *testing.T) {
	for _, c := range []struct {
		// Maximum waits at the start, and after reloads before and after SIGTERM; 0 for no reload.
		initial, beforeTerminate, afterTerminate time.Duration
		want                                     time.Duration // from SIGTERM to the rejections that precede the aborts
	}{
		{2 * second, 0, 0, 1600 * time.Millisecond}, {2 * second, second, 0, 600 * time.Millisecond},
		{2 * second, 4 * second, 0, 1600 * time.Millisecond}, {60 * second, 0, 0, 2600 * time.Millisecond},
		{60 * second, 4 * second, 0, 2600 * time.Millisecond}, {60 * second, 0, 2 * second, 1600 * time.Millisecond},
		{2 * second, second, 3 * second, 600 * time.Millisecond}, {300 * time.Millisecond, 0, 0, AcceptGrace},
	} {
		p := New(Limits{MaxFirstEventWait: c.initial, KillExpected: true, ClientsResume: true})
		if c.beforeTerminate > 0 {
			p.Handle(at(0), SettingsChanged{c.beforeTerminate})
		}
		p.Handle(at(0), Terminate{})
		if c.afterTerminate > 0 {
			p.Handle(at(0), SettingsChanged{c.afterTerminate})
		}
		if got := since(p.NextTick()); got != c.want {
			t.Errorf("waits %v, %v, %v: rejections after %v, want %v", c.initial, c.beforeTerminate, c.afterTerminate, got, c.want)
		}
		kill := min(c.initial, maxKillWait) + minKillDelay
		for _, w := range []time.Duration{c.beforeTerminate, c.afterTerminate} {
			if w > 0 {
				kill = min(kill, w+minKillDelay)
			}
		}
		if _, end := runToEnd(t, p); end > kill-killMargin {
			t.Errorf("waits %v, %v, %v: ends after %v, kill expected after %v", c.initial, c.beforeTerminate, c.afterTerminate, end, kill)
		}
	}
}

// runToEnd delivers only ticks to a process, and returns its actions and when it ended.
func runToEnd(t interface{ Fatal(...any) }, p *Process) (actions []Action, end time.Duration) {
	for range 20 {
		if p.State() == Ended {
			return actions, end
		}
		next := p.NextTick()
		if next.IsZero() {
			t.Fatal("no tick scheduled before the state ended: state ", p.State())
		}
		newActions, _ := p.Handle(next, Tick{})
		actions, end = append(actions, newActions...), since(next)
	}
	t.Fatal("process has not ended after 20 steps")
	return nil, 0
}

// Requests are rejected shortly before the kill only if a kill is expected, and streams are aborted before it
// only if clients resume them.
func TestShutdownSteps(t *testing.T) {
	for _, c := range []struct {
		limits                             Limits
		stopListening, rejectWaiting, exit time.Duration
		requestDeadline, abortStreams      time.Duration
	}{
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true}, AcceptGrace, 3300 * time.Millisecond, 303*second + 500*time.Millisecond, 650 * time.Millisecond, 303 * second},
		{Limits{MaxFirstEventWait: 3 * second}, AcceptGrace, 303 * second, 303*second + 500*time.Millisecond, 650 * time.Millisecond, 303 * second},
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true, ClientsResume: true}, 2600 * time.Millisecond, 2600 * time.Millisecond, 3400 * time.Millisecond, 2750 * time.Millisecond, 2900 * time.Millisecond},
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true, SharedSocket: true}, 0, 3300 * time.Millisecond, 303*second + 500*time.Millisecond, 150 * time.Millisecond, 303 * second},
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true, ClientsResume: true, SharedSocket: true}, 0, 2600 * time.Millisecond, 3400 * time.Millisecond, 150 * time.Millisecond, 2900 * time.Millisecond},
	} {
		p := New(c.limits)
		initialActions, _ := p.Handle(at(0), Terminate{})
		actionTimes := map[Action]time.Duration{}
		for _, a := range initialActions {
			actionTimes[a] = 0
		}
		var requestDeadline time.Duration
		for p.State() != Ended {
			next := p.NextTick()
			if s := p.Service(); !s.KeepAlive && requestDeadline == 0 {
				requestDeadline = since(s.RequestDeadline)
			}
			newActions, _ := p.Handle(next, Tick{})
			for _, a := range newActions {
				actionTimes[a] = since(next)
			}
		}
		if actionTimes[StopListening] != c.stopListening || actionTimes[RejectWaiting] != c.rejectWaiting || actionTimes[AbortStreams] != c.abortStreams || actionTimes[Exit] != c.exit || requestDeadline != c.requestDeadline {
			t.Errorf("%+v: request deadline %v, action times %v", c.limits, requestDeadline, actionTimes)
		}
	}
}

// The service in each state, and whether the last event is accepted.
func TestServiceByState(t *testing.T) {
	limits := Limits{MaxFirstEventWait: 3 * second, KillExpected: true, ClientsResume: true}
	for _, c := range []struct {
		name               string
		sharedSocket       bool
		events             []Event
		state              State
		healthy, keepAlive bool
		listening          bool
		requestDeadline    time.Duration // -1 for no deadline
		accepted           bool          // of the last event
	}{
		{"serving", false, []Event{Tick{}}, Serving, true, true, true, -1, true},
		{"drain", false, []Event{Drain{}}, Draining, false, false, true, DrainRequestTimeout, true},
		{"repeated drain", false, []Event{Drain{}, Drain{}}, Draining, false, false, true, DrainRequestTimeout, true},
		{"activate without a drain", false, []Event{Activate{}}, Serving, true, true, true, -1, true},
		{"drain and activate", false, []Event{Drain{}, Activate{}}, Serving, true, true, true, -1, true},
		{"hand-over", true, []Event{HandOver{}}, HandedOver, false, false, false, HandOverRequestTimeout, true},
		{"activate after a hand-over", true, []Event{Drain{}, HandOver{}, Activate{}}, HandedOver, false, false, false, DrainRequestTimeout, false},
		{"terminate", false, []Event{Terminate{}}, Terminating, true, true, true, -1, true},
		{"clients idle before AcceptGrace elapsed", false, []Event{Terminate{}, ClientsIdle{}}, Terminating, true, true, true, -1, true},
		{"terminate in a drain", false, []Event{Drain{}, Terminate{}}, Terminating, false, false, true, DrainRequestTimeout, true},
		{"drain after terminate", false, []Event{Terminate{}, Drain{}}, Terminating, false, false, true, DrainRequestTimeout, true},
		{"activate after terminate", false, []Event{Drain{}, Terminate{}, Activate{}}, Terminating, false, false, true, DrainRequestTimeout, false},
		{"terminate on a shared socket", true, []Event{Terminate{}}, Finishing, false, false, false, ShutdownRequestTimeout, true},
		{"terminate after a hand-over", true, []Event{HandOver{}, Terminate{}}, Finishing, false, false, false, ShutdownRequestTimeout, true},
		{"listener lost", false, []Event{ListenerLost{}}, Finishing, false, false, false, ShutdownRequestTimeout, true},
		{"work completed after terminate", true, []Event{Terminate{}, WorkCompleted{}}, Ended, false, false, false, ShutdownRequestTimeout, true},
		{"work completed while serving", false, []Event{WorkCompleted{}}, Serving, true, true, true, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := limits
			limits.SharedSocket = c.sharedSocket
			p := New(limits)
			accepted := false
			for _, e := range c.events {
				_, accepted = p.Handle(at(0), e)
			}
			s := p.Service()
			if s.State != c.state || s.Healthy != c.healthy || s.KeepAlive != c.keepAlive || s.Listening != c.listening || since(s.RequestDeadline) != c.requestDeadline || accepted != c.accepted {
				t.Errorf("%+v, accepted %v", s, accepted)
			}
		})
	}
}

// The decision for a connection during a drain.
func TestConnectionInDrain(t *testing.T) {
	p := New(Limits{MaxFirstEventWait: 3 * second})
	p.Handle(at(0), Drain{})
	s := p.Service()
	for _, c := range []struct {
		name string
		now  time.Duration
		conn Connection
		want Decision
		next time.Duration
	}{
		{"idle", 0, Connection{Opened: at(-second), Answered: true}, CloseIdle, -1},
		{"new", 0, Connection{Opened: at(0)}, KeepOpen, FirstByteTimeout},
		{"unused past FirstByteTimeout", 0, Connection{Opened: at(-second)}, CloseIdle, -1},
		{"unread bytes", 0, Connection{Opened: at(-second), Answered: true, UnreadBytes: true}, KeepOpen, unreadRecheckInterval},
		{"unread bytes after the request deadline", DrainRequestTimeout, Connection{Opened: at(-second), Answered: true, UnreadBytes: true}, CloseIdle, -1},
		{"partial request", second, Connection{Opened: at(-second), PartialRequest: true}, KeepOpen, DrainRequestTimeout},
		{"partial request at the request deadline", DrainRequestTimeout, Connection{Opened: at(-second), PartialRequest: true}, RejectRequest, -1},
		{"answer in progress", 4 * second, Connection{Opened: at(-second), InFlight: true, PartialRequest: true}, KeepOpen, 303 * second},
		{"answer incomplete at the answer deadline", 303 * second, Connection{Opened: at(-second), InFlight: true}, AbortAnswer, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, next := s.DecideConnection(at(c.now), c.conn)
			if got != c.want || since(next) != c.next {
				t.Errorf("decision %v, next %v; want %v, %v", got, since(next), c.want, c.next)
			}
		})
	}
	if decision, next := FullService().DecideConnection(at(0), Connection{Opened: at(-second), Answered: true}); decision != KeepOpen || !next.IsZero() {
		t.Errorf("full service: decision %v, next %v", decision, next)
	}
}

func drawEvent(t *rapid.T) Event {
	return rapid.Custom(func(t *rapid.T) Event {
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1:
			return Drain{}
		case 2, 3:
			return Activate{}
		case 4:
			return HandOver{}
		case 5:
			return Terminate{}
		case 6:
			return ListenerLost{}
		case 7:
			return SettingsChanged{time.Duration(rapid.IntRange(50, 70_000).Draw(t, "max first event wait ms")) * time.Millisecond}
		case 8:
			return ClientsIdle{}
		}
		return Tick{}
	}).Draw(t, "event")
}

// For any sequence of events: a terminated process ends within its time limit, and before the kill if streams
// may be aborted; the deadlines of a drain depend only on the time of its command; Activate either restores
// the full service immediately or is rejected; and connections end in every state in which they are not kept
// alive.
func TestBoundsUnderDrawnEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			MaxFirstEventWait: time.Duration(rapid.IntRange(50, 70_000).Draw(t, "max first event wait ms")) * time.Millisecond,
			KillExpected:      rapid.Bool().Draw(t, "kill expected"), ClientsResume: rapid.Bool().Draw(t, "resume"), SharedSocket: rapid.Bool().Draw(t, "shared"),
		}
		p := New(limits)
		now := time.Duration(0)
		terminated, drained := time.Duration(-1), time.Duration(-1)
		maxShutdown := limits.MaxFirstEventWait + AnswerTimeout + releasePeriod
		var actions []Action
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			event := drawEvent(t)
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause ms")) * time.Millisecond
			if p.State() == Ended {
				break
			}
			for next := p.NextTick(); !next.IsZero() && !next.After(at(now)) && p.State() != Ended; next = p.NextTick() {
				newActions, _ := p.Handle(next, Tick{})
				actions = append(actions, newActions...)
			}
			before := p.State()
			newActions, accepted := p.Handle(at(now), event)
			actions = append(actions, newActions...)
			s := p.Service()
			switch event.(type) {
			case Terminate, ListenerLost:
				if terminated < 0 {
					terminated = now
				}
			case Drain:
				if drained < 0 {
					drained = now
				}
			case Activate:
				if accepted != (before < HandedOver) {
					t.Fatalf("activate in state %v: accepted %v", before, accepted)
				}
				if accepted {
					drained = -1
					if want := FullService(); s != want {
						t.Fatalf("service after activate: %+v", s)
					}
				}
			}
			if s.Draining != (drained >= 0) || s.Draining && (s.Healthy || s.KeepAlive) {
				t.Fatalf("drained at %v: %+v", drained, s)
			}
			if s.Draining && (s.RequestDeadline.After(at(drained+DrainRequestTimeout)) || s.AnswerDeadline.After(at(drained+limits.MaxFirstEventWait+AnswerTimeout))) {
				t.Fatalf("the deadlines of a drain were extended: %+v", s)
			}
			if p.State() == Serving && !p.NextTick().IsZero() || p.State() >= Terminating && p.State() < Ended && p.NextTick().IsZero() {
				t.Fatalf("state %v: next tick at %v", p.State(), p.NextTick())
			}
			checkConnections(t, s, now)
		}
		if terminated >= 0 {
			if p.State() != Ended {
				newActions, end := runToEnd(t, p)
				if actions = append(actions, newActions...); end > terminated+maxShutdown {
					t.Fatalf("terminated at %v, ends at %v, after its time limit", terminated, end)
				}
				if limits.ClientsResume && end > terminated+min(limits.MaxFirstEventWait, maxKillWait)+minKillDelay {
					t.Fatalf("terminated at %v, ends at %v, after the kill", terminated, end)
				}
			}
			checkActions(t, actions)
		}
	})
}

// checkConnections evaluates drawn connections under a constant service: each connection that is not kept
// alive ends by the service's deadlines, regardless of its client.
func checkConnections(t *rapid.T, s Service, now time.Duration) {
	if s.KeepAlive {
		return
	}
	if s.RequestDeadline.IsZero() || s.AnswerDeadline.IsZero() {
		t.Fatalf("connections are not kept alive but have no deadline: %+v", s)
	}
	c := Connection{
		Opened:   at(now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "age ms"))*time.Millisecond),
		Answered: rapid.Bool().Draw(t, "answered"), InFlight: rapid.Bool().Draw(t, "in flight"),
		PartialRequest: rapid.Bool().Draw(t, "partial request"), UnreadBytes: rapid.Bool().Draw(t, "unread bytes"),
	}
	latest := s.RequestDeadline
	if c.InFlight {
		latest = s.AnswerDeadline
	}
	if firstByteDeadline := c.Opened.Add(FirstByteTimeout); latest.Before(firstByteDeadline) {
		latest = firstByteDeadline
	}
	if latest.Before(at(now)) {
		latest = at(now)
	}
	for moment := at(now); ; {
		decision, next := s.DecideConnection(moment, c)
		if decision != KeepOpen {
			if decision == CloseIdle && (c.InFlight || c.PartialRequest) || decision == RejectRequest && c.InFlight {
				t.Fatalf("%+v: decision %v at %v, with a request incomplete or in flight", c, decision, since(moment))
			}
			return
		}
		if !next.After(moment) || next.After(latest) {
			t.Fatalf("%+v is kept open at %v until %v, its deadline is %v", c, since(moment), since(next), since(latest))
		}
		moment = next
	}
}

// checkActions checks that requests without an answer are rejected and then failed before streams are
// aborted, that each action occurs once, and that the process exits.
func checkActions(t *rapid.T, actions []Action) {
	var shutdownActions []Action
	for _, a := range actions {
		if a == RejectWaiting || a == FailWaiting || a == AbortStreams || a == Exit {
			shutdownActions = append(shutdownActions, a)
		}
	}
	if want := []Action{RejectWaiting, FailWaiting, AbortStreams, Exit}; !slices.Equal(shutdownActions, want) {
		t.Fatalf("shutdown actions %v, not in the expected order", shutdownActions)
	}
}
