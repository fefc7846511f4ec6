// Package ejection decides what the module is shown of engines that operators
// have taken out by hand: a banned engine is draining whatever the list says, and
// one that comes back is cold from that moment.
//
// It does no I/O and reads no clock: times come in as arguments, on the module's
// clock.
package ejection

import (
	"slices"

	"wellgw/routing"
)

// MaxListed bounds the names remembered as once listed; the oldest are forgotten
// first. Engines come under ever new names, so the set would otherwise grow.
const MaxListed = 1 << 16

// Set holds the names ever listed, those out by hand, and when each of those
// that came back did so. The zero value is not ready; use New.
type Set struct {
	listed map[string]bool
	order  []string // of listed, oldest first
	out    map[string]bool
	outAt  map[string]routing.Time // when each ejection in force began
	back   map[string]ret          // ejections that ended, while they may still count
}

// ret is the end of an ejection.
type ret struct{ out, at routing.Time } // when it began and ended

// New returns an empty set of ejections.
func New() *Set {
	return &Set{listed: map[string]bool{}, out: map[string]bool{}, outAt: map[string]routing.Time{}, back: map[string]ret{}}
}

// See records that a name is on a list.
func (b *Set) See(name string) {
	if b.listed[name] {
		return
	}
	if len(b.order) >= MaxListed {
		delete(b.listed, b.order[0])
		b.order = b.order[1:]
	}
	b.listed[name] = true
	b.order = append(b.order, name)
}

// Listed tells whether a name has been on a list.
func (b *Set) Listed(name string) bool { return b.listed[name] }

// Out tells whether an engine is out by hand.
func (b *Set) Out(name string) bool { return b.out[name] }

// Names returns the names out by hand, in order.
func (b *Set) Names() []string {
	names := make([]string, 0, len(b.out))
	for n := range b.out {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Change is what a call or a new set of ejections did.
type Change struct {
	Out  []string // now out, and not before
	Back []string // back, and out before
}

// Call takes one operator's call: out for maint-on, else maint-off. It refuses a
// name that was never listed, nor out. A call that changes nothing is accepted.
func (b *Set) Call(name string, out bool, now routing.Time) (Change, bool) {
	if !b.listed[name] && !b.out[name] {
		return Change{}, false
	}
	next := map[string]bool{}
	for n := range b.out {
		next[n] = true
	}
	if out {
		next[name] = true
	} else {
		delete(next, name)
	}
	return b.take(next, now), true
}

// Take makes names the whole set of ejections, as another process of the same
// gateway has written it.
func (b *Set) Take(names []string, now routing.Time) Change {
	next := map[string]bool{}
	for _, n := range names {
		next[n] = true
	}
	return b.take(next, now)
}

func (b *Set) take(next map[string]bool, now routing.Time) Change {
	var ch Change
	for n := range next {
		if !b.out[n] {
			ch.Out = append(ch.Out, n)
			b.outAt[n] = now
		}
	}
	for n := range b.out {
		if !next[n] {
			ch.Back = append(ch.Back, n)
			b.back[n] = ret{out: b.outAt[n], at: now}
			delete(b.outAt, n)
		}
	}
	for n := range next {
		delete(b.back, n)
	}
	b.out = next
	slices.Sort(ch.Out)
	slices.Sort(ch.Back)
	return ch
}

// Show returns the entry that the module is to see for s: draining while it is
// out. An engine out by hand is restarted meanwhile and comes back cold: a start
// that the list shows after the ejection began stands; without one, the engine is shown
// as started at its return, until the list tells of a later start.
func (b *Set) Show(s routing.EngineInfo) routing.EngineInfo {
	if b.out[s.Name] {
		if s.Phase == routing.PhaseActive {
			s.Phase = routing.PhaseDraining
		}
		return s
	}
	if r, ok := b.back[s.Name]; ok {
		if s.StartTime >= r.out {
			delete(b.back, s.Name)
		} else {
			s.StartTime = r.at
		}
	}
	return s
}
