package lifecycle

import "time"

// Connection is the state of a client connection.
type Connection struct {
	Opened         time.Time
	Answered       bool // at least one request has been answered
	InFlight       bool // a request has been read completely and its answer is incomplete
	PartialRequest bool // bytes of the next request have been read
	UnreadBytes    bool // the socket has received bytes that have not been read
}

// Decision is the action for a connection.
type Decision uint8

// The decisions.
const (
	KeepOpen Decision = iota
	// CloseIdle: no request has begun to arrive. Bytes that arrive later are not read, so the client may send
	// that request to another gateway.
	CloseIdle
	RejectRequest // its request was not complete at the deadline
	AbortAnswer   // its answer exceeded the deadline
)

// DecideConnection returns the decision for a connection and, if it is kept open, when to evaluate it again;
// the zero time means only after a change of the service.
func (s Service) DecideConnection(now time.Time, c Connection) (d Decision, next time.Time) {
	if s.KeepAlive {
		return KeepOpen, time.Time{}
	}
	switch firstByteDeadline := c.Opened.Add(FirstByteTimeout); {
	case c.InFlight:
		return keepOpenUntil(now, s.AnswerDeadline, AbortAnswer)
	case c.PartialRequest:
		return keepOpenUntil(now, s.RequestDeadline, RejectRequest)
	case !c.Answered && now.Before(firstByteDeadline):
		return KeepOpen, firstByteDeadline
	case c.UnreadBytes && s.AcceptsRequest(now): // these bytes are about to be read
		return KeepOpen, earliest(now.Add(unreadRecheckInterval), s.RequestDeadline)
	}
	return CloseIdle, time.Time{}
}

func keepOpenUntil(now, deadline time.Time, afterDeadline Decision) (Decision, time.Time) {
	if now.Before(deadline) {
		return KeepOpen, deadline
	}
	return afterDeadline, time.Time{}
}
