package membership

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// recorder hashes the outputs of machines: numbers and strings in a fixed order, without names of Go
// types or fields, so that the hashes remain valid after renames.
type recorder struct {
	hash.Hash64
}

func (r recorder) numbers(list ...uint64) {
	for _, n := range list {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], n)
		r.Write(b[:])
	}
}

func (r recorder) text(s string) {
	r.numbers(uint64(len(s)))
	r.Write([]byte(s))
}

func (r recorder) update(u Update) {
	r.text(u.ID)
	r.text(u.Addr)
	r.numbers(u.Incarnation, uint64(u.Status), uint64(u.SuspicionAge), uint64(u.Heartbeat))
}

func (r recorder) outgoing(s Outgoing) {
	r.text(s.To)
	r.text(s.From)
	r.text(s.Addr)
	r.text(s.Subject)
	r.numbers(uint64(s.Kind), s.Instance, uint64(s.Seq), s.Epoch, s.Digest, uint64(s.Heartbeat), uint64(len(s.Updates)))
	for _, u := range s.Updates {
		r.update(u)
	}
}

func (r recorder) flags(list ...bool) {
	for _, b := range list {
		n := uint64(0)
		if b {
			n = 1
		}
		r.numbers(n)
	}
}

func (r recorder) view(v View) {
	r.numbers(v.Epoch, v.Digest, uint64(v.ActiveGateways), uint64(v.LocalHealth), uint64(len(v.Peers)))
	r.update(v.Self)
	r.flags(v.Minority, v.Superseded)
	for _, g := range v.Peers {
		r.text(g.ID)
		r.text(g.Addr)
		r.text(g.Status.String())
		r.numbers(g.Incarnation, uint64(g.Status), uint64(g.StatusSince), uint64(g.LastHeard), uint64(g.RTT), uint64(g.SuspectedBy), uint64(g.SuspicionExpiresIn))
		r.flags(g.OneWay, g.Stable)
	}
	s := v.Stats
	r.numbers(s.Syncs, s.Probes, s.FailedProbes, s.IndirectAcks, s.Suspicions, s.Refutations, s.Deaths, s.Pauses, s.DuplicateNames)
}

// inFlightMessage is a message on the network of a randomTier.
type inFlightMessage struct {
	at  Time
	to  string
	msg Message
}

// randomTier is a tier under random faults from one seed.
type randomTier struct {
	recorder
	rng         *rand.Rand
	now         Time
	machines    map[string]*Machine
	addrs       []string
	pausedUntil map[string]Time // by address
	inFlight    []inFlightMessage
	blockedLink [2]string // sender and receiver whose messages are lost
}

func (d *randomTier) start(addr, id string, generation uint64) {
	cfg := Config{
		ID: id, Addr: addr, Instance: generation<<32 | uint64(len(d.addrs)), Incarnation: generation, Seed: d.rng.Uint64(),
		JoinAddrs: []string{"g0:1", "g1:1"}, ExpectedSize: d.rng.IntN(2) * 5, ProtocolV1Only: d.rng.IntN(5) == 0, ReapAfter: 20 * time.Second,
	}
	if d.rng.IntN(2) == 0 {
		cfg.CountFitting = func(m Message) int { return min(len(m.Updates), 3) }
	}
	if d.machines[addr] == nil {
		d.addrs = append(d.addrs, addr)
	}
	d.machines[addr] = New(cfg, d.now)
	d.view(d.machines[addr].View())
}

// transmit records the messages of a machine and puts them on the network, with loss, delay and
// duplication.
func (d *randomTier) transmit(from string, out []Outgoing) {
	for _, s := range out {
		d.outgoing(s)
		if d.machines[s.To] == nil || d.rng.IntN(8) == 0 || d.blockedLink == [2]string{from, s.To} {
			continue
		}
		msg := s.Message
		msg.Updates = slices.Clone(msg.Updates)
		for range 1 + d.rng.IntN(12)/11 {
			d.inFlight = append(d.inFlight, inFlightMessage{d.now + time.Duration(d.rng.IntN(25))*time.Millisecond, s.To, msg})
		}
	}
}

