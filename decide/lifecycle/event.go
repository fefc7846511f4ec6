package lifecycle

import "time"

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Drain is the operators' command to direct clients to other gateways.
type Drain struct{}

// Activate is the operators' command to end the drain.
type Activate struct{}

// HandOver reports that a newer process on the same socket is ready.
type HandOver struct{}

// Terminate reports a request to end the process, by SIGTERM or an interrupt.
type Terminate struct{}

// ListenerLost reports that clients can no longer be accepted.
type ListenerLost struct{}

// SettingsChanged reports a change of the settings in force; see Limits.MaxFirstEventWait.
type SettingsChanged struct{ MaxFirstEventWait time.Duration }

// ClientsIdle reports that no request has arrived for a while, which shows that clients have noticed the
// shutdown. It is the response to AwaitClientsIdle.
type ClientsIdle struct{}

// WorkCompleted reports that no connection is open, no request is in flight and no release to an engine is
// pending. It is the response to AwaitWorkCompleted.
type WorkCompleted struct{}

// Tick reports that the time returned by NextTick has been reached.
type Tick struct{}

func (Drain) isEvent()           {}
func (Activate) isEvent()        {}
func (HandOver) isEvent()        {}
func (Terminate) isEvent()       {}
func (ListenerLost) isEvent()    {}
func (SettingsChanged) isEvent() {}
func (ClientsIdle) isEvent()     {}
func (WorkCompleted) isEvent()   {}
func (Tick) isEvent()            {}

// Action is an operation that the caller of Process.Handle must execute once.
type Action uint8

// The actions.
const (
	StopListening      Action = iota
	AwaitClientsIdle          // post ClientsIdle once no request has arrived for a while
	AwaitWorkCompleted        // post WorkCompleted once its conditions hold
	RejectWaiting             // reject the requests that have not been sent to an engine
	FailWaiting               // also fail the requests whose engine may be about to answer
	AbortStreams              // close every connection, including streams
	Exit
)
