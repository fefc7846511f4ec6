package routing

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Zone: "z", Zones: []string{"z", "y"}, Routers: 2, MaxAttempts: 6, CanCancel: true, CanRetryAfter: true,
		MaxRetryAfter: time.Second,
		Classes: []Class{
			{Name: "c", Aim: time.Second, TokenAim: 50 * ms, Gain: 1},
			{Name: "keyed", Aim: time.Second, Gain: 1, Effect: EffectGuarded, Group: GroupCell, Window: 2 * time.Second},
			{Name: "once", Aim: time.Second, Gain: 1, Effect: EffectSingleShot},
		},
		Kinds: []Kind{
			{Name: "r", Role: RoleReader, Memory: 2e5}, {Name: "w", Role: RoleWriter, Memory: 2e5},
			{Name: "m", Role: RoleMixed, Memory: 2e5},
		},
		Cold: 10 * time.Second, ColdShare: 0.3, Fall: 2 * time.Second, FallMultiple: 3,
		PinLimit: 500 * ms, Tick: ms,
	}
}

func server(name, kind string, cell int) ServerInfo {
	return ServerInfo{Name: name, Kind: kind, Zone: "z", Cell: cell, Weight: 1}
}

func router(t *testing.T, set Settings, servers ...ServerInfo) *Router {
	t.Helper()
	r, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(0, Roster{Scope: RosterCached, Servers: servers})
	return r
}

func ask(id RequestID, prompt int) Request {
	return Request{ID: id, Class: "c", Session: fmt.Sprint("s", id), Prompt: prompt, MaxTokens: 100, TTL: 5 * time.Second}
}

// Servers under ever new names leave nothing behind; one whose attempt is out is kept
// until it has ended, and until what was sent to it no longer counts.
func TestServersThatLeaveAreForgotten(t *testing.T) {
	set := testSettings()
	r := router(t, set, server("r1", "r", 0), server("w1", "w", 0))
	r.Handle(time.Second, ask(1, 100))
	for n := range 50 {
		s := server(fmt.Sprint("x", n), "r", 0)
		r.Handle(time.Second, Roster{Servers: []ServerInfo{s}})
		s.Phase = PhaseOff
		r.Handle(time.Second, Roster{Servers: []ServerInfo{s}})
	}
	full := Roster{Scope: RosterFull, Servers: []ServerInfo{server("w1", "w", 0)}}
	later := time.Second + set.Fall + ms
	for _, c := range []struct {
		at   Time
		ev   Event
		kept int
	}{
		{time.Second, full, 2}, {later, full, 2},
		{later, Outcome{ID: 1, Server: "r1", Status: StatusReset}, 2}, {later, full, 1},
	} {
		if r.Handle(c.at, c.ev); len(r.workers) != c.kept || len(r.order) != c.kept {
			t.Errorf("after %+v at %v: %d and %d servers, want %d", c.ev, c.at, len(r.workers), len(r.order), c.kept)
		}
	}
}

// sent returns the only server that the actions send a request to.
func sent(t *testing.T, actions []Action) string {
	t.Helper()
	to := ""
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			if to != "" {
				t.Fatal("two sends at once")
			}
			to = s.Server
		}
	}
	if to == "" {
		t.Fatalf("nothing sent: %v", actions)
	}
	return to
}

func has[A Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

func read(id RequestID, attempt int, at string, kept int) Outcome {
	return Outcome{ID: id, Attempt: attempt, Server: at, Status: StatusRead, Latency: 20 * ms, Kept: kept}
}

// keep makes a reader known to hold tokens of a session.
func keep(r *Router, at, session string, tokens int) {
	r.workers[at].sessions[session] = held{tokens, r.now}
}

func TestGateIsStrict(t *testing.T) {
	for _, c := range []struct {
		tokens int
		opens  bool
	}{{100, false}, {101, true}} {
		kept := 0
		for id := RequestID(1); id <= 40; id++ {
			r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
			q := ask(id, 1000)
			keep(r, "a", q.Session, c.tokens)
			if sent(t, r.Handle(ms, q)) == "a" {
				kept++
			}
		}
		if c.opens != (kept == 40) {
			t.Errorf("a match of %d of 1000: %d of 40 went to its reader", c.tokens, kept)
		}
	}
}

func TestCapSendsPastTheBestMatch(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("c", "r", 0), server("w", "w", 0))
	counts := map[string]int{}
	for id := RequestID(1); id <= 3; id++ {
		q := ask(id, 4000)
		keep(r, "a", q.Session, 3999)
		counts[sent(t, r.Handle(ms, q))]++
	}
	if counts["a"] != 2 { // 2.0 x ceil(3 active / 3 readers) = 2
		t.Errorf("the cap let %d of 3 to one reader, want 2", counts["a"])
	}
}

