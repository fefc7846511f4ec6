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

// tier simulates gateways on a network in virtual time.
type tier struct {
	now           Time
	queue         deliveries
	lastOrder     int
	rng           *rand.Rand
	nodes         map[string]*node
	names         []string
	drops         func(from, to string) bool // reports whether a message is lost
	sent          int
	delayNext     time.Duration // extra latency of the next message
	duplicateNext bool          // whether the next message is delivered twice
}

type node struct {
	*Machine
	id          string
	generation  uint64
	pausedUntil Time
	down        bool
	inbox       []Message // received while paused
	deadSince   map[string]Time
}

type delivery struct {
	at         Time
	order      int
	to         string
	generation uint64 // of the process whose tick this is; 0 for a message
	msg        *Message
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
	t := &tier{rng: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, drops: func(string, string) bool { return false }}
	for i := range n {
		t.start(fmt.Sprintf("g%03d", i), 1)
	}
	return t
}

// start starts a process; its address is its name, and it joins through the first two gateways.
func (t *tier) start(id string, generation uint64) *node {
	x := &node{id: id, generation: generation, deadSince: map[string]Time{}}
	x.Machine = New(Config{ID: id, Addr: id, Instance: generation<<32 | uint64(len(t.names)), Incarnation: generation, Seed: t.rng.Uint64(), JoinAddrs: []string{"g000", "g001"}}, t.now)
	if t.nodes[id] == nil {
		t.names = append(t.names, id)
	}
	t.nodes[id] = x
	t.schedule(t.now+time.Duration(t.rng.Int64N(int64(tick))), id, generation, nil)
	return x
}

func (t *tier) schedule(at Time, to string, generation uint64, msg *Message) {
	t.lastOrder++
	heap.Push(&t.queue, delivery{at, t.lastOrder, to, generation, msg})
}

func (t *tier) transmit(from *node, out []Outgoing) {
	for _, s := range out {
		t.sent++
		if t.nodes[s.To] == nil || t.drops(from.id, s.To) {
			continue
		}
		msg := s.Message
		msg.Updates = slices.Clone(msg.Updates)
		latency := time.Duration(t.rng.Int64N(int64(2 * ms)))
		t.schedule(t.now+latency+t.delayNext, s.To, 0, &msg)
		if t.duplicateNext {
			t.schedule(t.now+latency+ms, s.To, 0, &msg)
		}
		t.delayNext, t.duplicateNext = 0, false
	}
}

// run advances the tier to a time.
func (t *tier) run(until Time) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		l := heap.Pop(&t.queue).(delivery)
		t.now = l.at
		x := t.nodes[l.to]
		switch {
		case x.down:
		case l.msg == nil && l.generation != x.generation: // a tick of an earlier process
		case t.now < x.pausedUntil:
			if l.msg != nil {
				x.inbox = append(x.inbox, *l.msg)
			} else {
				t.schedule(x.pausedUntil, l.to, l.generation, nil)
			}
		case l.msg != nil:
			t.transmit(x, x.Receive(t.now, *l.msg))
		default:
			t.transmit(x, x.Tick(t.now))
			for _, msg := range x.inbox {
				t.transmit(x, x.Receive(t.now, msg))
			}
			x.inbox = nil
			t.schedule(t.now+tick, l.to, l.generation, nil)
		}
		for _, g := range x.byName {
			if _, known := x.deadSince[g.ID]; g.Status >= Dead && !known {
				x.deadSince[g.ID] = t.now
			} else if g.Status < Dead && known {
				delete(x.deadSince, g.ID)
			}
		}
	}
	t.now = until
}

