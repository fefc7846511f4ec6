// Package membersim plays gateways of a tier in virtual time, on messages that may be lost or
// late, to measure decide/membership at sizes that no one machine runs as processes.
package membersim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wellgw/decide/membership"
)

// tickEvery is how often a gateway's machine is asked for what is due.
const tickEvery = 20 * time.Millisecond

// Tier is gateways on a network.
type Tier struct {
	Now      time.Duration
	Messages int           // sent since the start
	Bytes    int           // of them, if Size tells
	Spent    time.Duration // by the machines themselves, without what plays them
	Size     func(membership.Message) int
	Fits     func(membership.Message) int // updates that a message holds; nil: all
	rng      *rand.Rand
	agenda   agenda
	seq      int
	nodes    map[string]*node
	Names    []string
	Lost     func(from, to string) bool // nil: none is
	Way      time.Duration              // longest of a message
}

type node struct {
	*membership.Machine
	id    string
	life  uint64
	down  bool
	knows map[string]time.Duration // since when others are dead to it
}

type item struct {
	at   time.Duration
	seq  int
	to   string
	life uint64
	msg  *membership.Message
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any     { x := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return x }

// New returns a tier of n gateways that have just started.
func New(seed uint64, n int) *Tier {
	t := &Tier{rng: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, Way: 2 * time.Millisecond}
	for i := range n {
		t.Start(fmt.Sprintf("g%03d", i), 1)
	}
	return t
}

// Start begins a gateway's process; all join by the first two.
func (t *Tier) Start(id string, life uint64) {
	x := &node{id: id, life: life, knows: map[string]time.Duration{}}
	x.Machine = membership.New(membership.Config{ID: id, Addr: id, Instance: life, Incarnation: life, Seed: t.rng.Uint64(), JoinAddrs: []string{"g000", "g001"}, CountFitting: t.Fits}, t.Now)
	if t.nodes[id] == nil {
		t.Names = append(t.Names, id)
	}
	t.nodes[id] = x
	t.put(item{at: t.Now + time.Duration(t.rng.Int64N(int64(tickEvery))), to: id, life: life})
}

// Kill ends a gateway's process at once.
func (t *Tier) Kill(id string) { t.nodes[id].down = true }

func (t *Tier) put(i item) {
	t.seq++
	i.seq = t.seq
	heap.Push(&t.agenda, i)
}

func (t *Tier) carry(from *node, out []membership.Outgoing) {
	for _, s := range out {
		t.Messages++
		if t.Size != nil {
			t.Bytes += t.Size(s.Message)
		}
		if t.nodes[s.To] == nil || t.Lost != nil && t.Lost(from.id, s.To) {
			continue
		}
		msg := s.Message
		msg.Updates = slices.Clone(msg.Updates)
		if t.Fits != nil {
			msg.Updates = msg.Updates[:t.Fits(msg)]
		}
		t.put(item{at: t.Now + time.Duration(t.rng.Int64N(int64(t.Way))), to: s.To, msg: &msg})
	}
}

// Run plays for a span.
func (t *Tier) Run(span time.Duration) {
	until := t.Now + span
	for len(t.agenda) > 0 && t.agenda[0].at <= until {
		i := heap.Pop(&t.agenda).(item)
		t.Now = i.at
		x := t.nodes[i.to]
		switch {
		case x.down || i.msg == nil && i.life != x.life:
			continue
		case i.msg != nil:
			t.carry(x, t.timed(func() []membership.Outgoing { return x.Receive(t.Now, *i.msg) }))
		default:
			t.carry(x, t.timed(func() []membership.Outgoing { return x.Tick(t.Now) }))
			t.put(item{at: t.Now + tickEvery, to: i.to, life: i.life})
		}
		if x.Changed() {
			for _, g := range x.View().Peers {
				if _, known := x.knows[g.ID]; g.Status >= membership.Dead && !known {
					x.knows[g.ID] = t.Now
				} else if g.Status < membership.Dead {
					delete(x.knows, g.ID)
				}
			}
		}
	}
	t.Now = until
}

func (t *Tier) timed(work func() []membership.Outgoing) []membership.Outgoing {
	begun := time.Now()
	out := work()
	t.Spent += time.Since(begun)
	return out
}

// Knows returns when each gateway that runs came to hold one for dead; false if one does not.
func (t *Tier) Knows(id string) (all []time.Duration, everybody bool) {
	everybody = true
	for _, name := range t.Names {
		if x := t.nodes[name]; !x.down && name != id {
			at, known := x.knows[id]
			if everybody = everybody && known; known {
				all = append(all, at)
			}
		}
	}
	return all, everybody
}

// Agree tells whether all that run hold one view, with all that run alive in it.
func (t *Tier) Agree() bool {
	var first *membership.View
	up := 0
	for _, name := range t.Names {
		if !t.nodes[name].down {
			up++
		}
	}
	for _, name := range t.Names {
		x := t.nodes[name]
		if x.down {
			continue
		}
		v := x.View()
		if first == nil {
			first = &v
		}
		alive := 1
		for _, g := range v.Peers {
			if g.Status == membership.Alive {
				alive++
			}
		}
		if v.Digest != first.Digest || v.Epoch != first.Epoch || alive < up {
			return false
		}
	}
	return true
}

// Until plays until all agree, for so long at most, and returns how long it took.
func (t *Tier) Until(most time.Duration) (time.Duration, bool) {
	begun := t.Now
	for t.Now-begun < most {
		if t.Run(100 * time.Millisecond); t.Agree() {
			return t.Now - begun, true
		}
	}
	return most, false
}