func TestCapSetAsideWhenAllAreCapped(t *testing.T) {
	// One reader alone may always hold 2.0 times all; the pool of the rest is empty only for none.
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	for id := RequestID(1); id <= 4; id++ {
		if got := sent(t, r.Handle(ms, ask(id, 100))); got != "a" {
			t.Fatal(got)
		}
	}
	q := &request{Request: ask(9, 100), class: r.classes["c"]}
	for _, w := range r.order {
		w.states = 1000 * (1 + len(w.out)) // beyond any cap
	}
	r.workers["a"].reads = -999 // the total stays small, so that every reader is past its share
	if w, _ := r.pickReader(q); w == nil {
		t.Error("with every reader capped the cap must be set aside")
	}
}

func TestWaitingStatesAreLoad(t *testing.T) {
	for id := RequestID(2); id <= 20; id++ {
		r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
		first := sent(t, r.Handle(ms, ask(1, 5000)))
		if to := sent(t, r.Handle(30*ms, read(1, 0, first, 0))); to != "w" {
			t.Fatal(to)
		}
		if got := sent(t, r.Handle(31*ms, ask(id, 400))); got == first {
			t.Fatalf("request %d went to the reader whose state waits", id)
		}
	}
}

func TestTiesRepeatAndSpread(t *testing.T) {
	pick := func(id RequestID) string {
		r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
		return sent(t, r.Handle(ms, ask(id, 500)))
	}
	counts := map[string]int{}
	for id := RequestID(1); id <= 100; id++ {
		first, second := pick(id), pick(id)
		if first != second {
			t.Fatal("a tie fell differently the second time")
		}
		counts[first]++
	}
	if counts["a"] < 30 || counts["b"] < 30 {
		t.Errorf("ties lean: %v", counts)
	}
}

func TestTableAgesAndIsCorrected(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	w := r.workers["a"]
	q := &request{Request: Request{Session: "s", Prefix: "p", PrefixLen: 300, Prompt: 1000}}
	r.noteKept(q, w)
	if m := r.match(q, w); m != 999 {
		t.Errorf("after a read: match %d, want all but one token", m)
	}
	r.now += horizon
	if m := r.match(q, w); m != 0 {
		t.Errorf("aged entry still matches %d", m)
	}
	other := &request{Request: Request{Session: "t", Prompt: 1000}}
	keep(r, "a", "t", 900)
	fresh := server("a", "r", 0)
	fresh.CameUp = r.now
	r.Handle(r.now, Roster{Scope: RosterChanges, Servers: []ServerInfo{fresh}})
	if m := r.match(other, w); m != 0 {
		t.Error("entries outlived a restart")
	}
}

func TestWriterInCellThenOut(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 1), server("near", "w", 1), server("near2", "w", 1),
		server("far", "w", 2), server("b", "r", 2))
	r.workers["b"].fullTo["\x00c"] = time.Minute // the plan is even; only a reads
	used := 0.5
	r.noteReport(r.workers["near"], &Report{Memory: &used})
	sent(t, r.Handle(ms, ask(1, 500)))
	if to := sent(t, r.Handle(20*ms, read(1, 0, "a", 0))); to != "near2" {
		t.Fatalf("went to %s, want the one with most free memory in the cell", to)
	}
	r.Handle(20*ms, Roster{Scope: RosterChanges, Servers: []ServerInfo{
		{Name: "near", Kind: "w", Zone: "z", Cell: 1, Phase: PhaseDraining},
		{Name: "near2", Kind: "w", Zone: "z", Cell: 1, Phase: PhaseOff}}})
	sent(t, r.Handle(21*ms, ask(2, 500)))
	if to := sent(t, r.Handle(40*ms, read(2, 0, "a", 0))); to != "far" {
		t.Fatalf("went to %s, want the other cell once the reader's has none", to)
	}
}

func TestMixedTakesItsShareWhole(t *testing.T) {
	r := router(t, testSettings(), server("m", "m", 1))
	if to := sent(t, r.Handle(ms, ask(1, 500))); to != "m" {
		t.Fatal(to)
	}
	if a := r.Handle(50*ms, FirstToken{ID: 1, Server: "m", Latency: 49 * ms}); has[Send](a) {
		t.Error("a request read by a mixed server was sent on")
	}
}

func TestStateReleasedWhenNoWriter(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500)))
	r.Handle(2*ms, Roster{Scope: RosterFull, Servers: []ServerInfo{server("a", "r", 0)}})
	now := 20 * ms
	r.Handle(now, read(1, 0, "a", 0))
	released := false
	for ; now < 20*ms+testSettings().PinLimit; now += 40 * ms {
		a := r.Handle(now, TimerFired{Name: "tick"})
		released = released || has[Release](a) && has[Refuse](a)
	}
	if !released || len(r.reqs) != 0 {
		t.Error("the state was neither sent on nor let go within the pin limit")
	}
}

func TestStateReleasedAfterGone(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500)))
	if a := r.Handle(2*ms, Gone{ID: 1}); !has[CancelAttempt](a) {
		t.Error("the attempt of a client that left was not withdrawn")
	}
	if a := r.Handle(20*ms, read(1, 0, "a", 0)); !has[Release](a) || has[Send](a) {
		t.Errorf("a read that crossed with the client's leaving gave %v", a)
	}
}