// checkAgreement returns an error unless all running gateways have the same view, with all of them alive.
func (t *tier) checkAgreement() error {
	var first *node
	for _, id := range t.names {
		x := t.nodes[id]
		if x.down {
			continue
		}
		first = cmp.Or(first, x)
		if x.digest != first.digest || x.epoch != first.epoch {
			return fmt.Errorf("views of %s and %s differ: %d/%x and %d/%x", first.id, id, first.epoch, first.digest, x.epoch, x.digest)
		}
		for _, other := range t.names {
			if y := x.members[other]; other != id && !t.nodes[other].down && (y == nil || y.Status != Alive) {
				return fmt.Errorf("%s does not have %s as alive", id, other)
			}
		}
	}
	return nil
}

func (t *tier) requireAgreement(tt *testing.T, within time.Duration, phase string) {
	tt.Helper()
	var err error
	for end := t.now + within; t.now < end; {
		t.run(t.now + 100*ms)
		if err = t.checkAgreement(); err == nil {
			return
		}
	}
	tt.Fatalf("%s: no agreement within %v: %v", phase, within, err)
}

func TestDeathIsDetectedByAllMembers(t *testing.T) {
	var detectionTimes []time.Duration
	for seed := range uint64(40) {
		tier := newTier(seed, 9)
		tier.requireAgreement(t, 10*time.Second, "join")
		tier.run(tier.now + time.Duration(tier.rng.Int64N(int64(time.Second))))
		killed := tier.now
		tier.nodes["g004"].down = true
		tier.run(killed + 6*time.Second)
		for _, id := range tier.names {
			if x := tier.nodes[id]; !x.down {
				at, known := x.deadSince["g004"]
				if !known {
					t.Fatalf("seed %d: %s did not detect the death", seed, id)
				}
				detectionTimes = append(detectionTimes, at-killed)
			}
		}
	}
	slices.Sort(detectionTimes)
	if p99 := detectionTimes[len(detectionTimes)*99/100]; p99 > 3*time.Second || detectionTimes[0] < 2*time.Second {
		t.Errorf("death detected after %v to %v, p99 %v", detectionTimes[0], detectionTimes[len(detectionTimes)-1], p99)
	}
}

// falseDeaths lists the running gateways that another running gateway has declared dead.
func (t *tier) falseDeaths() (out []string) {
	for _, id := range t.names {
		for other, at := range t.nodes[id].deadSince {
			if !t.nodes[id].down && !t.nodes[other].down {
				out = append(out, fmt.Sprintf("%s declared dead by %s at %v", other, id, at))
			}
		}
	}
	return out
}

func TestFaultsCauseNoFalseDeath(t *testing.T) {
	for seed := range uint64(25) {
		tier := newTier(seed, 9)
		tier.requireAgreement(t, 10*time.Second, "join")
		faults := rand.New(rand.NewPCG(seed, 77))
		blocked := map[string]bool{}
		tier.drops = func(from, to string) bool { return blocked[from+to] || faults.Float64() < 0.3 }
		for range 12 { // in each round, block one link and pause one gateway for up to 2 s
			clear(blocked)
			a, b := tier.names[faults.IntN(9)], tier.names[faults.IntN(9)]
			blocked[a+b] = true
			x := tier.nodes[tier.names[faults.IntN(9)]]
			x.pausedUntil = max(x.pausedUntil, tier.now+1500*ms+time.Duration(faults.Int64N(int64(500*ms))))
			tier.run(tier.now + 2500*ms)
			if bad := tier.falseDeaths(); len(bad) > 0 {
				t.Fatalf("seed %d: false deaths: %v", seed, bad)
			}
		}
		tier.drops = func(string, string) bool { return false }
		tier.requireAgreement(t, 5*time.Second, fmt.Sprint("seed ", seed, ", after the last fault"))
	}
}

