package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms   = time.Millisecond
	tick = 20 * ms
)

// tier is gateways on a network in virtual time.
type tier struct {
	now       Time
	queue     deliveries
	lastOrder int
	rng       *rand.Rand
	nodes     map[string]*node
	names     []string
	fails     func(from, to string) bool // a message is lost
	sent      int
	late      time.Duration // by which the next message comes late
	twice     bool          // whether it comes twice
}

type node struct {
	*Machine
	id     string
	life   uint64
	paused Time // until
	down   bool
	inbox  []Message // while paused
	dead   map[string]Time
}

type delivery struct {
	at    Time
	order int
	to    string
	life  uint64 // of the sender
	msg   *Message
}

type deliveries []delivery

func (l deliveries) Len() int { return len(l) }
func (l deliveries) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(l[i].at, l[j].at), l[i].order-l[j].order) < 0
}
func (l deliveries) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *deliveries) Push(x any)   { *l = append(*l, x.(delivery)) }
func (l *deliveries) Pop() any     { x := (*l)[len(*l)-1]; *l = (*l)[:len(*l)-1]; return x }

func newTier(seed uint64, n int) *tier {
	t := &tier{rng: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, fails: func(string, string) bool { return false }}
	for i := range n {
		t.start(fmt.Sprintf("g%03d", i), 1)
	}
	return t
}

// start begins a process; its address is its name, and it joins by the first of all.
func (t *tier) start(id string, life uint64) *node {
	x := &node{id: id, life: life, dead: map[string]Time{}}
	x.Machine = New(Config{ID: id, Addr: id, Instance: life<<32 | uint64(len(t.names)), Incarnation: life, Seed: t.rng.Uint64(), JoinAddrs: []string{"g000", "g001"}}, t.now)
	if t.nodes[id] == nil {
		t.names = append(t.names, id)
	}
	t.nodes[id] = x
	t.post(t.now+time.Duration(t.rng.Int64N(int64(tick))), id, life, nil)
	return x
}

func (t *tier) post(at Time, to string, life uint64, msg *Message) {
	t.lastOrder++
	heap.Push(&t.queue, delivery{at, t.lastOrder, to, life, msg})
}

func (t *tier) carry(from *node, out []Outgoing) {
	for _, s := range out {
		t.sent++
		if t.nodes[s.To] == nil || t.fails(from.id, s.To) {
			continue
		}
		msg := s.Message
		msg.Updates = slices.Clone(msg.Updates)
		way := time.Duration(t.rng.Int64N(int64(2 * ms)))
		t.post(t.now+way+t.late, s.To, 0, &msg)
		if t.twice {
			t.post(t.now+way+ms, s.To, 0, &msg)
		}
		t.late, t.twice = 0, false
	}
}

// run plays until a time.
func (t *tier) run(until Time) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		l := heap.Pop(&t.queue).(delivery)
		t.now = l.at
		x := t.nodes[l.to]
		switch {
		case x.down:
		case l.msg == nil && l.life != x.life: // a tick of an earlier life
		case t.now < x.paused:
			if l.msg != nil {
				x.inbox = append(x.inbox, *l.msg)
			} else {
				t.post(x.paused, l.to, l.life, nil)
			}
		case l.msg != nil:
			t.carry(x, x.Receive(t.now, *l.msg))
		default:
			t.carry(x, x.Tick(t.now))
			for _, msg := range x.inbox {
				t.carry(x, x.Receive(t.now, msg))
			}
			x.inbox = nil
			t.post(t.now+tick, l.to, l.life, nil)
		}
		for _, g := range x.byName {
			if _, known := x.dead[g.ID]; g.Status >= Dead && !known {
				x.dead[g.ID] = t.now
			} else if g.Status < Dead && known {
				delete(x.dead, g.ID)
			}
		}
	}
	t.now = until
}

// agree tells whether all that run hold one view, in which all that run are alive.
func (t *tier) agree() error {
	var first *node
	for _, id := range t.names {
		x := t.nodes[id]
		if x.down {
			continue
		}
		first = cmp.Or(first, x)
		if x.digest != first.digest || x.epoch != first.epoch {
			return fmt.Errorf("%s and %s hold views %d/%x and %d/%x", first.id, id, first.epoch, first.digest, x.epoch, x.digest)
		}
		for _, other := range t.names {
			if y := x.members[other]; other != id && !t.nodes[other].down && (y == nil || y.Status != Alive) {
				return fmt.Errorf("%s does not hold %s for alive", id, other)
			}
		}
	}
	return nil
}

