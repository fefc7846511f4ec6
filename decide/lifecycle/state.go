package lifecycle

// State is the phase of a process's life cycle.
type State uint8

// The states, in the order in which a process can reach them.
const (
	Serving     State = iota
	Draining          // operators direct clients to other gateways; Activate ends the drain
	HandedOver        // a newer process accepts new clients; requests in flight continue
	Terminating       // termination was requested; clients have not noticed yet and are served as before
	Finishing         // termination was requested; nothing new is accepted, requests in flight continue
	Rejecting         // waiting requests are rejected, so that their clients retry at another gateway
	Failing           // requests without an answer are failed
	Releasing         // streams are aborted; the state that engines hold for them is released
	Ended
)

// stateNames are log values that operators search for.
var stateNames = [...]string{
	Serving: "serving", Draining: "draining", HandedOver: "handed over", Terminating: "leaving",
	Finishing: "finishing", Rejecting: "refusing", Failing: "failing", Releasing: "releasing", Ended: "ended",
}

// String returns the state's name as used in logs.
func (s State) String() string { return stateNames[s] }