func TestLongPauseCausesDeathAndRejoin(t *testing.T) {
	tier := newTier(3, 5)
	tier.requireAgreement(t, 10*time.Second, "join")
	x := tier.nodes["g002"]
	x.pausedUntil = tier.now + 30*time.Second
	tier.run(tier.now + 10*time.Second)
	if got := tier.nodes["g000"].members["g002"].Status; got != Dead {
		t.Fatalf("status %v after 10 s without messages, want dead", got)
	}
	before := x.self.Incarnation
	tier.run(x.pausedUntil + 50*ms)
	for _, y := range x.byName { // no suspicion may result from its own pause
		if y.Status != Alive {
			t.Errorf("after its own pause it has %s as %v, want alive", y.ID, y.Status)
		}
	}
	tier.requireAgreement(t, 5*time.Second, "after the pause")
	if x.self.Incarnation <= before || x.View().Stats.Pauses == 0 {
		t.Errorf("incarnation %d after the pause, %d before; stats %+v", x.self.Incarnation, before, x.View().Stats)
	}
}

func TestPartitionMinorityAndMerge(t *testing.T) {
	for _, c := range []struct {
		leftSize                    int
		leftMinority, rightMinority bool
	}{{2, true, false}, {3, true, true}} {
		n := 2 * c.leftSize
		if c.leftSize == 2 {
			n = 5
		}
		tier := newTier(uint64(c.leftSize), n)
		tier.requireAgreement(t, 10*time.Second, "join")
		side := func(id string) bool { return slices.Index(tier.names, id) < c.leftSize }
		tier.drops = func(a, b string) bool { return side(a) != side(b) }
		tier.run(tier.now + 8*time.Second)
		for i, id := range tier.names {
			v := tier.nodes[id].View()
			if v.Minority != (i < c.leftSize && c.leftMinority || i >= c.leftSize && c.rightMinority) {
				t.Errorf("partition of %d of %d: %s reports minority %v", c.leftSize, n, id, v.Minority)
			}
			if v.Minority && v.ActiveGateways != n {
				t.Errorf("%s in a minority counts %d active gateways, want %d", id, v.ActiveGateways, n)
			}
		}
		joined := tier.start("g900", 1) // changes the view of one side only
		tier.run(tier.now + 3*time.Second)
		epochBefore := tier.nodes["g000"].epoch
		tier.drops = func(string, string) bool { return false }
		tier.requireAgreement(t, 5*time.Second, "after the heal")
		if joined.epoch <= epochBefore {
			t.Errorf("epoch %d after the merge, %d before", joined.epoch, epochBefore)
		}
	}
}

// TestPartitionBridgedByOneMember checks that no gateway is declared dead while one member reaches
// both sides of a partition.
func TestPartitionBridgedByOneMember(t *testing.T) {
	tier := newTier(5, 5)
	tier.requireAgreement(t, 10*time.Second, "join")
	side := func(id string) int { return slices.Index(tier.names, id) % 2 }
	tier.drops = func(a, b string) bool { return a != "g004" && b != "g004" && side(a) != side(b) }
	tier.run(tier.now + 30*time.Second)
	if bad := tier.falseDeaths(); len(bad) > 0 {
		t.Errorf("false deaths: %v", bad)
	}
}

func TestOneWayPartitionIsDetected(t *testing.T) {
	tier := newTier(8, 3)
	tier.requireAgreement(t, 10*time.Second, "join")
	tier.drops = func(a, b string) bool { return a == "g000" && b == "g001" }
	tier.run(tier.now + 20*time.Second)
	if bad := tier.falseDeaths(); len(bad) > 0 {
		t.Errorf("false deaths: %v", bad)
	}
	for _, g := range tier.nodes["g000"].View().Peers {
		if g.OneWay != (g.ID == "g001") {
			t.Errorf("%s: OneWay is %v", g.ID, g.OneWay)
		}
	}
}

func TestRestartFasterThanDetection(t *testing.T) {
	tier := newTier(11, 4)
	tier.requireAgreement(t, 10*time.Second, "join")
	old := tier.nodes["g003"]
	tier.nodes["g003"].down = true
	tier.run(tier.now + 300*ms)
	tier.start("g003", 2)
	tier.run(tier.now + 200*ms)
	tier.transmit(old, []Outgoing{{To: "g000", Message: Message{Kind: Ack, From: "g003", Instance: old.cfg.Instance, Addr: "g003", Updates: []Update{old.self}}}})
	tier.requireAgreement(t, 5*time.Second, "after the restart")
	if got := tier.nodes["g000"].members["g003"].Incarnation; got < 2 {
		t.Errorf("incarnation %d after the restart, want at least 2", got)
	}
}

