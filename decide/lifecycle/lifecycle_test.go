package lifecycle

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var origin = time.Now()

const second = time.Second

// at is a time on the tests' clock.
func at(d time.Duration) time.Time { return origin.Add(d) }

// since is the opposite; -1 for the zero time.
func since(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return t.Sub(origin)
}

// A process ends in time for the kill by the settings in force: a reload may have made the
// longest wait shorter. It never takes more than the first ones gave.
func TestAbortFollowsSettings(t *testing.T) {
	for _, c := range []struct {
		first, before, after time.Duration // waits at the start, read anew before and after SIGTERM; 0 for none
		want                 time.Duration // from SIGTERM to the refusals that come before the cut
	}{
		{2 * second, 0, 0, 1600 * time.Millisecond}, {2 * second, second, 0, 600 * time.Millisecond},
		{2 * second, 4 * second, 0, 1600 * time.Millisecond}, {60 * second, 0, 0, 2600 * time.Millisecond},
		{60 * second, 4 * second, 0, 2600 * time.Millisecond}, {60 * second, 0, 2 * second, 1600 * time.Millisecond},
		{2 * second, second, 3 * second, 600 * time.Millisecond}, {300 * time.Millisecond, 0, 0, AcceptGrace},
	} {
		p := New(Limits{MaxFirstEventWait: c.first, KillExpected: true, ClientsResume: true})
		if c.before > 0 {
			p.Handle(at(0), SettingsChanged{c.before})
		}
		p.Handle(at(0), Terminate{})
		if c.after > 0 {
			p.Handle(at(0), SettingsChanged{c.after})
		}
		if got := since(p.NextTick()); got != c.want {
			t.Errorf("waits %v, %v, %v: refusals after %v, want %v", c.first, c.before, c.after, got, c.want)
		}
		kill := min(c.first, maxKillWait) + minKillDelay
		for _, w := range []time.Duration{c.before, c.after} {
			if w > 0 {
				kill = min(kill, w+minKillDelay)
			}
		}
		if _, end := runToEnd(t, p); end > kill-killMargin {
			t.Errorf("waits %v, %v, %v: ends after %v, killed after %v", c.first, c.before, c.after, end, kill)
		}
	}
}

// runToEnd gives a process nothing but ticks, and returns its actions and when it ended.
func runToEnd(t interface{ Fatal(...any) }, p *Process) (actions []Action, end time.Duration) {
	for range 20 {
		if p.State() == Ended {
			return actions, end
		}
		next := p.NextTick()
		if next.IsZero() {
			t.Fatal("a process that ends waits for nothing: ", p.State())
		}
		more, _ := p.Handle(next, Tick{})
		actions, end = append(actions, more...), since(next)
	}
	t.Fatal("a process that ends takes over 20 steps")
	return nil, 0
}

// Only where a kill is known to come is a request given up shortly before it, and only where
// clients ask for the rest are streams cut off for it.
func TestShutdownSteps(t *testing.T) {
	for _, c := range []struct {
		limits              Limits
		stop, refuse, exit  time.Duration
		requestsUntil, cuts time.Duration
	}{
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true}, AcceptGrace, 3300 * time.Millisecond, 303*second + 500*time.Millisecond, 650 * time.Millisecond, 303 * second},
		{Limits{MaxFirstEventWait: 3 * second}, AcceptGrace, 303 * second, 303*second + 500*time.Millisecond, 650 * time.Millisecond, 303 * second},
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true, ClientsResume: true}, 2600 * time.Millisecond, 2600 * time.Millisecond, 3400 * time.Millisecond, 2750 * time.Millisecond, 2900 * time.Millisecond},
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true, SharedSocket: true}, 0, 3300 * time.Millisecond, 303*second + 500*time.Millisecond, 150 * time.Millisecond, 303 * second},
		{Limits{MaxFirstEventWait: 3 * second, KillExpected: true, ClientsResume: true, SharedSocket: true}, 0, 2600 * time.Millisecond, 3400 * time.Millisecond, 150 * time.Millisecond, 2900 * time.Millisecond},
	} {
		p := New(c.limits)
		first, _ := p.Handle(at(0), Terminate{})
		seen := map[Action]time.Duration{}
		for _, a := range first {
			seen[a] = 0
		}
		var requests time.Duration
		for p.State() != Ended {
			next := p.NextTick()
			if s := p.Service(); !s.KeepAlive && requests == 0 {
				requests = since(s.RequestDeadline)
			}
			more, _ := p.Handle(next, Tick{})
			for _, a := range more {
				seen[a] = since(next)
			}
		}
		if seen[StopListening] != c.stop || seen[RejectWaiting] != c.refuse || seen[AbortStreams] != c.cuts || seen[Exit] != c.exit || requests != c.requestsUntil {
			t.Errorf("%+v: requests until %v, actions %v", c.limits, requests, seen)
		}
	}
}

