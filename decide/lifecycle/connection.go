package lifecycle

import "time"

// Connection is a client's connection as it is now.
type Connection struct {
	Opened   time.Time
	Answered bool // it has had an answer
	InHand   bool // a request has been read whole and has not been answered to its end
	Begun    bool // bytes of a next request have been read
	Arriving bool // bytes have arrived that nobody has read
}

// Verdict is what becomes of a connection.
type Verdict uint8

// The verdicts.
const (
	Keep   Verdict = iota
	Shut           // nothing more is read: what arrives is for the client to send elsewhere
	Refuse         // its request is refused, as it did not come to its end in time
	Cut            // its answer is cut off
)

// Connection decides what becomes of a connection, and when to ask again if it is kept; the zero
// time stands for not before the service changes.
func (s Service) Connection(now time.Time, c Connection) (v Verdict, next time.Time) {
	if s.Reusable {
		return Keep, time.Time{}
	}
	switch fresh := c.Opened.Add(NewConnection); {
	case c.InHand:
		return keepUntil(now, s.AnswersUntil, Cut)
	case c.Begun:
		return keepUntil(now, s.RequestsUntil, Refuse)
	case !c.Answered && now.Before(fresh):
		return Keep, fresh
	case c.Arriving && s.TakesRequest(now): // it is about to be read
		return Keep, earliest(now.Add(arrivingLook), s.RequestsUntil)
	}
	return Shut, time.Time{}
}

func keepUntil(now, bound time.Time, then Verdict) (Verdict, time.Time) {
	if now.Before(bound) {
		return Keep, bound
	}
	return then, time.Time{}
}
