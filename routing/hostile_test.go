package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// attempt is the test's own record of an attempt that is out.
type attempt struct {
	id     RequestID
	number int
	server EngineInfo
	begun  bool
}

// TestRulesUnderHostileEvents drives random legal events and checks the rules on every action.
func TestRulesUnderHostileEvents(t *testing.T) {
	for seed := range uint64(30) {
		first := hostileRun(t, seed)
		if again := hostileRun(t, seed); !reflect.DeepEqual(first, again) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

func hostileRun(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	servers := map[string]EngineInfo{}
	var names []string
	for i := range 9 {
		s := server(fmt.Sprint("n", i), []string{"r", "w", "m"}[i%3], i%2)
		servers[s.Name] = s
		names = append(names, s.Name)
	}
	set := testSettings()
	r, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	var (
		now     time.Duration
		all     []Action
		out     []attempt
		live    = map[RequestID]Request{}
		due     = map[RequestID]time.Duration{}
		counts  = map[RequestID]int{}
		maybe   = map[RequestID][]attempt{} // attempts that may have run
		sentAt  = map[RequestID]time.Duration{}
		holding = map[RequestID]time.Duration{}
		timer   = time.Duration(-1)
		isOut   = func(id RequestID) int {
			for i, a := range out {
				if a.id == id {
					return i
				}
			}
			return -1
		}
	)
	handle := func(ev Event) {
		for _, a := range r.Handle(now, ev) {
			all = append(all, a)
			switch a := a.(type) {
			case SetTimer:
				timer = now + a.In
			case Send:
				q, open := live[a.ID]
				s := servers[a.Engine]
				switch {
				case !open:
					t.Fatalf("seed %d: send for %d, which has ended", seed, a.ID)
				case isOut(a.ID) >= 0:
					t.Fatalf("seed %d: two attempts of %d out", seed, a.ID)
				case s.Phase != PhaseOn:
					t.Fatalf("seed %d: send to %s, which is leaving", seed, a.Engine)
				case counts[a.ID] >= set.MaxAttempts:
					t.Fatalf("seed %d: too many attempts", seed)
				}
				for _, m := range maybe[a.ID] {
					if q.Class == "once" || q.Class == "keyed" && (m.server.Cell != s.Cell || now-sentAt[a.ID] > 2*time.Second) {
						t.Fatalf("seed %d: %s request %d may run twice", seed, q.Class, a.ID)
					}
				}
				if len(maybe[a.ID]) == 0 {
					sentAt[a.ID] = now
				}
				delete(holding, a.ID)
				out = append(out, attempt{id: a.ID, number: counts[a.ID], server: s})
				counts[a.ID]++
			case Refuse:
				q, open := live[a.ID]
				if !open || q.Class != "c" && len(maybe[a.ID]) > 0 {
					t.Fatalf("seed %d: request %d (%s) refused though it may have run or ended", seed, a.ID, q.Class)
				}
				delete(live, a.ID)
			case Fail:
				if _, open := live[a.ID]; !open {
					t.Fatalf("seed %d: a second final answer for %d", seed, a.ID)
				}
				delete(live, a.ID)
			case Release:
				delete(holding, a.ID)
			}
		}
	}
	roster := func(scope RosterScope) {
		ev := Roster{Scope: scope}
		for _, n := range names {
			ev.Engines = append(ev.Engines, servers[n])
		}
		handle(ev)
	}
	roster(RosterCached)
	end := func(a attempt, i int, st Status) {
		out = append(out[:i], out[i+1:]...)
		_, open := live[a.id]
		final := !open || a.begun || st == StatusServed
		delete(live, ifID(final, a.id))
		if a.server.Kind != "r" && (st == StatusError || st == StatusTimeout || st == StatusReset || st == StatusCancelled) {
			maybe[a.id] = append(maybe[a.id], a)
		}
		if st == StatusRead {
			holding[a.id] = now
		} else if _, kept := holding[a.id]; kept || a.server.Kind == "w" && !a.begun && st != StatusServed {
			holding[a.id] = now
		}
		if a.begun {
			delete(holding, a.id)
		}
		handle(Outcome{ID: a.id, Attempt: a.number, Engine: a.server.Name, Status: st, Latency: 5 * ms, Final: final,
			Kept: rng.IntN(500)})
	}
	for id := RequestID(1); now < 20*time.Second || len(out) > 0 || len(live) > 0; {
		now += time.Duration(rng.IntN(8)) * ms
		if timer >= 0 && now >= timer {
			timer = -1
			handle(TimerFired{Name: "tick"})
		}
		for id, since := range holding {
			if isOut(id) < 0 && now-since > set.PinLimit {
				t.Fatalf("seed %d: the state of %d stayed pinned", seed, id)
			}
		}
		for id, d := range due {
			if _, open := live[id]; open && now > d+16*ms {
				if i := isOut(id); i < 0 || !out[i].begun {
					t.Fatalf("seed %d: request %d got no final answer in time", seed, id)
				}
			}
		}
		for i := 0; i < len(out); i++ { // the deadline ends attempts by itself
			if a := out[i]; !a.begun && now >= due[a.id] {
				end(a, i, StatusTimeout)
				i = -1
			}
		}
		switch k := rng.IntN(10); {
		case k < 2 && now < 20*time.Second:
			q := ask(id, 100+rng.IntN(6000))
			q.Class = []string{"c", "keyed", "once"}[rng.IntN(3)]
			q.TTL = time.Duration(10+rng.IntN(3000)) * ms
			live[id], due[id] = q, now+q.TTL
			handle(q)
			id++
		case k < 3 && rng.IntN(20) == 0:
			n := names[rng.IntN(len(names))]
			s := servers[n]
			s.Phase, s.CameUp = Phase(rng.IntN(3)), now
			if rng.IntN(2) == 0 {
				s.Phase = PhaseOn
			}
			servers[n] = s
			roster([]RosterScope{RosterChanges, RosterFull}[rng.IntN(2)])
		case k < 4 && len(out) > 0 && rng.IntN(10) == 0:
			a := out[rng.IntN(len(out))]
			if !a.begun {
				delete(live, a.id)
				handle(Gone{ID: a.id})
			}
		case len(out) > 0:
			i := rng.IntN(len(out))
			a := out[i]
			fail := []Status{StatusError, StatusFull, StatusTimeout, StatusNoConnect, StatusReset}[rng.IntN(5)]
			switch {
			case a.begun && rng.IntN(4) > 0:
				end(a, i, StatusServed)
			case a.begun:
				end(a, i, StatusReset)
			case rng.IntN(4) == 0:
				end(a, i, fail)
			case a.server.Kind == "r":
				end(a, i, StatusRead)
			default:
				out[i].begun = true
				delete(holding, a.id)
				handle(FirstToken{ID: a.id, Attempt: a.number, Engine: a.server.Name, Latency: 5 * ms})
			}
		}
	}
	if len(r.reqs) != 0 || len(r.held) != 0 {
		t.Fatalf("seed %d: %d requests left behind", seed, len(r.reqs))
	}
	for _, w := range r.order {
		if w.reads != 0 || w.states != 0 || w.answers != 0 || len(w.out) != 0 {
			t.Fatalf("seed %d: the account of %s does not close: %+v", seed, w.Name, w)
		}
	}
	return all
}

func ifID(yes bool, id RequestID) RequestID {
	if yes {
		return id
	}
	return 0
}