func TestLateRefusalIsAtOnce(t *testing.T) {
	r := router(t, testSettings())
	q := ask(1, 500)
	q.TTL = 20 * ms
	if a := r.Handle(ms, q); !has[Refuse](a) {
		t.Error("a request that no tick can save in time was held")
	}
}

func TestSilentServerSetAsideAndTriedAgain(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("c", "r", 0), server("w", "w", 0))
	for range 2 {
		r.blame(r.workers["a"], 1, 1)
	}
	w := r.workers["a"]
	if r.trusted(w) {
		t.Fatal("two failures in a row and still trusted")
	}
	r.now += asideFirst
	if !r.trusted(w) {
		t.Error("no trial after the time aside")
	}
	w.out = append(w.out, &request{})
	if r.trusted(w) {
		t.Error("a trial is one request at a time")
	}
}

func TestFloorKeepsHalfThePool(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
	for _, n := range []string{"a", "b"} {
		r.workers[n].asideTill = time.Hour
	}
	q := &request{Request: ask(1, 500), class: r.classes["c"]}
	if n := len(r.eligible(q, true)); n != 1 {
		t.Errorf("%d of 2 readers left, want 1", n)
	}
}

func TestColdServerGetsABoundedBurst(t *testing.T) {
	warm := []ServerInfo{server("a", "r", 0), server("b", "r", 0), server("w", "w", 0)}
	r := router(t, testSettings(), warm...)
	now, id := time.Duration(0), RequestID(0)
	serve := func() string {
		id++
		to := sent(t, r.Handle(now, ask(id, 500)))
		r.Handle(now+10*ms, read(id, 0, to, 0))
		r.Handle(now+20*ms, FirstToken{ID: id, Attempt: 1, Server: "w", Latency: 10 * ms})
		r.Handle(now+20*ms, Outcome{ID: id, Attempt: 1, Server: "w", Status: StatusServed, Final: true})
		return to
	}
	for ; now < 10*time.Second; now += 100 * ms {
		serve() // 5 a second at each of the two readers
	}
	cold := server("c", "r", 0)
	cold.CameUp = now
	r.Handle(now, Roster{Scope: RosterChanges, Servers: []ServerInfo{cold}})
	got := 0
	for end := now + 2*time.Second; now < end; now += 20 * ms { // a burst
		if serve() == "c" {
			got++
		}
	}
	if most := int(3 * 0.3 * 5 * 2); got == 0 || got > most { // multiple x share x warm rate x window
		t.Errorf("a cold server got %d sends in a fall window, want 1 to %d", got, most)
	}
}