// What each state means for clients, and which calls have their way in it.
func TestServiceByState(t *testing.T) {
	limits := Limits{MaxFirstEventWait: 3 * second, KillExpected: true, ClientsResume: true}
	for _, c := range []struct {
		name              string
		shared            bool
		events            []Event
		state             State
		healthy, reusable bool
		listening         bool
		requestsUntil     time.Duration // -1 for no bound
		accepted          bool          // of the last event
	}{
		{"serving", false, []Event{Tick{}}, Serving, true, true, true, -1, true},
		{"drain", false, []Event{Drain{}}, Draining, false, false, true, DrainRequestTimeout, true},
		{"drain again", false, []Event{Drain{}, Drain{}}, Draining, false, false, true, DrainRequestTimeout, true},
		{"active without a drain", false, []Event{Activate{}}, Serving, true, true, true, -1, true},
		{"drain and back", false, []Event{Drain{}, Activate{}}, Serving, true, true, true, -1, true},
		{"hand-over", true, []Event{HandOver{}}, HandedOver, false, false, false, HandOverRequestTimeout, true},
		{"active after a hand-over", true, []Event{Drain{}, HandOver{}, Activate{}}, HandedOver, false, false, false, DrainRequestTimeout, false},
		{"told to end", false, []Event{Terminate{}}, Terminating, true, true, true, -1, true},
		{"clients idle too early", false, []Event{Terminate{}, ClientsIdle{}}, Terminating, true, true, true, -1, true},
		{"told to end in a drain", false, []Event{Drain{}, Terminate{}}, Terminating, false, false, true, DrainRequestTimeout, true},
		{"drain while it ends", false, []Event{Terminate{}, Drain{}}, Terminating, false, false, true, DrainRequestTimeout, true},
		{"active while it ends", false, []Event{Drain{}, Terminate{}, Activate{}}, Terminating, false, false, true, DrainRequestTimeout, false},
		{"told to end on a shared socket", true, []Event{Terminate{}}, Finishing, false, false, false, ShutdownRequestTimeout, true},
		{"told to end after a hand-over", true, []Event{HandOver{}, Terminate{}}, Finishing, false, false, false, ShutdownRequestTimeout, true},
		{"listener lost", false, []Event{ListenerLost{}}, Finishing, false, false, false, ShutdownRequestTimeout, true},
		{"all has ended", true, []Event{Terminate{}, WorkCompleted{}}, Ended, false, false, false, ShutdownRequestTimeout, true},
		{"all done while it serves", false, []Event{WorkCompleted{}}, Serving, true, true, true, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := limits
			limits.SharedSocket = c.shared
			p := New(limits)
			accepted := false
			for _, e := range c.events {
				_, accepted = p.Handle(at(0), e)
			}
			s := p.Service()
			if s.State != c.state || s.Healthy != c.healthy || s.KeepAlive != c.reusable || s.Listening != c.listening || since(s.RequestDeadline) != c.requestsUntil || accepted != c.accepted {
				t.Errorf("%+v, accepted %v", s, accepted)
			}
		})
	}
}

// What becomes of a connection in a drain.
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
		{"rests", 0, Connection{Opened: at(-second), Answered: true}, CloseIdle, -1},
		{"new", 0, Connection{Opened: at(0)}, KeepOpen, FirstByteTimeout},
		{"never used", 0, Connection{Opened: at(-second)}, CloseIdle, -1},
		{"a request arrives", 0, Connection{Opened: at(-second), Answered: true, UnreadBytes: true}, KeepOpen, unreadRecheck},
		{"a request arrives late", DrainRequestTimeout, Connection{Opened: at(-second), Answered: true, UnreadBytes: true}, CloseIdle, -1},
		{"a request has begun", second, Connection{Opened: at(-second), PartialRequest: true}, KeepOpen, DrainRequestTimeout},
		{"a request is not whole in time", DrainRequestTimeout, Connection{Opened: at(-second), PartialRequest: true}, RejectRequest, -1},
		{"an answer is under way", 4 * second, Connection{Opened: at(-second), InFlight: true, PartialRequest: true}, KeepOpen, 303 * second},
		{"an answer never ends", 303 * second, Connection{Opened: at(-second), InFlight: true}, AbortAnswer, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, next := s.DecideConnection(at(c.now), c.conn)
			if got != c.want || since(next) != c.next {
				t.Errorf("%v, next %v; want %v, %v", got, since(next), c.want, c.next)
			}
		})
	}
	if v, next := FullService().DecideConnection(at(0), Connection{Opened: at(-second), Answered: true}); v != KeepOpen || !next.IsZero() {
		t.Errorf("a process that serves: %v, %v", v, next)
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
			return SettingsChanged{time.Duration(rapid.IntRange(50, 70_000).Draw(t, "longest ms")) * time.Millisecond}
		case 8:
			return ClientsIdle{}
		}
		return Tick{}
	}).Draw(t, "event")
}

