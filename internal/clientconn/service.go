package clientconn

import (
	"context"
	"time"

	"wellgw/decide/lifecycle"
)

// SetService goes by what clients get from now on: connections end, or are kept, by
// lifecycle.Service.Connection.
func (l *Listener) SetService(s lifecycle.Service) {
	l.service.Store(&s)
	l.sweep()
}

// Empty returns a channel that is closed once no connection is open. Connections that are closed
// linger for a moment, so that the last answers arrive.
func (l *Listener) Empty() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan struct{})
	if len(l.open) == 0 {
		close(ch)
		return ch
	}
	l.emptied = append(l.emptied, ch)
	return ch
}

// Wait waits until no connection is open; an error says that ctx ended before.
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

// forget takes a connection off the table. The lock is held.
func (l *Listener) forget(c *Conn) {
	delete(l.open, c)
	if len(l.open) > 0 {
		return
	}
	for _, ch := range l.emptied {
		close(ch)
	}
	l.emptied = nil
}

// sweep applies the service to every open connection, and sees to it that this is done again
// when one of them is due.
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

// scheduleSweep has the next sweep come at a time or before.
func (l *Listener) scheduleSweep(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.alarmAt.After(now) && !at.Before(l.alarmAt) {
		return
	}
	if l.alarm != nil {
		l.alarm.Stop()
	}
	l.alarmAt = at
	l.alarm = time.AfterFunc(at.Sub(now), l.sweep)
}

// apply does to the connection what the service says, and returns when it is due again.
func (c *Conn) apply(s lifecycle.Service, now time.Time) (next time.Time) {
	verdict, next := c.judge(s, now)
	switch verdict {
	case lifecycle.Shut:
		_ = c.Close()
	case lifecycle.Refuse:
		c.refuse()
	case lifecycle.Cut:
		_ = c.end()
	}
	return next
}

// judge asks the service and notes the verdict in one step, so that nothing is read in between.
func (c *Conn) judge(s lifecycle.Service, now time.Time) (lifecycle.Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.half || c.malformed || c.overdue {
		return lifecycle.Keep, time.Time{} // it ends by itself, soon
	}
	state := lifecycle.Connection{
		Opened: c.opened, Answered: c.answered > 0, InHand: c.frame.complete > c.answered, Begun: !c.frame.between(),
	}
	verdict, next := s.Connection(now, state)
	if verdict == lifecycle.Shut {
		state.Arriving = unread(c.Conn)
		verdict, next = s.Connection(now, state)
	}
	switch verdict {
	case lifecycle.Shut:
		c.shut = true
		if c.answered == 0 {
			c.because(ClosedUnused)
		} else {
			c.because(ClosedIdle)
		}
	case lifecycle.Refuse:
		c.because(ClosedLate)
		c.overdue = true
	case lifecycle.Cut:
		c.because(ClosedCut)
		c.shut = true
	}
	return verdict, next
}

// refuse answers a request that did not come to its end in time. Of a body its reader learns, and
// the front answers.
func (c *Conn) refuse() {
	if c.answerPartial(noRoom, ClosedLate) {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now())
}
