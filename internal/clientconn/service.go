package clientconn

import (
	"context"
	"time"

	"wellgw/decide/lifecycle"
)

// SetService goes by what clients get from now on: connections end, or are kept, by
// lifecycle.Service.DecideConnection.
func (l *Listener) SetService(s lifecycle.Service) {
	l.service.Store(&s)
	l.sweep()
}

// Empty returns a channel that is closed once no connection is open. Closed connections linger for
// lingerTime, so that the last responses arrive.
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

// Wait waits until no connection is open; it returns ctx's error if ctx ends before.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.Empty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget removes a connection from the table. The lock is held.
func (l *Listener) forget(c *Conn) {
	delete(l.open, c)
	if len(l.open) > 0 {
		return
	}
	for _, ch := range l.emptyWaiters {
		close(ch)
	}
	l.emptyWaiters = nil
}

// sweep applies the service to every open connection, and schedules the next sweep for when one of
// them is due.
func (l *Listener) sweep() {
	service, now := *l.service.Load(), time.Now()
	l.mu.Lock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		if next := c.apply(service, now); !next.IsZero() {
			l.scheduleSweep(next)
		}
	}
}

// scheduleSweep has the next sweep run at the given time or before.
func (l *Listener) scheduleSweep(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.sweepDue.After(now) && !at.Before(l.sweepDue) {
		return
	}
	if l.sweepTimer != nil {
		l.sweepTimer.Stop()
	}
	l.sweepDue = at
	l.sweepTimer = time.AfterFunc(at.Sub(now), l.sweep)
}

// apply does to the connection what the service says, and returns when it is due again.
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

// decide asks the service and notes the decision in one step, so that nothing is read in between.
func (c *Conn) decide(s lifecycle.Service, now time.Time) (lifecycle.Decision, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.writeClosed || c.malformed || c.requestExpired {
		return lifecycle.KeepOpen, time.Time{} // it is about to end by itself
	}
	state := lifecycle.Connection{
		Opened: c.opened, Answered: c.answered > 0, InFlight: c.frame.complete > c.answered, PartialRequest: !c.frame.betweenRequests(),
	}
	decision, next := s.DecideConnection(now, state)
	if decision == lifecycle.CloseIdle {
		state.UnreadBytes = hasUnreadBytes(c.Conn)
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

// rejectRequest responds to a request that was not complete in time. For a body, Read returns the
// error to its reader, and the front responds.
func (c *Conn) rejectRequest() {
	if c.respondToPartial(serviceUnavailable, ClosedRequestExpired) {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now())
}