func (t *tier) mustAgree(tt *testing.T, within time.Duration, what string) {
	tt.Helper()
	var err error
	for end := t.now + within; t.now < end; {
		t.run(t.now + 100*ms)
		if err = t.agree(); err == nil {
			return
		}
	}
	tt.Fatalf("%s: no agreement within %v: %v", what, within, err)
}

func TestDeathSpreadsToAll(t *testing.T) {
	var took []time.Duration
	for seed := range uint64(40) {
		tier := newTier(seed, 9)
		tier.mustAgree(t, 10*time.Second, "join")
		tier.run(tier.now + time.Duration(tier.rng.Int64N(int64(time.Second))))
		killed := tier.now
		tier.nodes["g004"].down = true
		tier.run(killed + 6*time.Second)
		for _, id := range tier.names {
			if x := tier.nodes[id]; !x.down {
				at, known := x.dead["g004"]
				if !known {
					t.Fatalf("seed %d: %s does not know of the kill", seed, id)
				}
				took = append(took, at-killed)
			}
		}
	}
	slices.Sort(took)
	if p99 := took[len(took)*99/100]; p99 > 3*time.Second || took[0] < 2*time.Second {
		t.Errorf("known after %v to %v, p99 %v", took[0], took[len(took)-1], p99)
	}
}

// falsely counts who of those that run is dead to somebody.
func (t *tier) falsely() (out []string) {
	for _, id := range t.names {
		for other, at := range t.nodes[id].dead {
			if !t.nodes[id].down && !t.nodes[other].down {
				out = append(out, fmt.Sprintf("%s to %s at %v", other, id, at))
			}
		}
	}
	return out
}

func TestFaultsCauseNoFalseDeath(t *testing.T) {
	for seed := range uint64(25) {
		tier := newTier(seed, 9)
		tier.mustAgree(t, 10*time.Second, "join")
		faults := rand.New(rand.NewPCG(seed, 77))
		cut := map[string]bool{}
		tier.fails = func(from, to string) bool { return cut[from+to] || faults.Float64() < 0.3 }
		for range 12 { // again and again somebody is paused for up to 2 s and somebody is not heard by another
			clear(cut)
			a, b := tier.names[faults.IntN(9)], tier.names[faults.IntN(9)]
			cut[a+b] = true
			x := tier.nodes[tier.names[faults.IntN(9)]]
			x.paused = max(x.paused, tier.now+1500*ms+time.Duration(faults.Int64N(int64(500*ms))))
			tier.run(tier.now + 2500*ms)
			if bad := tier.falsely(); len(bad) > 0 {
				t.Fatalf("seed %d: dead falsely: %v", seed, bad)
			}
		}
		tier.fails = func(string, string) bool { return false }
		tier.mustAgree(t, 5*time.Second, fmt.Sprint("seed ", seed, ", after the last fault"))
	}
}

func TestLongPauseIsDeathAndReturn(t *testing.T) {
	tier := newTier(3, 5)
	tier.mustAgree(t, 10*time.Second, "join")
	x := tier.nodes["g002"]
	x.paused = tier.now + 30*time.Second
	tier.run(tier.now + 10*time.Second)
	if got := tier.nodes["g000"].members["g002"].Status; got != Dead {
		t.Fatalf("silent for 10 s and held for %v", got)
	}
	before := x.self.Incarnation
	tier.run(x.paused + 50*ms)
	for _, y := range x.byName { // it has been away itself, and must not judge others by that
		if y.Status != Alive {
			t.Errorf("back from a pause it holds %s for %v", y.ID, y.Status)
		}
	}
	tier.mustAgree(t, 5*time.Second, "after the pause")
	if x.self.Incarnation <= before || x.View().Stats.Pauses == 0 {
		t.Errorf("back with incarnation %d, %d before; stats %+v", x.self.Incarnation, before, x.View().Stats)
	}
}

func TestPartitionMinorityAndMerge(t *testing.T) {
	for _, c := range []struct {
		left                  int
		leftMinor, rightMinor bool
	}{{2, true, false}, {3, true, true}} {
		n := 2 * c.left
		if c.left == 2 {
			n = 5
		}
		tier := newTier(uint64(c.left), n)
		tier.mustAgree(t, 10*time.Second, "join")
		side := func(id string) bool { return slices.Index(tier.names, id) < c.left }
		tier.fails = func(a, b string) bool { return side(a) != side(b) }
		tier.run(tier.now + 8*time.Second)
		for i, id := range tier.names {
			v := tier.nodes[id].View()
			if v.Minority != (i < c.left && c.leftMinor || i >= c.left && c.rightMinor) {
				t.Errorf("%d of %d: %s holds itself a minority: %v", c.left, n, id, v.Minority)
			}
			if v.Minority && v.ActiveGateways != n {
				t.Errorf("%s in a minority says %d share the engines, of %d", id, v.ActiveGateways, n)
			}
		}
		late := tier.start("g900", 1) // one half moves on
		tier.run(tier.now + 3*time.Second)
		epochs := tier.nodes["g000"].epoch
		tier.fails = func(string, string) bool { return false }
		tier.mustAgree(t, 5*time.Second, "after the heal")
		if late.epoch <= epochs {
			t.Errorf("merged at epoch %d, %d before", late.epoch, epochs)
		}
	}
}

