package lifecycle

import "time"

// Connection is the state of a client's connection.
type Connection struct {
	Opened         time.Time
	Answered       bool // at least one request has been answered
	InFlight       bool // a request has been read whole and has not been answered to its end
	PartialRequest bool // bytes of a next request have been read
	UnreadBytes    bool // bytes have arrived at the socket that have not been read
}

// Decision is what becomes of a connection.
type Decision uint8

// The decisions.
const (
	KeepOpen      Decision = iota
	CloseIdle              // no request has begun to come; what arrives from now on is not read, and its client may send it elsewhere
	RejectRequest          // its request was not complete in time
	AbortAnswer            // its answer took too long
)

// DecideConnection decides what becomes of a connection, and when to ask again if it is kept open;
// the zero time stands for not before the service changes.
func (s Service) DecideConnection(now time.Time, c Connection) (d Decision, next time.Time) {
	if s.KeepAlive {
		return KeepOpen, time.Time{}
	}
	switch firstByteUntil := c.Opened.Add(FirstByteTimeout); {
	case c.InFlight:
		return keepOpenUntil(now, s.AnswerDeadline, AbortAnswer)
	case c.PartialRequest:
		return keepOpenUntil(now, s.RequestDeadline, RejectRequest)
	case !c.Answered && now.Before(firstByteUntil):
		return KeepOpen, firstByteUntil
	case c.UnreadBytes && s.AcceptsRequest(now): // it is about to be read
		return KeepOpen, earliest(now.Add(unreadRecheck), s.RequestDeadline)
	}
	return CloseIdle, time.Time{}
}

func keepOpenUntil(now, bound time.Time, then Decision) (Decision, time.Time) {
	if now.Before(bound) {
		return KeepOpen, bound
	}
	return then, time.Time{}
}
