// Package ejection keeps the set of engines that operators have ejected manually, and decides what the
// routing policy is shown of them: an ejected engine is draining whatever the engine list says, and a
// restored one has a cold cache from that moment on.
//
// It does no I/O and reads no clock: times are arguments, on the policy's clock.
package ejection

import (
	"maps"
	"slices"

	"wellgw/routing"
)

// MaxRegisteredNames bounds the engine names that are remembered as listed; the oldest are forgotten first.
// Engines come under ever new names, so that the set would otherwise grow without bound.
const MaxRegisteredNames = 1 << 16

// Set holds the registered names, the ejected engines, and the ejections that ended. Use New.
type Set struct {
	registered        map[string]bool
	registrationOrder []string // the keys of registered, oldest first
	ejected           map[string]bool
	ejectedAt         map[string]routing.Time // when each ejection in force began
	restored          map[string]restoration  // ended ejections whose engine has not been seen to restart
}

// restoration is an ejection that ended.
type restoration struct{ ejectedAt, restoredAt routing.Time }

// New returns an empty set.
func New() *Set {
	return &Set{
		registered: map[string]bool{},
		ejected:    map[string]bool{},
		ejectedAt:  map[string]routing.Time{},
		restored:   map[string]restoration{},
	}
}

// Register records that an engine list has had this name.
func (s *Set) Register(name string) {
	if s.registered[name] {
		return
	}
	if len(s.registrationOrder) >= MaxRegisteredNames {
		delete(s.registered, s.registrationOrder[0])
		s.registrationOrder = s.registrationOrder[1:]
	}
	s.registered[name] = true
	s.registrationOrder = append(s.registrationOrder, name)
}

// Registered reports whether an engine list has had this name.
func (s *Set) Registered(name string) bool { return s.registered[name] }

// Ejected reports whether an engine is ejected.
func (s *Set) Ejected(name string) bool { return s.ejected[name] }

// Names returns the names of the ejected engines, sorted.
func (s *Set) Names() []string {
	names := make([]string, 0, len(s.ejected))
	for name := range s.ejected {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Change lists the engines whose ejection began or ended, sorted.
type Change struct {
	Ejected  []string
	Restored []string
}

// SetEjected ejects an engine, or restores it if eject is false. It returns false, and changes nothing,
// for a name that is neither registered nor ejected. To repeat a command is no error.
func (s *Set) SetEjected(name string, eject bool, now routing.Time) (Change, bool) {
	if !s.registered[name] && !s.ejected[name] {
		return Change{}, false
	}
	next := maps.Clone(s.ejected)
	if eject {
		next[name] = true
	} else {
		delete(next, name)
	}
	return s.apply(next, now), true
}

// Replace makes names the whole set of ejected engines, as another process of the same gateway has
// written it. The names need not be registered.
func (s *Set) Replace(names []string, now routing.Time) Change {
	next := map[string]bool{}
	for _, name := range names {
		next[name] = true
	}
	return s.apply(next, now)
}

// apply makes next the set of ejected engines.
func (s *Set) apply(next map[string]bool, now routing.Time) Change {
	var change Change
	for name := range next {
		if !s.ejected[name] {
			change.Ejected = append(change.Ejected, name)
			s.ejectedAt[name] = now
		}
		delete(s.restored, name)
	}
	for name := range s.ejected {
		if !next[name] {
			change.Restored = append(change.Restored, name)
			s.restored[name] = restoration{ejectedAt: s.ejectedAt[name], restoredAt: now}
			delete(s.ejectedAt, name)
		}
	}
	s.ejected = next
	slices.Sort(change.Ejected)
	slices.Sort(change.Restored)
	return change
}

// EffectiveInfo returns the entry that the policy is to see for a listed engine: draining while it is
// ejected. An ejected engine is taken to be restarted before it is restored, so it comes back with a
// cold cache: a start that the list shows after the ejection began is kept; until there is one, the
// engine counts as started when it was restored.
func (s *Set) EffectiveInfo(engine routing.EngineInfo) routing.EngineInfo {
	if s.ejected[engine.Name] {
		if engine.Phase == routing.PhaseActive {
			engine.Phase = routing.PhaseDraining
		}
		return engine
	}
	ended, ok := s.restored[engine.Name]
	if !ok {
		return engine
	}
	if engine.StartTime >= ended.ejectedAt {
		delete(s.restored, engine.Name)
	} else {
		engine.StartTime = ended.restoredAt
	}
	return engine
}
