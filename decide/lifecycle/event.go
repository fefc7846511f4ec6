package lifecycle

import "time"

// Event is something that happens to a process.
type Event interface{ isEvent() }

// Drain says that operators send clients away.
type Drain struct{}

// Activate says that operators end the drain.
type Activate struct{}

// HandOver says that a newer process is ready.
type HandOver struct{}

// Terminate is SIGTERM.
type Terminate struct{}

// ListenerLost says that clients can't be accepted any more.
type ListenerLost struct{}

// SettingsChanged says that other settings are in force.
type SettingsChanged struct{ MaxWait time.Duration }

// ClientsIdle says that no request has come for a while: clients have noticed.
type ClientsIdle struct{}

// AllDone says that no connection is open, and nothing is in hand or owed.
type AllDone struct{}

// Tick says that the time which Next named has come.
type Tick struct{}

func (Drain) isEvent()           {}
func (Activate) isEvent()        {}
func (HandOver) isEvent()        {}
func (Terminate) isEvent()       {}
func (ListenerLost) isEvent()    {}
func (SettingsChanged) isEvent() {}
func (ClientsIdle) isEvent()     {}
func (AllDone) isEvent()         {}
func (Tick) isEvent()            {}

// Action is something to be done once.
type Action uint8

// The actions.
const (
	StopListening    Action = iota
	AwaitClientsIdle        // post ClientsIdle once no request has come for a while
	AwaitAllDone            // post AllDone once that is so
	RejectWaiting
	FailWaiting
	AbortStreams
	Exit
)
