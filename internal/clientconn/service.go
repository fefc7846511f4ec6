package clientconn

import (
	"context"
	"time"

	"wellgw/decide/lifecycle"
)

// SetService sets the service that the listener applies from this call on: its DecideConnection method
// decides whether a connection is kept open, and how it is closed.
func (l *Listener) SetService(s lifecycle.Service) {
	l.service.Store(&s)
	l.sweep()
}

// Empty returns a channel that is closed when no connection is open. A connection counts as open until
// it has lingered for lingerTime, so that the last responses arrive.
func (l *Listener) Empty() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan struct{})
	if len(l.open) == 0 {
		close(ch)
		return ch
	}
	l.emptyWaiters = append(l.emptyWaiters, ch)
	return ch
}

// Wait waits until no connection is open. It returns ctx's error if ctx is done before that.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.Empty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// remove removes a connection from the set of open ones.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

// removeLocked removes a connection from the set of open ones, and notifies the channels of Empty if it
// was the last. The caller holds l.mu.
func (l *Listener) removeLocked(c *Conn) {
	delete(l.open, c)
	if len(l.open) > 0 {
		return
	}
	for _, ch := range l.emptyWaiters {
		close(ch)
	}
	l.emptyWaiters = nil
}

// sweep applies the service to every open connection, and schedules the next sweep for the earliest
// time at which one of them must be checked.
func (l *Listener) sweep() {
	service, now := *l.service.Load(), time.Now()
	for _, c := range l.openConnections() {
		if next := c.apply(service, now); !next.IsZero() {
			l.scheduleSweep(next)
		}
	}
}

// openConnections returns the connections that are open.
func (l *Listener) openConnections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
}

// scheduleSweep schedules the next sweep for the given time, unless an earlier one is scheduled.
func (l *Listener) scheduleSweep(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.sweepAt.After(now) && !at.Before(l.sweepAt) {
		return
	}
	if l.sweepTimer != nil {
		l.sweepTimer.Stop()
	}
	l.sweepAt = at
	l.sweepTimer = time.AfterFunc(at.Sub(now), l.sweep)
}

// apply carries out the service's decision on the connection, and returns when the connection must be
// checked next; zero for never.
func (c *Conn) apply(s lifecycle.Service, now time.Time) (next time.Time) {
	decision, next := c.decide(s, now)
	switch decision {
	case lifecycle.CloseIdle:
		_ = c.Close()
	case lifecycle.RejectRequest:
		c.rejectRequest()
	case lifecycle.AbortAnswer:
		_ = c.closeNow()
	}
	return next
}

// decide returns the service's decision and the time of the next one. It records the decision in the
// same critical section, so that no byte is read in between.
func (c *Conn) decide(s lifecycle.Service, now time.Time) (lifecycle.Decision, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.writeClosed || c.malformed || c.requestExpired {
		return lifecycle.KeepOpen, time.Time{} // it is already being closed
	}
	state := lifecycle.Connection{
		Opened: c.opened, Answered: c.answered > 0, InFlight: c.frame.complete > c.answered, PartialRequest: !c.frame.betweenRequests(),
	}
	decision, next := s.DecideConnection(now, state)
	if decision == lifecycle.CloseIdle {
		state.UnreadBytes = c.hasUnread()
		decision, next = s.DecideConnection(now, state)
	}
	switch decision {
	case lifecycle.CloseIdle:
		c.readClosed = true
		if c.answered == 0 {
			c.setReason(ClosedUnused)
		} else {
			c.setReason(ClosedIdle)
		}
	case lifecycle.RejectRequest:
		c.setReason(ClosedRequestExpired)
		c.requestExpired = true
	case lifecycle.AbortAnswer:
		c.setReason(ClosedAnswerAborted)
		c.readClosed = true
	}
	return decision, next
}

// rejectRequest responds to a request that is incomplete at the service's deadline. If only its body is
// incomplete, Read returns ErrRequestExpired to the front, which responds.
func (c *Conn) rejectRequest() {
	if c.respondToPartial(serviceUnavailable, ClosedRequestExpired) {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now())
}
