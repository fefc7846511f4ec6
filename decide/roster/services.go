package roster

import (
	"maps"
	"slices"
	"time"
)

// ServiceTracker decides which services of a catalog are watched, from views of the catalog
// that are doubted for the same reasons as those of engines. The zero value is not usable;
// see NewServiceTracker.
type ServiceTracker struct {
	policy       Policy
	index        uint64
	known        map[string]bool
	doubtedSince time.Time // zero while views are trusted
}

// NewServiceTracker returns a tracker that starts with the services named, such as those of
// the previous configuration or the last good view.
func NewServiceTracker(p Policy, known []string) *ServiceTracker {
	s := &ServiceTracker{policy: p, known: map[string]bool{}}
	for _, name := range known {
		s.known[name] = true
	}
	return s
}

// ServiceChanges are the changes that a view of the catalog leads to, each in order of name.
type ServiceChanges struct {
	DistrustReason Reason
	Added          []string // to be watched from now on
	Untagged       []string // present without the tag: an operator took it away
	Missing        []string // absent altogether: perhaps a fault of the catalog
}

// Observe takes a view: which services carry the tag, and which do not. A doubted view adds
// services at once and removes none until its hold has expired.
func (s *ServiceTracker) Observe(now time.Time, v View, tagged, others []string) ServiceChanges {
	changes := ServiceChanges{DistrustReason: v.reasonToDoubt(s.policy.MaxAge, s.index)}
	for _, name := range tagged {
		if !s.known[name] {
			s.known[name] = true
			changes.Added = append(changes.Added, name)
		}
	}
	if changes.DistrustReason != Trusted {
		if s.doubtedSince.IsZero() {
			s.doubtedSince = now
		}
		if now.Sub(s.doubtedSince) < s.policy.HoldTime {
			return changes
		}
	}
	s.doubtedSince, s.index = time.Time{}, v.Index
	for _, name := range slices.Sorted(maps.Keys(s.known)) {
		if slices.Contains(tagged, name) {
			continue
		}
		delete(s.known, name)
		if slices.Contains(others, name) {
			changes.Untagged = append(changes.Untagged, name)
		} else {
			changes.Missing = append(changes.Missing, name)
		}
	}
	return changes
}