// TestIncarnationRecoversFromTierAfterRestart checks that a gateway restarted with a low incarnation,
// as when its stored one is lost and its clock went back, exceeds the one that the tier knows.
func TestIncarnationRecoversFromTierAfterRestart(t *testing.T) {
	tier := newTier(12, 4)
	tier.nodes["g003"].self.Incarnation = 500
	tier.requireAgreement(t, 10*time.Second, "join")
	tier.nodes["g003"].down = true
	tier.run(tier.now + 6*time.Second)
	tier.start("g003", 3)
	tier.requireAgreement(t, 5*time.Second, "after the restart")
	if got := tier.nodes["g001"].members["g003"].Incarnation; got <= 500 {
		t.Errorf("incarnation %d after the restart, want above 500", got)
	}
}

func TestDuplicateNameSupersedesLowerInstance(t *testing.T) {
	tier := newTier(2, 3)
	tier.requireAgreement(t, 10*time.Second, "join")
	a, b := tier.nodes["g002"], New(Config{ID: "g002", Addr: "x", Instance: 1<<60 + 1, Incarnation: 1}, 0)
	out := b.Tick(tier.now)
	_ = out
	msg := Message{Kind: Ping, From: "g002", Instance: b.cfg.Instance, Addr: "x"}
	a.Receive(tier.now, msg)
	b.Receive(tier.now, Message{Kind: Ping, From: "g002", Instance: a.cfg.Instance, Addr: "g002"})
	if !a.View().Superseded || b.View().Superseded || a.View().Stats.DuplicateNames != 1 || len(a.Tick(tier.now+time.Second)) > 0 {
		t.Errorf("superseded: %v and %v, want true and false", a.View().Superseded, b.View().Superseded)
	}
}

func TestClockJumpsCauseNoDeath(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		tier := newTier(6, 3)
		tier.requireAgreement(t, 10*time.Second, "join")
		x := tier.nodes["g001"]
		x.Tick(tier.now + jump)
		for _, y := range x.byName {
			if y.Status != Alive {
				t.Errorf("clock jump of %v: status of %s is %v, want alive", jump, y.ID, y.Status)
			}
		}
	}
}

// TestOwnPauseExtendsDeadlines checks that a pause of this process does not count towards a suspicion,
// since no message from the suspect could be received during it.
func TestOwnPauseExtendsDeadlines(t *testing.T) {
	m := New(Config{ID: "a", Addr: "a"}, 0)
	m.applyUpdate(Update{ID: "b", Addr: "b"})
	m.applyUpdate(Update{ID: "b", Addr: "b", Status: Suspect})
	for _, c := range []struct {
		at   Time
		want Status
	}{{50 * ms, Suspect}, {10 * time.Second, Suspect}, {11 * time.Second, Suspect}, {13 * time.Second, Suspect}} {
		if m.Tick(c.at); m.members["b"].Status != c.want {
			t.Errorf("status at %v is %v", c.at, m.members["b"].Status)
		}
	}
	for at := 13 * time.Second; at < 16*time.Second; at += tick {
		m.Tick(at)
	}
	if got := m.members["b"].Status; got != Dead {
		t.Errorf("status %v after 3 s without a pause, want dead", got)
	}
}

func TestJoinStorm(t *testing.T) {
	tier := newTier(4, 3)
	tier.requireAgreement(t, 10*time.Second, "join")
	for i := range 60 {
		tier.start(fmt.Sprintf("s%03d", i), 1)
	}
	tier.requireAgreement(t, 15*time.Second, "join storm")
}

