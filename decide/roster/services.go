package roster

import (
	"maps"
	"slices"
	"time"
)

// ServiceTracker decides which services of a catalogue are followed, out of views of the
// catalogue that may be as doubtful as those of engines. The zero value is not
// usable; see NewServices.
type ServiceTracker struct {
	policy       Policy
	index        uint64
	known        map[string]bool
	doubtedSince time.Time // since when views are doubted; zero if they are not
}

// NewServiceTracker returns a set that begins with the services named, such as those that
// an older configuration or the last good view knew.
func NewServiceTracker(p Policy, known []string) *ServiceTracker {
	s := &ServiceTracker{policy: p, known: map[string]bool{}}
	for _, name := range known {
		s.known[name] = true
	}
	return s
}

// ServiceChanges is what a view of the catalogue leads to, each in order of name.
type ServiceChanges struct {
	Doubt    Reason
	Added    []string // services to follow from now on
	Untagged []string // they are there without the tag: somebody took it away
	Vanished []string // they are not there at all: perhaps a fault of the catalogue
}

// Observe takes a view in: which services carry the tag, and which do not. A
// doubted view begins services and ends none until its hold is over.
func (s *ServiceTracker) Observe(now time.Time, v View, tagged, others []string) ServiceChanges {
	var p ServiceChanges
	switch {
	case v.Leaderless:
		p.Doubt = NoLeader
	case v.Age > s.policy.MaxAge:
		p.Doubt = Stale
	case v.Index < s.index:
		p.Doubt = IndexRegressed
	}
	for _, name := range tagged {
		if !s.known[name] {
			s.known[name] = true
			p.Added = append(p.Added, name)
		}
	}
	if p.Doubt != Trusted {
		if s.doubtedSince.IsZero() {
			s.doubtedSince = now
		}
		if now.Sub(s.doubtedSince) < s.policy.HoldTime {
			return p
		}
	}
	s.doubtedSince, s.index = time.Time{}, v.Index
	for _, name := range slices.Sorted(maps.Keys(s.known)) {
		if slices.Contains(tagged, name) {
			continue
		}
		delete(s.known, name)
		if slices.Contains(others, name) {
			p.Untagged = append(p.Untagged, name)
		} else {
			p.Vanished = append(p.Vanished, name)
		}
	}
	return p
}