func TestSettingsThatCannotBeUsed(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Routers":     func(s *Settings) { s.Routers = 0 },
		"Classes":     func(s *Settings) { s.Classes = nil },
		"Kinds":       func(s *Settings) { s.Kinds = nil },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"PinLimit":    func(s *Settings) { s.PinLimit = 0 },
		"Fall":        func(s *Settings) { s.Fall = 0 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}

func TestUnknownThingsAreIgnored(t *testing.T) {
	r := router(t, testSettings(), server("x", "nonesuch", 0), ServerInfo{Name: "v", Kind: "r", Zone: "nowhere"})
	for _, ev := range []Event{
		Outcome{ID: 9, Server: "q"}, FirstToken{ID: 9}, Gone{ID: 9}, ProbeResult{Server: "q"},
		PlaceNote{ID: 9}, PeerMessage{}, TimerFired{Name: "other"}, Roster{Scope: RosterFailed},
	} {
		if a := r.Handle(ms, ev); has[Send](a) {
			t.Errorf("%T led to a send", ev)
		}
	}
	if a := r.Handle(ms, ask(1, 100)); has[Send](a) {
		t.Error("a server of unknown kind or zone was sent to")
	}
	bad := ask(2, 100)
	bad.Class = "nonesuch"
	if a := r.Handle(ms, bad); !has[Refuse](a) {
		t.Error("a request of unknown class got no answer")
	}
}

func TestSubscribesAgainAfterAFailure(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	r, _ := New(set, 1)
	if a := r.Handle(0, Roster{Scope: RosterCached}); !has[Subscribe](a) {
		t.Fatal("no subscription at the start")
	}
	r.Handle(ms, Roster{Scope: RosterFailed})
	if a := r.Handle(2*time.Second, TimerFired{Name: "tick"}); !has[Subscribe](a) {
		t.Error("no further call after a failed one")
	}
}

// attempt is the test's own record of an attempt that is out.
type attempt struct {
	id     RequestID
	n      int
	server ServerInfo
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
	servers := map[string]ServerInfo{}
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
				s := servers[a.Server]
				switch {
				case !open:
					t.Fatalf("seed %d: send for %d, which has ended", seed, a.ID)
				case isOut(a.ID) >= 0:
					t.Fatalf("seed %d: two attempts of %d out", seed, a.ID)
				case s.Phase != PhaseOn:
					t.Fatalf("seed %d: send to %s, which is leaving", seed, a.Server)
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
				out = append(out, attempt{id: a.ID, n: counts[a.ID], server: s})
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
			ev.Servers = append(ev.Servers, servers[n])
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
		handle(Outcome{ID: a.id, Attempt: a.n, Server: a.server.Name, Status: st, Latency: 5 * ms, Final: final,
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
				handle(FirstToken{ID: a.id, Attempt: a.n, Server: a.server.Name, Latency: 5 * ms})
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

func TestModuleSize(t *testing.T) {
	b, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for i, line := range strings.Split(string(b), "\n") {
		if strings.TrimSpace(line) != "" {
			n++
		}
		if len([]rune(line)) > 110 {
			t.Errorf("policy.go:%d has more than 110 columns", i+1)
		}
	}
	if n > 950 {
		t.Errorf("the module has %d lines that are not blank, 950 at most", n)
	}
}

// The failures below were found on the bench; each test fails without its answer.

func TestBusyPeersDoNotShieldAFailingServer(t *testing.T) {
	var list []ServerInfo
	for i := range 8 {
		list = append(list, server(fmt.Sprint("r", i), "r", 0))
	}
	r := router(t, testSettings(), list...)
	for i := 1; i < 5; i++ { // half of the peers look bad as well
		r.workers[fmt.Sprint("r", i)].fail = 0.6
	}
	for range 3 {
		r.blame(r.workers["r0"], 1, 1)
	}
	if r.trusted(r.workers["r0"]) {
		t.Error("a server that fails everything stays in use because other servers are sick too")
	}
}

func TestNobodyIsToBlameForWhatAllSuffer(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("c", "r", 0))
	for range 6 {
		for _, w := range r.order {
			r.blame(w, 1, 1)
		}
	}
	aside := 0
	for _, w := range r.order {
		if !r.trusted(w) {
			aside++
		}
	}
	if aside > 1 { // the first to fail twice stands out until the others have
		t.Errorf("%d of 3 servers set aside for a common cause", aside)
	}
}

func TestTimeoutAtABusyServerIsNoBlame(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500)))
	sent(t, r.Handle(2*ms, ask(2, 500)))
	r.Handle(30*ms, read(2, 0, "a", 0))
	r.Handle(900*ms, Outcome{ID: 1, Server: "a", Status: StatusTimeout, Latency: 899 * ms})
	if w := r.workers["a"]; w.fail > 0 {
		t.Errorf("a server that answered others meanwhile is blamed %.2f", w.fail)
	}
}

func TestOldestReadIsNoReasonToMoveASession(t *testing.T) {
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

func TestFullMixedServerRefuses(t *testing.T) {
	r := router(t, testSettings(), server("m", "m", 0))
	r.workers["m"].memory = 1e5 // of two routers each: all of it
	if a := r.Handle(ms, ask(1, 500)); !has[Refuse](a) {
		t.Errorf("a mixed server without memory took a request: %v", a)
	}
}

func TestAnswersCountAgainstReadsAtAMixedServer(t *testing.T) {
	r := router(t, testSettings(), server("m", "m", 0), server("a", "r", 0), server("w", "w", 0))
	r.workers["m"].answers = 20
	for id := RequestID(1); id < 20; id++ {
		q := &request{Request: ask(id, 500), class: r.classes["c"], aim: time.Second}
		if w, _ := r.pickReader(q); w.Name != "a" {
			t.Fatal("a read went to a mixed server with many answers though a reader was idle")
		}
	}
}

func TestLastAttemptIsNotSpentOnAWriter(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	r := router(t, set, server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500)))
	a := r.Handle(20*ms, read(1, 0, "a", 0))
	if has[Send](a) || !has[Refuse](a) || !has[Release](a) {
		t.Errorf("past the attempt cap: %v", a)
	}
}

// Memory that seems short turns a request away only where answers are seen to wait for it.
func TestNoRoomAtWritersRefusesBeforeTheRead(t *testing.T) {
	for _, c := range []struct {
		first   float64 // seconds to the first token, as usual
		refused bool
	}{{0.02, false}, {0.3, true}} {
		r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
		r.workers["w"].memory = 1e5
		r.stages[RoleWriter].first = c.first
		if a := r.Handle(ms, ask(1, 500)); has[Send](a) == c.refused || has[Refuse](a) != c.refused {
			t.Errorf("first tokens within %.2f s: %v", c.first, a)
		}
	}
}

