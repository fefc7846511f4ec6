package lifecycle

// State is what a process is doing.
type State uint8

// The states, in the order in which a process can pass through them.
const (
	Serving     State = iota
	Draining          // operators send clients away; Activate ends it
	HandedOver        // a newer process accepts the clients; requests in flight go on
	Terminating       // told to end; its clients have yet to notice and are served as before
	Finishing         // told to end; nothing new is accepted, requests in flight go on
	Rejecting         // requests that wait are rejected, so that their clients try elsewhere
	Failing           // what is still unanswered is failed
	Releasing         // streams are cut off; what engines hold for them is released
	Ended
)

// stateNames are values in logs, where people search for them.
var stateNames = [...]string{
	Serving: "serving", Draining: "draining", HandedOver: "handed over", Terminating: "leaving", Finishing: "finishing",
	Rejecting: "refusing", Failing: "failing", Releasing: "releasing", Ended: "ended",
}

// String returns the state's name, as logs have it.
func (s State) String() string { return stateNames[s] }