func TestGracefulLeaveIsNotDeath(t *testing.T) {
	tier := newTier(7, 4)
	tier.requireAgreement(t, 10*time.Second, "join")
	x := tier.nodes["g003"]
	tier.transmit(x, x.AnnounceLeaving(tier.now))
	tier.run(tier.now + time.Second)
	if v := tier.nodes["g000"].View(); v.Peers[2].Status != Leaving || v.ActiveGateways != 4 {
		t.Errorf("while leaving: %+v, %d active gateways", v.Peers[2], v.ActiveGateways)
	}
	tier.transmit(x, x.AnnounceLeft(tier.now))
	x.down = true
	tier.run(tier.now + 5*time.Second)
	if v := tier.nodes["g000"].View(); v.ActiveGateways != 3 || v.Stats.Deaths != 0 {
		t.Errorf("after leaving: %d active gateways, stats %+v", v.ActiveGateways, v.Stats)
	}
	tier.run(tier.now + time.Minute)
	if err := tier.checkAgreement(); err != nil {
		t.Error(err)
	}
}

// TestUpdatesMergeInAnyOrder checks that updates result in the same state in any order and with
// duplicates.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		update := rapid.Custom(func(t *rapid.T) Update {
			return Update{ID: "b", Addr: "b", Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"), Status: Status(rapid.IntRange(0, 4).Draw(t, "status"))}
		})
		all := rapid.SliceOfN(update, 1, 8).Draw(t, "updates")
		applyAll := func(list []Update) Update {
			m := New(Config{ID: "a", Addr: "a"}, 0)
			m.applyUpdate(Update{ID: "b", Addr: "b"})
			for _, u := range list {
				m.receiveUpdate("c", u)
			}
			return m.members["b"].Update
		}
		want := applyAll(all)
		permuted := rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "order")
		if got := applyAll(permuted); got != want {
			t.Fatalf("%+v; in another order %+v", want, got)
		}
	})
}

// TestSuspicionStartsAtLastMessage checks the start of the suspicion timeout. A message from the
// suspect that is later than the unanswered probe restarts the timeout, and of two suspicions the one
// with the later probe takes precedence. Without these rules, in a run of nine processes under message
// loss, a suspicion that was 0.5 s old at the start of a 1.8 s pause led all of them to declare the
// paused one dead.
func TestSuspicionStartsAtLastMessage(t *testing.T) {
	for _, c := range []struct {
		name      string
		messageAt Time // of the latest message from b
		firstAge  time.Duration
		secondAge time.Duration // age of a second suspicion; 0: none
		deadAt    Time
	}{
		{"no later message", 100 * ms, 800 * ms, 0, 1000*ms + 1500*ms},
		{"later message", 900 * ms, 800 * ms, 0, 900*ms + 2300*ms},
		{"second suspicion with a later probe", 100 * ms, 800 * ms, 200 * ms, 1000*ms + 2100*ms},
		{"second suspicion with an earlier probe", 100 * ms, 200 * ms, 800 * ms, 1000*ms + 2100*ms},
	} {
		m := New(Config{ID: "a", Addr: "a"}, 0)
		m.applyUpdate(Update{ID: "b", Addr: "b"})
		var died Time
		for at := Time(0); at < 5*time.Second && died == 0; at += tick {
			if m.Tick(at); at == c.messageAt {
				m.Receive(at, Message{Kind: Ping, From: "b", Addr: "b", Digest: m.digest})
			}
			if at == 1000*ms {
				for _, age := range []time.Duration{c.firstAge, c.secondAge} {
					if age > 0 {
						m.receiveUpdate("c", Update{ID: "b", Addr: "b", Status: Suspect, SuspicionAge: age})
					}
				}
			}
			if m.members["b"].Status == Dead {
				died = at
			}
		}
		if died < c.deadAt || died > c.deadAt+2*tick {
			t.Errorf("%s: declared dead at %v, want %v", c.name, died, c.deadAt)
		}
	}
}