// What a deployment counts as waiting differs: whole prompts, or what of them is not kept.
// The time that reads took tells what a reported token stands for against one to be read.
func TestReportedTokensAreWorthWhatTheyTake(t *testing.T) {
	for _, c := range []struct{ worth, noise, want float64 }{{1, 0, 1}, {0.25, 0, 0.25}, {0.25, 0.3, 0.25}, {0, 0, 0.1}, {5, 0, 1}} {
		rng := rand.New(rand.NewPCG(4, 4))
		var f shown
		if f.worth() != 1 {
			t.Error("with nothing known a reported token must count in full")
		}
		for range 400 {
			reported, toRead := 30_000*rng.Float64(), 300+6000*rng.Float64()
			f.add(reported, toRead, 5e-5*(toRead+c.worth*reported)*(1+c.noise*rng.NormFloat64()))
		}
		if got := f.worth(); got < c.want-0.06 || got > c.want+0.06 {
			t.Errorf("tokens worth %.2f with noise %.1f are held to be worth %.2f", c.worth, c.noise, got)
		}
	}
}

func TestAHungAttemptIsWithdrawnAndSpeaksForNobody(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500))) // its answer is lost on the way
	now := 2 * ms
	for id := RequestID(2); id < 40; id++ { // later ones come through
		if a := r.Handle(now, ask(id, 500)); !has[Send](a) {
			t.Fatalf("%v: the hung attempt held the others back: %v", now, a)
		}
		r.Handle(now+15*ms, read(id, 0, "a", 0))
		r.Handle(now+25*ms, FirstToken{ID: id, Attempt: 1, Server: "w", Latency: 10 * ms})
		r.Handle(now+26*ms, Outcome{ID: id, Attempt: 1, Server: "w", Status: StatusServed, Final: true})
		now += 30 * ms
		if has[CancelAttempt](r.Handle(now, TimerFired{Name: "tick"})) {
			return
		}
	}
	t.Error("an attempt that 38 later ones passed was never withdrawn")
}

func TestStuckWritersDoNotSpeakForTheRest(t *testing.T) {
	r := router(t, testSettings(), server("w1", "w", 0), server("w2", "w", 0), server("w3", "w", 0))
	r.now = 5 * time.Second
	for range 3 {
		r.workers["w1"].out = append(r.workers["w1"].out, &request{sentAt: 0, phase: writing, expect: ms})
	}
	if w := r.writerWait(); w != 0 {
		t.Errorf("states stuck at one of three writers make the wait %.1f s", w)
	}
}

// ---- failures of scale: many routers against a few servers

// fleet makes routers that differ in seed alone.
func fleet(t *testing.T, n int, set Settings, servers ...ServerInfo) []*Router {
	t.Helper()
	set.Routers = n
	var all []*Router
	for seed := range n {
		r, err := New(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(0, Roster{Scope: RosterCached, Servers: servers})
		all = append(all, r)
	}
	return all
}

// A cold server that looks empty to 200 routers would draw a first send from each.
func TestManyRoutersTogetherSpareAColdServer(t *testing.T) {
	set, now := testSettings(), 20*time.Second
	cold := server("cold", "r", 0)
	cold.CameUp = now
	all := fleet(t, 200, set, server("a", "r", 0), server("b", "r", 0), server("w", "w", 0), cold)
	toCold, sends := 0, 0
	for i, r := range all {
		r.stages[RoleReader] = stage{peak: 500 / 2.0, at: now} // half a request of 500 tokens a second
		r.weights["c"] = 500
		if sent(t, r.Handle(now, ask(RequestID(i), 500))) == "cold" {
			toCold++
		}
		sends++
	}
	// Warm peers carry 100 requests a second; the cold one may get 2 s x 3 x 0.3 of that.
	if most := 180; toCold == 0 || toCold > most {
		t.Errorf("%d of %d first sends went to a cold server, want some but at most %d", toCold, sends, most)
	}
	for _, r := range all {
		r.stages[RoleReader].peak = 0.01 * 500
		r.workers["cold"].sends = nil
	}
	toCold = 0
	for i, r := range all {
		r.workers["a"].fullTo["\x00c"], r.workers["b"].fullTo["\x00c"] = time.Hour, time.Hour
		if has[Send](r.Handle(now+time.Millisecond, ask(RequestID(1000+i), 500))) {
			toCold++
		}
	}
	if toCold > 15 { // a share of 0.0126 requests each
		t.Errorf("%d of 200 routers sent to the cold server where all may send 3", toCold)
	}
}

// readers returns a writer and n readers.
func readers(n int) []ServerInfo {
	servers := []ServerInfo{server("w", "w", 0)}
	for i := range n {
		servers = append(servers, server(fmt.Sprint("r", i), "r", 0))
	}
	return servers
}

// Each router would learn a kept text anew; they must expect it at the same reader.
func TestRoutersExpectATextAtTheSameReader(t *testing.T) {
	perText := map[string]map[string]bool{}
	for i, r := range fleet(t, 60, testSettings(), readers(20)...) {
		q := ask(RequestID(i), 4000)
		q.Prefix, q.PrefixLen = fmt.Sprint("p", i%2), 3500
		to := sent(t, r.Handle(ms, q))
		if perText[q.Prefix] == nil {
			perText[q.Prefix] = map[string]bool{}
		}
		perText[q.Prefix][to] = true
	}
	for text, at := range perText {
		if len(at) < 2 || len(at) > 6 {
			t.Errorf("%s was sent to %d readers, want 2 to 6", text, len(at))
		}
	}
}

// To have seen a text once says nothing of its share: each of many routers would give every
// rare text more homes, and each home would have to read it first.
func TestATextSeenOnceHasNoMoreHomesThanAny(t *testing.T) {
	at, again := map[string]bool{}, map[string]bool{}
	for i, r := range fleet(t, 200, testSettings(), readers(90)...) {
		q := ask(RequestID(i), 4000)
		q.Prefix, q.PrefixLen, q.Session = "rare", 3500, fmt.Sprint("s", i)
		at[sent(t, r.Handle(ms, q))] = true
		for range 20 { // often enough to be hot
			r.count("hot")
		}
		q.ID, q.Prefix = RequestID(1000+i), "hot"
		again[sent(t, r.Handle(2*ms, q))] = true
	}
	if len(at) > 2 {
		t.Errorf("a text seen once was sent to %d readers, want 2 at most", len(at))
	}
	if len(again) < 10 {
		t.Errorf("a hot text was sent to %d readers, want many", len(again))
	}
}

// A repeat of a guarded request must arrive within the window that opened with the first
// attempt: one that could come late, as its connection has yet to come up, is not sent.
func TestAGuardedRepeatArrivesWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		delay, at Time
		repeated  bool
	}{
		{0, 900 * ms, true},
		{0, 1000 * ms, false},
		{250 * ms, 700 * ms, true},
		{250 * ms, 750 * ms, false},
		{250 * ms, 900 * ms, false},
	} {
		set := testSettings()
		set.SendDelay = c.delay
		class := &Class{Name: "g", Aim: time.Second, Effect: EffectGuarded, Group: GroupAll, Window: time.Second}
		r := &Router{set: set, now: c.at}
		q := &request{class: class, risks: []risk{{sent: 0}}}
		if got := r.mayRun(q, &worker{}); got != c.repeated {
			t.Errorf("delay %v, %v after the first attempt: %v", c.delay, c.at, got)
		}
	}
}

