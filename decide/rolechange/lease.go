package rolechange

import "time"

// Lease is one holding of the right to change things. It is acted on for a part of its
// TTL after it was last renewed, so that an owner that was paused finds out that it may
// no longer be one before it does anything.
type Lease struct {
	FencingToken uint64 // grows with each holder
	ttl          time.Duration
	renewed      time.Time
}

// validPart is the part of its TTL, one in so many, for which a lease is acted on.
const validPart = 3

// NewLease returns a lease that was asked for at a time.
func NewLease(fence uint64, ttl time.Duration, asked time.Time) *Lease {
	return &Lease{FencingToken: fence, ttl: ttl, renewed: asked}
}

// Renewed notes a renewal that was asked for at a time: the answer may have been long
// on its way.
func (l *Lease) Renewed(asked time.Time) {
	if asked.After(l.renewed) {
		l.renewed = asked
	}
}

// Valid tells whether the lease is held beyond doubt.
func (l *Lease) Valid(now time.Time) bool { return now.Sub(l.renewed) < l.ttl/validPart }

// LockAction is what to do about the lock of owners.
type LockAction uint8

// The bids.
const (
	LeaveLock     LockAction = iota // another holds it, or this gateway has no name yet
	EndOwnSession                   // a session of this gateway's own holds it, of a lease it has lost sight of
	AcquireLock
)

// DecideLock decides on a lock that a session holds, "" if none does. mine is the session of
// this gateway's latest lease.
func DecideLock(holder, mine, gateway string) LockAction {
	switch {
	case holder != "" && holder == mine:
		return EndOwnSession
	case holder != "" || gateway == "":
		return LeaveLock
	}
	return AcquireLock
}
