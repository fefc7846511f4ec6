package heldstate

// ConnectionNumber identifies one connection to an engine. A process never reuses a number, so evidence from
// one connection can't be attributed to another.
type ConnectionNumber uint64

// Arrival is the evidence that an attempt has arrived at its engine: the first byte that the engine sent on a
// connection, and the time of that byte. No other evidence is accepted. Data that the engine sends on another
// connection, for a check or another request, shows that the engine is up but not that this attempt has
// arrived: a single connection may be lost without an error while all others work.
type Arrival struct {
	Connection ConnectionNumber
	At         Time
}

// Flight is an attempt in flight: its last byte has been written, and it has neither ended nor, if it was
// cancelled while its connection remained open, has the connection been closed.
type Flight struct {
	Connection ConnectionNumber
	WrittenAt  Time
	Arrival    Arrival // zero value if there is no evidence
}

// Confirmed reports whether the attempt has certainly arrived: its engine has sent data on the attempt's
// connection since the attempt was written.
func (f Flight) Confirmed() bool {
	return f.Arrival.Connection == f.Connection && f.Arrival.At > 0 && f.Arrival.At >= f.WrittenAt
}

// attemptState states whether an attempt of the request is in flight, and with which certainty.
type attemptState uint8

// The combined states of all attempts of a request; the most certain state applies.
const (
	noAttempt attemptState = iota
	// unconfirmed means that an attempt was written and no data has arrived on its connection since. The
	// attempt may be queued at its engine, or may never have arrived.
	unconfirmed
	confirmed
)

// stateOf returns the combined state of the attempts in flight.
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

// SetFlights replaces the record of the request's attempts in flight.
func (l *Ledger) SetFlights(flights []Flight, now Time) {
	state := stateOf(flights)
	if l.attemptState == confirmed && state != confirmed || l.noAttemptSince == 0 {
		l.noAttemptSince = now
	}
	if l.attemptState != noAttempt && state == noAttempt {
		l.resetUncertainReleases()
	}
	l.attemptState = state
}

// FlightEnded records that an attempt has ended. A confirmed attempt counts as in flight until now.
func (l *Ledger) FlightEnded(flight Flight, now Time) {
	if flight.Confirmed() {
		l.noAttemptSince = now
	}
}