// Reads follow the writers of their cells, and what is over goes to cells that lack readers.
func TestReadsAndAnswersAreSpreadEvenlyOverUnevenCells(t *testing.T) {
	var servers []ServerInfo
	for i := range 6 {
		servers = append(servers, server(fmt.Sprint("ra", i), "r", 1), server(fmt.Sprint("wb", i), "w", 2))
	}
	servers = append(servers, server("wa0", "w", 1), server("wa1", "w", 1), server("rb0", "r", 2), server("rb1", "r", 2))
	answers := map[string]int{}
	for i, r := range fleet(t, 800, testSettings(), servers...) {
		to := sent(t, r.Handle(ms, ask(RequestID(i), 1000)))
		answers[sent(t, r.Handle(20*ms, read(RequestID(i), 0, to, 0)))]++
	}
	for name, n := range answers {
		if n < 60 || n > 145 {
			t.Errorf("%s got %d of 800 answers, want about 100", name, n)
		}
	}
	if len(answers) != 8 {
		t.Errorf("%d of 8 writers were used", len(answers))
	}
}

// Servers that limit one tenant have room: it is tried elsewhere, and nobody else avoids them.
// In an overload all are turned away alike, and the retry budget holds.
func TestALimitedTenantIsToldFromAnOverload(t *testing.T) {
	for _, limited := range []bool{true, false} {
		r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
		now, second := 10*ms, 0
		for id := RequestID(1); id <= 40; id++ {
			now += 10 * time.Second // beyond every pause
			q := ask(id, 500)
			q.Tenant = []string{"x", "y"}[id%2]
			to := sent(t, r.Handle(now, q))
			if limited && q.Tenant == "y" {
				r.Handle(now+ms, read(id, 0, to, 0))
				r.Handle(now+2*ms, FirstToken{ID: id, Attempt: 1, Server: "w", Latency: ms})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Server: "w", Status: StatusServed, Final: true})
				continue
			}
			r.retries = 0
			if has[Send](r.Handle(now+ms, Outcome{ID: id, Server: to, Status: StatusFull})) {
				second++
				r.Handle(now+2*ms, Gone{ID: id})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Status: StatusCancelled, Final: true})
			}
		}
		if limited && second < 15 || !limited && second > 0 {
			t.Errorf("limited %v: %d were tried again without a retry in the budget", limited, second)
		}
		q := ask(99, 500)
		q.Tenant = "y"
		if at := r.workers["a"]; limited && at.fullTo["y\x00c"] > r.now {
			t.Error("a server that limits one tenant is avoided for another")
		}
		sent(t, r.Handle(now+time.Second, q))
	}
}

