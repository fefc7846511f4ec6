package roster

import (
	"maps"
	"slices"
	"time"
)

// ServiceTracker decides which services of a catalog are watched. The rules for trusting a view of the
// catalog are those for a view of engines. The zero value is not usable; see NewServiceTracker.
type ServiceTracker struct {
	policy         Policy
	index          uint64
	watched        map[string]bool
	untrustedSince time.Time // zero while views are trusted
}

// NewServiceTracker returns a tracker that initially watches the given services, such as those of the
// previous configuration or of the last good view.
func NewServiceTracker(p Policy, watched []string) *ServiceTracker {
	s := &ServiceTracker{policy: p, watched: map[string]bool{}}
	for _, name := range watched {
		s.watched[name] = true
	}
	return s
}

// ServiceChanges are the changes that result from a view of the catalog. The lists are sorted by name, except
// for Added, which follows the order of the view.
type ServiceChanges struct {
	DistrustReason Reason
	Added          []string // services to start watching
	Untagged       []string // listed without the tag, which an operator has removed
	Missing        []string // not listed, which may be a fault of the catalog
}

// Observe evaluates a view of the catalog: the services with the tag and those without it. A view that is not
// trusted adds services immediately and removes services only when views have been untrusted for
// Policy.HoldTime.
func (s *ServiceTracker) Observe(now time.Time, v View, tagged, untagged []string) ServiceChanges {
	changes := ServiceChanges{DistrustReason: v.distrustReason(s.policy.MaxAge, s.index)}
	for _, name := range tagged {
		if !s.watched[name] {
			s.watched[name] = true
			changes.Added = append(changes.Added, name)
		}
	}
	if changes.DistrustReason != Trusted {
		if s.untrustedSince.IsZero() {
			s.untrustedSince = now
		}
		if now.Sub(s.untrustedSince) < s.policy.HoldTime {
			return changes
		}
	}
	s.untrustedSince, s.index = time.Time{}, v.Index
	for _, name := range slices.Sorted(maps.Keys(s.watched)) {
		if slices.Contains(tagged, name) {
			continue
		}
		delete(s.watched, name)
		if slices.Contains(untagged, name) {
			changes.Untagged = append(changes.Untagged, name)
		} else {
			changes.Missing = append(changes.Missing, name)
		}
	}
	return changes
}