// Whatever happens, in any order and repeated: a process that was told to end ends within its
// bound, before the kill where streams may be cut off; a drain's bounds are those of its call;
// `active` brings the whole service back at once, or is refused; and connections end in every
// state in which they are not reusable.
func TestBoundsUnderDrawnEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			MaxFirstEventWait: time.Duration(rapid.IntRange(50, 70_000).Draw(t, "longest ms")) * time.Millisecond,
			KillExpected:      rapid.Bool().Draw(t, "kill known"), ClientsResume: rapid.Bool().Draw(t, "resume"), SharedSocket: rapid.Bool().Draw(t, "shared"),
		}
		p := New(limits)
		now := time.Duration(0)
		terminated, drained := time.Duration(-1), time.Duration(-1)
		bound := limits.MaxFirstEventWait + AnswerTimeout + releasePeriod
		var actions []Action
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			event := drawEvent(t)
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause ms")) * time.Millisecond
			if p.State() == Ended {
				break
			}
			for next := p.NextTick(); !next.IsZero() && !next.After(at(now)) && p.State() != Ended; next = p.NextTick() {
				more, _ := p.Handle(next, Tick{})
				actions = append(actions, more...)
			}
			before := p.State()
			more, accepted := p.Handle(at(now), event)
			actions = append(actions, more...)
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
					t.Fatalf("active in state %v: accepted %v", before, accepted)
				}
				if accepted {
					drained = -1
					if want := FullService(); s != want {
						t.Fatalf("active leaves %+v", s)
					}
				}
			}
			if s.Draining != (drained >= 0) || s.Draining && (s.Healthy || s.KeepAlive) {
				t.Fatalf("drained at %v: %+v", drained, s)
			}
			if s.Draining && (s.RequestDeadline.After(at(drained+DrainRequestTimeout)) || s.AnswerDeadline.After(at(drained+limits.MaxFirstEventWait+AnswerTimeout))) {
				t.Fatalf("a drain's bounds have moved out: %+v", s)
			}
			if p.State() == Serving && !p.NextTick().IsZero() || p.State() >= Terminating && p.State() < Ended && p.NextTick().IsZero() {
				t.Fatalf("state %v waits until %v", p.State(), p.NextTick())
			}
			checkConnections(t, s, now)
		}
		if terminated >= 0 {
			if p.State() != Ended {
				more, end := runToEnd(t, p)
				if actions = append(actions, more...); end > terminated+bound {
					t.Fatalf("told to end at %v, ends at %v", terminated, end)
				}
				if limits.ClientsResume && end > terminated+min(limits.MaxFirstEventWait, maxKillWait)+minKillDelay {
					t.Fatalf("told to end at %v, ends at %v, after the kill", terminated, end)
				}
			}
			checkActions(t, actions)
		}
	})
}

// checkConnections follows drawn connections through a service that does not change: each that is
// not reusable ends by the service's bounds, whatever its client does.
func checkConnections(t *rapid.T, s Service, now time.Duration) {
	if s.KeepAlive {
		return
	}
	if s.RequestDeadline.IsZero() || s.AnswerDeadline.IsZero() {
		t.Fatalf("connections end without a bound: %+v", s)
	}
	c := Connection{
		Opened:   at(now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "age ms"))*time.Millisecond),
		Answered: rapid.Bool().Draw(t, "answered"), InFlight: rapid.Bool().Draw(t, "in hand"),
		PartialRequest: rapid.Bool().Draw(t, "begun"), UnreadBytes: rapid.Bool().Draw(t, "arriving"),
	}
	latest := s.RequestDeadline
	if c.InFlight {
		latest = s.AnswerDeadline
	}
	if fresh := c.Opened.Add(FirstByteTimeout); latest.Before(fresh) {
		latest = fresh
	}
	if latest.Before(at(now)) {
		latest = at(now)
	}
	for moment := at(now); ; {
		v, next := s.DecideConnection(moment, c)
		if v != KeepOpen {
			if v == CloseIdle && (c.InFlight || c.PartialRequest) || v == RejectRequest && c.InFlight {
				t.Fatalf("%+v: %v at %v", c, v, since(moment))
			}
			return
		}
		if !next.After(moment) || next.After(latest) {
			t.Fatalf("%+v is kept at %v until %v, its bound is %v", c, since(moment), since(next), since(latest))
		}
		moment = next
	}
}

// checkActions states that what has no answer is refused, then failed, before streams are cut off,
// that each is done once, and that the process exits.
func checkActions(t *rapid.T, actions []Action) {
	var last []Action
	for _, a := range actions {
		if a == RejectWaiting || a == FailWaiting || a == AbortStreams || a == Exit {
			last = append(last, a)
		}
	}
	if want := []Action{RejectWaiting, FailWaiting, AbortStreams, Exit}; !slices.Equal(last, want) {
		t.Fatalf("actions %v", last)
	}
}
