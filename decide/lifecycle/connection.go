package lifecycle

import "time"

// Connection is a client's connection as it is now.
type Connection struct {
	Opened         time.Time
	Answered       bool // it has had an answer
	InFlight       bool // a request has been read whole and has not been answered to its end
	PartialRequest bool // bytes of a next request have been read
	UnreadBytes    bool // bytes have arrived that nobody has read
}

// Decision is what becomes of a connection.
type Decision uint8

// The verdicts.
const (
	KeepOpen      Decision = iota
	CloseIdle              // nothing more is read: what arrives is for the client to send elsewhere
	RejectRequest          // its request is refused, as it did not come to its end in time
	AbortAnswer            // its answer is cut off
)

// DecideConnection decides what becomes of a connection, and when to ask again if it is kept; the zero
// time stands for not before the service changes.
func (s Service) DecideConnection(now time.Time, c Connection) (v Decision, next time.Time) {
	if s.Reusable {
		return KeepOpen, time.Time{}
	}
	switch fresh := c.Opened.Add(FirstByteTimeout); {
	case c.InFlight:
		return keepOpenUntil(now, s.AnswerDeadline, AbortAnswer)
	case c.PartialRequest:
		return keepOpenUntil(now, s.RequestDeadline, RejectRequest)
	case !c.Answered && now.Before(fresh):
		return KeepOpen, fresh
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
