package rolechange

import "time"

// Lease is one term of a leader. It is valid only for a fraction of its TTL after the latest
// renewal, so that a leader that resumes after a pause finds its lease invalid well before another
// gateway can acquire one.
type Lease struct {
	FencingToken uint64 // increases with each term
	ttl          time.Duration
	renewedAt    time.Time
}

// validDivisor divides the TTL: a lease is valid for TTL/validDivisor after its latest renewal.
const validDivisor = 3

// NewLease returns a lease that was requested at requestedAt.
func NewLease(token uint64, ttl time.Duration, requestedAt time.Time) *Lease {
	return &Lease{FencingToken: token, ttl: ttl, renewedAt: requestedAt}
}

// Renewed records a renewal by the time of its request; the response may arrive much later.
func (l *Lease) Renewed(requestedAt time.Time) {
	if requestedAt.After(l.renewedAt) {
		l.renewedAt = requestedAt
	}
}

// Valid reports whether the leader may act under the lease.
func (l *Lease) Valid(now time.Time) bool { return now.Sub(l.renewedAt) < l.ttl/validDivisor }

// LockAction is what a gateway does about the leader lock.
type LockAction uint8

// The actions.
const (
	SkipLock          LockAction = iota // another gateway owns the lock, or this one has no name yet
	DestroyOwnSession                   // the lock still belongs to the session of this gateway's previous term
	AcquireLock
)

// DecideLock returns the action for a lock that belongs to the session holder, "" if it is free. own
// is the session of this gateway's latest term.
func DecideLock(holder, own, gateway string) LockAction {
	switch {
	case holder != "" && holder == own:
		return DestroyOwnSession
	case holder != "" || gateway == "":
		return SkipLock
	}
	return AcquireLock
}