// A hub that alone reaches both halves keeps all of them alive.
func TestPartitionBridgedByOneMember(t *testing.T) {
	tier := newTier(5, 5)
	tier.mustAgree(t, 10*time.Second, "join")
	side := func(id string) int { return slices.Index(tier.names, id) % 2 }
	tier.fails = func(a, b string) bool { return a != "g004" && b != "g004" && side(a) != side(b) }
	tier.run(tier.now + 30*time.Second)
	if bad := tier.falsely(); len(bad) > 0 {
		t.Errorf("dead falsely: %v", bad)
	}
}

func TestOneWayPartitionIsDetected(t *testing.T) {
	tier := newTier(8, 3)
	tier.mustAgree(t, 10*time.Second, "join")
	tier.fails = func(a, b string) bool { return a == "g000" && b == "g001" }
	tier.run(tier.now + 20*time.Second)
	if bad := tier.falsely(); len(bad) > 0 {
		t.Errorf("dead falsely: %v", bad)
	}
	for _, g := range tier.nodes["g000"].View().Peers {
		if g.OneWay != (g.ID == "g001") {
			t.Errorf("%s one way: %v", g.ID, g.OneWay)
		}
	}
}

func TestRestartFasterThanDetection(t *testing.T) {
	tier := newTier(11, 4)
	tier.mustAgree(t, 10*time.Second, "join")
	old := tier.nodes["g003"]
	tier.nodes["g003"].down = true
	tier.run(tier.now + 300*ms)
	tier.start("g003", 2)
	tier.run(tier.now + 200*ms)
	tier.carry(old, []Outgoing{{To: "g000", Message: Message{Kind: Ack, From: "g003", Instance: old.cfg.Instance, Addr: "g003", Updates: []Update{old.self}}}})
	tier.mustAgree(t, 5*time.Second, "after the restart")
	if got := tier.nodes["g000"].members["g003"].Incarnation; got < 2 {
		t.Errorf("after a restart it is held at incarnation %d", got)
	}
}

// Where what was written down is lost and the clock went back, the tier knows better.
func TestIncarnationSurvivesRestart(t *testing.T) {
	tier := newTier(12, 4)
	tier.nodes["g003"].self.Incarnation = 500
	tier.mustAgree(t, 10*time.Second, "join")
	tier.nodes["g003"].down = true
	tier.run(tier.now + 6*time.Second)
	tier.start("g003", 3)
	tier.mustAgree(t, 5*time.Second, "after the restart")
	if got := tier.nodes["g001"].members["g003"].Incarnation; got <= 500 {
		t.Errorf("incarnation went back to %d", got)
	}
}

func TestDuplicateNameLeavesOne(t *testing.T) {
	tier := newTier(2, 3)
	tier.mustAgree(t, 10*time.Second, "join")
	a, b := tier.nodes["g002"], New(Config{ID: "g002", Addr: "x", Instance: 1<<60 + 1, Incarnation: 1}, 0)
	out := b.Tick(tier.now)
	_ = out
	msg := Message{Kind: Ping, From: "g002", Instance: b.cfg.Instance, Addr: "x"}
	a.Receive(tier.now, msg)
	b.Receive(tier.now, Message{Kind: Ping, From: "g002", Instance: a.cfg.Instance, Addr: "g002"})
	if !a.View().Superseded || b.View().Superseded || a.View().Stats.DuplicateNames != 1 || len(a.Tick(tier.now+time.Second)) > 0 {
		t.Errorf("silenced: %v and %v", a.View().Superseded, b.View().Superseded)
	}
}

func TestClockJumpsCauseNoDeath(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		tier := newTier(6, 3)
		tier.mustAgree(t, 10*time.Second, "join")
		x := tier.nodes["g001"]
		x.Tick(tier.now + jump)
		for _, y := range x.byName {
			if y.Status != Alive {
				t.Errorf("a jump of %v: %s is held for %v", jump, y.ID, y.Status)
			}
		}
	}
}