// step advances the tier by 20 ms: each machine receives the messages that have arrived, then ticks.
func (d *randomTier) step() {
	d.now += 20 * time.Millisecond
	for _, addr := range d.addrs {
		m := d.machines[addr]
		if m == nil || d.now < d.pausedUntil[addr] {
			continue
		}
		inFlight := d.inFlight
		d.inFlight = nil
		for _, p := range inFlight {
			switch {
			case p.to != addr || p.at > d.now:
				d.inFlight = append(d.inFlight, p)
			case d.rng.IntN(200) == 0:
				d.transmit(addr, m.ReceiveStale(d.now, p.msg))
			default:
				d.transmit(addr, m.Receive(d.now, p.msg))
			}
		}
		d.transmit(addr, m.Tick(d.now))
		d.flags(m.Changed())
	}
}

// injectFault starts or ends a random fault, announces a departure, stops or restarts a machine, or
// starts a second process with the same name.
func (d *randomTier) injectFault() {
	addr := d.addrs[d.rng.IntN(len(d.addrs))]
	other := d.addrs[d.rng.IntN(len(d.addrs))]
	m := d.machines[addr]
	switch d.rng.IntN(7) {
	case 0, 1:
		d.pausedUntil[addr] = d.now + time.Duration(d.rng.IntN(6000))*time.Millisecond
	case 2:
		d.blockedLink = [2]string{addr, other}
	case 3:
		d.blockedLink = [2]string{}
	case 4:
		if m != nil {
			d.transmit(addr, m.AnnounceLeaving(d.now))
		}
	case 5:
		if m != nil {
			d.transmit(addr, m.AnnounceLeft(d.now))
			d.machines[addr] = nil
		} else {
			d.start(addr, addr[:2], 2+d.rng.Uint64N(4))
		}
	case 6:
		if len(d.addrs) < 12 {
			name := fmt.Sprintf("g%d", d.rng.IntN(9))
			d.start(fmt.Sprintf("%s:%d", name, 2+len(d.addrs)), name, 1+d.rng.Uint64N(3))
		}
	}
}

// TestGoldenRandomTiers compares messages and views under random faults with recorded hashes.
func TestGoldenRandomTiers(t *testing.T) {
	var maxStats Stats
	for seed, want := range [...]uint64{
		0x866154c189e3de1, 0xce6d50dd51d7b598, 0xc6a9f29113c4c511, 0xca2619445de9659e,
		0x4f72b299d59d58ed, 0x24e53511e5f7cbbb, 0xc73bf447832226ed, 0x53d6fa2900db87f1,
	} {
		d := &randomTier{
			recorder: recorder{fnv.New64a()}, rng: rand.New(rand.NewPCG(uint64(seed), 45)),
			machines: map[string]*Machine{}, pausedUntil: map[string]Time{},
		}
		for i := range 6 {
			d.start(fmt.Sprintf("g%d:1", i), fmt.Sprintf("g%d", i), 1)
		}
		for n := range 2000 {
			if d.step(); n%50 == 49 {
				for _, addr := range d.addrs {
					if m := d.machines[addr]; m != nil {
						s := m.View().Stats
						d.view(m.View())
						maxStats.Syncs, maxStats.IndirectAcks, maxStats.Refutations = max(maxStats.Syncs, s.Syncs), max(maxStats.IndirectAcks, s.IndirectAcks), max(maxStats.Refutations, s.Refutations)
						maxStats.Deaths, maxStats.Pauses, maxStats.DuplicateNames = max(maxStats.Deaths, s.Deaths), max(maxStats.Pauses, s.Pauses), max(maxStats.DuplicateNames, s.DuplicateNames)
					}
				}
				d.injectFault()
			}
		}
		if got := d.Sum64(); got != want {
			t.Errorf("seed %d: %#x, want %#x", seed, got, want)
		}
	}
	if maxStats.Syncs == 0 || maxStats.IndirectAcks == 0 || maxStats.Refutations == 0 || maxStats.Deaths == 0 || maxStats.Pauses == 0 || maxStats.DuplicateNames == 0 {
		t.Errorf("an event type never occurred in the random tiers: %+v", maxStats)
	}
}
