// Package ejection maintains the set of engines that operators have ejected manually, and decides how these
// engines appear to the routing policy: an ejected engine is draining regardless of the engine list, and a
// restored engine has a cold cache from the time of its restoration.
//
// It does no I/O and reads no clock: times are arguments, on the policy's clock.
package ejection

import (
	"maps"
	"slices"

	"wellgw/routing"
)

// MaxRegisteredNames limits the number of engine names that are remembered as listed; the oldest names are
// removed first. New engines have new names, so the set would otherwise grow without limit.
const MaxRegisteredNames = 1 << 16

// Set stores the registered names, the ejected engines, and the ended ejections. Use New.
type Set struct {
	registered        map[string]bool
	registrationOrder []string // the keys of registered, oldest first
	ejected           map[string]bool
	ejectedAt         map[string]routing.Time // start of each ejection in force
	restored          map[string]restoration  // ended ejections whose engine has not been observed to restart
}

// restoration is an ended ejection.
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

// Register records that an engine list has contained this name.
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

// Registered reports whether an engine list has contained this name.
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
// for a name that is neither registered nor ejected. Repeated commands succeed and change nothing.
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

// Replace replaces the set of ejected engines with names, which another process of the same gateway has
// written. The names need not be registered.
func (s *Set) Replace(names []string, now routing.Time) Change {
	next := map[string]bool{}
	for _, name := range names {
		next[name] = true
	}
	return s.apply(next, now)
}

// apply replaces the set of ejected engines with next.
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

// EffectiveInfo returns a listed engine's information for the policy. An ejected engine is shown as draining.
// An ejected engine is assumed to restart before it is restored, so a restored engine has a cold cache: a
// listed start time after the start of the ejection is retained; until the list has one, the time of the
// restoration is used as the start time.
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