// BenchmarkRequest plays whole requests over pools of growing size.
// A spent budget was only valued less, so that an idle pool served any excess.
func TestSpentBudgetIsRefusedWithAdvice(t *testing.T) {
	set := testSettings()
	set.Routers, set.Tenants = 1, []Tenant{{Name: "team", Quota: 0.4}}
	r := router(t, set, server("m1", "m", 0))
	for id := RequestID(1); id <= 2; id++ {
		q := ask(id, 400)
		q.Tenant = "team"
		actions := r.Handle(ms, q)
		if id == 1 {
			sent(t, actions)
			continue
		}
		refused, ok := actions[0].(Refuse)
		if !ok || !refused.OverQuota || refused.RetryAfter < set.MaxRetryAfter/2 {
			t.Errorf("request past the budget: %v", actions)
		}
	}
	late := ask(3, 400)
	late.Tenant = "team"
	r.Handle(20*ms, Outcome{ID: 1, Server: "m1", Status: StatusServed, Latency: 19 * ms, Final: true})
	sent(t, r.Handle(5*time.Second, late)) // the budget has filled again
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{40, 110} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := testSettings()
			set.Routers = 100
			r, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			var servers []ServerInfo
			for i := range n {
				servers = append(servers, server(fmt.Sprint("s", i), []string{"r", "w"}[i%2], i/6))
			}
			r.Handle(0, Roster{Scope: RosterFull, Servers: servers})
			for i := range b.N {
				id, now, to := RequestID(i), time.Duration(i)*time.Second, ""
				for _, e := range []func() Event{
					func() Event { return ask(id, 3000) },
					func() Event { return read(id, 0, to, 0) },
					func() Event { return FirstToken{ID: id, Attempt: 1, Server: to, Latency: ms} },
					func() Event { return Outcome{ID: id, Attempt: 1, Server: to, Status: StatusServed, Final: true} },
				} {
					for _, a := range r.Handle(now, e()) {
						if s, ok := a.(Send); ok {
							to = s.Server
						}
					}
				}
			}
		})
	}
}

// Among many routers each sees a reader too seldom to know its queue: before a
// request's first choice the likeliest reader is probed, and the request goes by the
// report. A lost probe delays it by a tick at most; a reader awaited is not asked again.
func TestManyRoutersAskReadersForTheirQueues(t *testing.T) {
	set := testSettings()
	set.Routers, set.CanProbe = 80, true
	servers := []ServerInfo{server("r1", "r", 0), server("r2", "r", 0), server("w1", "w", 0)}
	probes := func(actions []Action) (to []string) {
		for _, a := range actions {
			if p, ok := a.(Probe); ok {
				to = append(to, p.Server)
			}
		}
		return to
	}
	r := router(t, set, servers...)
	first := slices.Clone(r.Handle(time.Second, ask(1, 1000)))
	asked := probes(first)
	if len(asked) != 1 || has[Send](first) {
		t.Fatalf("probes %v and a send %v, want %d probes and no send", asked, has[Send](first), 1)
	}
	if again := probes(r.Handle(time.Second, ask(2, 1000))); slices.Contains(again, asked[0]) {
		t.Errorf("%s was probed again while its answer was awaited", asked[0])
	}
	long := 40.0
	if to := sent(t, r.Handle(time.Second+ms, ProbeResult{Server: asked[0], Report: &Report{Queue: &long}})); to == asked[0] {
		t.Errorf("sent to %s, whose report shows a long queue", to)
	}
	r = router(t, set, servers...)
	r.Handle(time.Second, ask(1, 1000))
	if !has[Send](r.Handle(time.Second+r.tick(), TimerFired{Name: "tick"})) {
		t.Error("a request that waits for a lost probe was not sent at the tick")
	}
	// Few routers, no probes allowed, or no text that draws all alike: sent at once.
	for _, c := range []struct {
		routers    int
		can, quiet bool
	}{{2, true, false}, {80, false, false}, {80, true, true}} {
		set.Routers, set.CanProbe = c.routers, c.can
		q := ask(1, 1000)
		if c.quiet {
			q.Session = ""
		}
		if acts := router(t, set, servers...).Handle(time.Second, q); len(probes(acts)) != 0 || !has[Send](acts) {
			t.Errorf("%+v: probes %v", c, probes(acts))
		}
	}
}

