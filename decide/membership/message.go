package membership

import (
	"cmp"
	"time"
)

// Time is a point on the caller's clock, as the span since an origin of its choice.
type Time = time.Duration

// Status is how a gateway stands.
type Status uint8

// The statuses, in the order in which they override each other within one incarnation.
const (
	Alive   Status = iota
	Suspect        // silent towards somebody; it may refute
	Leaving        // says that it is about to end; it takes nothing new
	Dead           // silent for too long
	Left           // ended in good order
)

// String words a status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[min(s, Left)]
}

// Update is what one gateway says of another. Of two updates on one gateway that with the
// higher incarnation holds, then that with the higher status: so updates may come in any
// order and more than once.
type Update struct {
	ID          string
	Addr        string // where it is reached; may be empty in updates on the dead
	Incarnation uint64 // only the gateway itself raises it
	Status      Status
	Age         time.Duration // of a suspicion: since the probe that went unanswered, or Beat was heard
	Beat        uint32        // of a suspicion: the latest of its own beats that anybody has heard; 0: not told
}

// over tells whether u overrides v.
func (u Update) over(v Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Status, v.Status)) > 0
}

// Kind is a kind of message.
type Kind uint8

// The kinds of message.
const (
	Ping Kind = iota
	Ack
	PingFor // asks for a ping of a third gateway, in the name of the sender
	Want    // asks for the part of a view that follows a name, since views differ
	Have    // a piece of that part, up to the name that it tells; none ends the walk
)

// Message is what gateways send each other.
type Message struct {
	Kind     Kind
	From     string
	Instance uint64 // of the process: two with one name differ
	Addr     string // of the sender
	Seq      uint32 // of the ping that this is, answers or asks for
	About    string // PingFor: whom to ping; Ack: for whom it answers, if not the sender; Want: the name to go on after
	Epoch    uint64
	Digest   uint64 // of the sender's view
	Beat     uint32 // of the sender: its own clock in beatUnit, from 1 on; 0: not told
	Updates  []Update
}

// Send is a message and where it goes.
type Send struct {
	To string // address
	Message
}
