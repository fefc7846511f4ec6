package heldstate

// ConnectionNumber is the number of one connection to an engine. A process never gives a number twice, so
// that what is known of one connection can't be taken for knowledge of another.
type ConnectionNumber uint64

// Arrival is the evidence that an attempt has arrived at its engine: the first byte that the engine sent
// on a connection, and when it came. There is no other kind. What the engine sends on another connection,
// to a check or to another request, shows that it is up, not that this attempt has reached it: a single
// connection may be lost on the way while all others work, and shows no error.
type Arrival struct {
	Connection ConnectionNumber
	At         Time
}

// Flight is an attempt in flight: its last byte has been written and it has neither ended nor, if it was
// cancelled and its connection is kept open, been closed.
type Flight struct {
	Connection ConnectionNumber
	WrittenAt  Time
	Arrival    Arrival // zero for none
}

// Confirmed reports whether the attempt has certainly arrived: its engine has sent something on the
// attempt's own connection since it was written.
func (f Flight) Confirmed() bool {
	return f.Arrival.Connection == f.Connection && f.Arrival.At > 0 && f.Arrival.At >= f.WrittenAt
}

// attemptState says whether an attempt of the request is in flight.
type attemptState uint8

// The states of a request's attempts together: that of the one which is known best.
const (
	noAttempt attemptState = iota
	// unconfirmed means that an attempt was written and nothing has come on its connection since. It
	// may wait in its engine's queue, or may never have arrived.
	unconfirmed
	confirmed
)

// stateOf returns the state of the attempts in flight together.
func stateOf(flights []Flight) attemptState {
	state := noAttempt
	for _, f := range flights {
		if f.Confirmed() {
			return confirmed
		}
		state = unconfirmed
	}
	return state
}

// SetFlights records the attempts of the request that are in flight now.
func (l *Ledger) SetFlights(flights []Flight, now Time) {
	state := stateOf(flights)
	if l.attemptState == confirmed && state != confirmed || l.noAttemptSince == 0 {
		l.noAttemptSince = now
	}
	if l.attemptState != noAttempt && state == noAttempt {
		l.resetUndelivered()
	}
	l.attemptState = state
}

// FlightEnded records that an attempt has ended. If it had arrived, it was in flight until now.
func (l *Ledger) FlightEnded(flight Flight, now Time) {
	if flight.Confirmed() {
		l.noAttemptSince = now
	}
}