// Where writers read, one with memory to spare takes a prompt for which every reader has
// a long queue; nowhere else, and not one that is full or reads already.
func TestWritersReadWhereReadersHaveAQueue(t *testing.T) {
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
		set.WritersRead = c.allowed
		r := router(t, set, server("a", "r", 0), server("w", "w", 0))
		r.noteReport(r.workers["a"], &Report{WaitingTokens: &queued})
		if c.memory != nil {
			r.noteReport(r.workers["w"], &Report{Memory: c.memory})
		}
		if c.first {
			r.Handle(ms, ask(1, 1000))
		}
		to := ""
		for _, a := range r.Handle(ms, ask(2, 1000)) {
			if s, ok := a.(Send); ok {
				to = s.Server
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
func TestReportsAreBelievedByAge(t *testing.T) {
	long, short := 40_000.0, 0.0
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
	a, b := r.workers["a"], r.workers["b"]
	r.noteReport(a, &Report{WaitingTokens: &long})
	r.noteReport(b, &Report{WaitingTokens: &short})
	last := r.queue(a)
	if last != long || r.queue(b) != 0 {
		t.Fatalf("fresh reports of 40000 and 0 tell queues of %.0f and %.0f", last, r.queue(b))
	}
	sent(t, r.Handle(0, ask(1, 5000))) // to b
	if got, todo := r.queue(b), float64(r.reqs[1].todo); got != todo || todo == 0 {
		t.Errorf("%.0f tokens sent since a report of none: a queue of %.0f", todo, got)
	}
	for at := Time(100 * ms); at <= 10*time.Second; at += 100 * ms {
		r.Handle(at, TimerFired{Name: "tick"})
		now := r.queue(a)
		if now >= last || last-now > long/5 {
			t.Fatalf("at %v the queue told by one report went from %.0f to %.0f", at, last, now)
		}
		last = now
	}
	if last > 100 {
		t.Errorf("a report 10 s old still tells a queue of %.0f", last)
	}
}

// Under one wait for all, work of less worth is turned away before it makes work of more
// worth late, though its own aim is far; with no worthier work about it is not.
func TestWorkOfLessWorthGivesWay(t *testing.T) {
	for _, c := range []struct {
		name    string
		gain    float64 // of the class with the near aim
		refused bool
	}{{"worthier", 3, true}, {"worth less", 1, false}} {
		set := testSettings()
		set.Classes = []Class{{Name: "near", Aim: time.Second, Gain: c.gain}, {Name: "c", Aim: 4 * time.Second, Gain: 2}}
		r := router(t, set, server("a", "r", 0), server("w", "w", 0))
		r.stages[RoleWriter].first = 1.5 // every state waits so long for its writer
		r.stages[RoleWriter].firstAt = 0
		if a := r.Handle(ms, ask(1, 500)); has[Refuse](a) != c.refused {
			t.Errorf("%s: %v", c.name, a)
		}
	}
}

// A refusal for want of retries advises the wait that is seen, not a part of the aim: short
// where nobody waits, long where the oldest have waited long, and not the same for all.
func TestAdviceFollowsTheWaitSeen(t *testing.T) {
	advice := func(crowd int) (all []time.Duration) {
		for id := RequestID(100); id < 110; id++ {
			set := testSettings()
			set.MaxRetryAfter = 5 * time.Second
			r := router(t, set, server("r1", "r", 0), server("r2", "r", 0), server("r3", "r", 0), server("w1", "w", 0))
			for n := range crowd {
				r.Handle(time.Second, ask(RequestID(n+1), 100))
			}
			at := sent(t, r.Handle(1200*ms, ask(id, 100)))
			r.retries = 0
			for _, a := range r.Handle(2200*ms, Outcome{ID: id, Server: at, Status: StatusError}) {
				if f, ok := a.(Refuse); ok {
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
	if idle[9] > leastAdvice {
		t.Errorf("nobody waits, and clients are told to stay away for %v", idle[9])
	}
	if busy[0] < 500*ms || busy[9] > 1200*ms || busy[9]-busy[0] < 100*ms {
		t.Errorf("where others have waited for 1.2 s: %v to %v", busy[0], busy[9])
	}
}

// Among many routers a reader with none of our own reads is not idle if its fresh report
// shows a queue: what can't be in time there is refused, not tried.
func TestAReportedQueueIsNotIdle(t *testing.T) {
	for _, c := range []struct {
		queue   float64
		at      time.Duration // of the request, after the report
		refused bool
	}{{0, 0, false}, {8, 0, true}, {8, 30 * time.Second, false}} {
		set := testSettings()
		set.Routers, set.CanProbe = 80, true
		r := router(t, set, server("r1", "r", 0), server("r2", "r", 0), server("w1", "w", 0))
		for _, name := range []string{"r1", "r2"} {
			r.Handle(time.Second, ProbeResult{Server: name, Report: &Report{Queue: &c.queue}})
		}
		actions := slices.Clone(r.Handle(time.Second+c.at, ask(1, 8000)))
		if c.at > 0 { // the report is old: the likeliest reader is asked, and does not answer
			actions = append(actions, r.Handle(time.Second+c.at+60*ms, TimerFired{Name: "tick"})...)
		}
		if has[Refuse](actions) != c.refused || has[Send](actions) == c.refused {
			t.Errorf("a queue of %v, %v ago: %v", c.queue, c.at, actions)
		}
	}
}

// What is learned of one tenant's class is never another's, whatever the two are called.
func TestTenantsOfLikeNamesShareNoLimit(t *testing.T) {
	one := &request{Request: Request{Tenant: "a|b", Class: "c"}}
	other := &request{Request: Request{Tenant: "a", Class: "b|c"}}
	if rateKey(one) == rateKey(other) {
		t.Errorf("both are %q", rateKey(one))
	}
}
