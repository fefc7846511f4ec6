package lifecycle

import "time"

// Event is something that happens to a process.
type Event interface{ isEvent() }

// Drain says that operators send clients away.
type Drain struct{}

// Activate says that operators end the drain.
type Activate struct{}

// HandOver says that a newer process on the same socket is ready.
type HandOver struct{}

// Terminate says that the process is told to end, by SIGTERM or an interrupt.
type Terminate struct{}

// ListenerLost says that clients can't be accepted any more.
type ListenerLost struct{}

// SettingsChanged says that other settings are in force; see Limits.MaxFirstEventWait.
type SettingsChanged struct{ MaxFirstEventWait time.Duration }

// ClientsIdle says that no request has come for a while: clients have noticed the shutdown. It
// answers AwaitClientsIdle.
type ClientsIdle struct{}

// WorkCompleted says that no connection is open, no request in flight and no release owed to an engine.
// It answers AwaitWorkCompleted.
type WorkCompleted struct{}

// Tick says that the time which NextTick named has come.
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

// Action is something that the caller of Process.Handle has to do once.
type Action uint8

// The actions.
const (
	StopListening      Action = iota
	AwaitClientsIdle          // post ClientsIdle once no request has come for a while
	AwaitWorkCompleted        // post WorkCompleted once that is so
	RejectWaiting             // reject the requests that no engine has been sent
	FailWaiting               // fail those too whose engine may be about to answer
	AbortStreams              // close every connection, streams included
	Exit
)