// A suspicion does not run on while we are paused: the suspect could not be heard.
func TestOwnPauseExtendsDeadlines(t *testing.T) {
	m := New(Config{ID: "a", Addr: "a"}, 0)
	m.apply(Update{ID: "b", Addr: "b"})
	m.apply(Update{ID: "b", Addr: "b", Status: Suspect})
	for _, c := range []struct {
		at   Time
		want Status
	}{{50 * ms, Suspect}, {10 * time.Second, Suspect}, {11 * time.Second, Suspect}, {13 * time.Second, Suspect}} {
		if m.Tick(c.at); m.members["b"].Status != c.want {
			t.Errorf("at %v it is held for %v", c.at, m.members["b"].Status)
		}
	}
	for at := 13 * time.Second; at < 16*time.Second; at += tick {
		m.Tick(at)
	}
	if got := m.members["b"].Status; got != Dead {
		t.Errorf("3 s later, with no pause, it is held for %v", got)
	}
}

func TestJoinStorm(t *testing.T) {
	tier := newTier(4, 3)
	tier.mustAgree(t, 10*time.Second, "join")
	for i := range 60 {
		tier.start(fmt.Sprintf("s%03d", i), 1)
	}
	tier.mustAgree(t, 15*time.Second, "join storm")
}

func TestLeavingIsNoDeath(t *testing.T) {
	tier := newTier(7, 4)
	tier.mustAgree(t, 10*time.Second, "join")
	x := tier.nodes["g003"]
	tier.carry(x, x.AnnounceLeaving(tier.now))
	tier.run(tier.now + time.Second)
	if v := tier.nodes["g000"].View(); v.Peers[2].Status != Leaving || v.ActiveGateways != 4 {
		t.Errorf("one leaves: %+v, %d share", v.Peers[2], v.ActiveGateways)
	}
	tier.carry(x, x.AnnounceLeft(tier.now))
	x.down = true
	tier.run(tier.now + 5*time.Second)
	if v := tier.nodes["g000"].View(); v.ActiveGateways != 3 || v.Stats.Deaths != 0 {
		t.Errorf("one has left: %d share, stats %+v", v.ActiveGateways, v.Stats)
	}
	tier.run(tier.now + time.Minute)
	if err := tier.agree(); err != nil {
		t.Error(err)
	}
}

// Updates merge to one state in whatever order and however often they come.
func TestUpdatesMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		update := rapid.Custom(func(t *rapid.T) Update {
			return Update{ID: "b", Addr: "b", Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"), Status: Status(rapid.IntRange(0, 4).Draw(t, "status"))}
		})
		all := rapid.SliceOfN(update, 1, 8).Draw(t, "updates")
		play := func(list []Update) Update {
			m := New(Config{ID: "a", Addr: "a"}, 0)
			m.apply(Update{ID: "b", Addr: "b"})
			for _, u := range list {
				m.receiveUpdate("c", u)
			}
			return m.members["b"].Update
		}
		want := play(all)
		again := rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "order")
		if got := play(again); got != want {
			t.Fatalf("%+v, in another order %+v", want, got)
		}
	})
}

// An accusation may be older than what we have heard of the accused since: it then runs from
// what was heard, and of two accusations the younger holds. On nine programs under loss, an
// accusation half a second old when a pause began made a pause of 1.8 s a death to all.
func TestSuspicionCountsFromLastHeard(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard Time // of b itself
		first time.Duration
		then  time.Duration // age of a second accusation; 0: none
		dead  Time
	}{
		{"not heard since", 100 * ms, 800 * ms, 0, 1000*ms + 1500*ms},
		{"heard since", 900 * ms, 800 * ms, 0, 900*ms + 2300*ms},
		{"accused again later", 100 * ms, 800 * ms, 200 * ms, 1000*ms + 2100*ms},
		{"accused again earlier", 100 * ms, 200 * ms, 800 * ms, 1000*ms + 2100*ms},
	} {
		m := New(Config{ID: "a", Addr: "a"}, 0)
		m.apply(Update{ID: "b", Addr: "b"})
		var died Time
		for at := Time(0); at < 5*time.Second && died == 0; at += tick {
			if m.Tick(at); at == c.heard {
				m.Receive(at, Message{Kind: Ping, From: "b", Addr: "b", Digest: m.digest})
			}
			if at == 1000*ms {
				for _, age := range []time.Duration{c.first, c.then} {
					if age > 0 {
						m.receiveUpdate("c", Update{ID: "b", Addr: "b", Status: Suspect, SuspicionAge: age})
					}
				}
			}
			if m.members["b"].Status == Dead {
				died = at
			}
		}
		if died < c.dead || died > c.dead+2*tick {
			t.Errorf("%s: dead at %v, want %v", c.name, died, c.dead)
		}
	}
}
