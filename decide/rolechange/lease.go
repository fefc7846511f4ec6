package rolechange

import "time"

// Lease is one term as the leader. It is acted on only for a part of its TTL after its latest
// renewal, so that a leader that was paused finds its lease no longer valid well before another
// gateway can have one.
type Lease struct {
	FencingToken uint64 // grows with each holder
	ttl          time.Duration
	renewedAt    time.Time
}

// validPart is the part of its TTL, one in so many, for which a lease is acted on.
const validPart = 3

// NewLease returns a lease that was requested at a time.
func NewLease(token uint64, ttl time.Duration, requestedAt time.Time) *Lease {
	return &Lease{FencingToken: token, ttl: ttl, renewedAt: requestedAt}
}

// Renewed records a renewal that was requested at a time; that of the answer may be much later.
func (l *Lease) Renewed(requestedAt time.Time) {
	if requestedAt.After(l.renewedAt) {
		l.renewedAt = requestedAt
	}
}

// Valid tells whether the lease may be acted on.
func (l *Lease) Valid(now time.Time) bool { return now.Sub(l.renewedAt) < l.ttl/validPart }

// LockAction is what a gateway does about the lock that leaders hold.
type LockAction uint8

// The actions.
const (
	SkipLock          LockAction = iota // another gateway holds it, or this one has no name yet
	DestroyOwnSession                   // the session of this gateway's earlier term still holds it
	AcquireLock
)

// DecideLock decides on a lock that the session holder holds, "" if it is free. own is the session
// of this gateway's latest term.
func DecideLock(holder, own, gateway string) LockAction {
	switch {
	case holder != "" && holder == own:
		return DestroyOwnSession
	case holder != "" || gateway == "":
		return SkipLock
	}
	return AcquireLock
}
