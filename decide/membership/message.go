package membership

import (
	"cmp"
	"time"
)

// Time is a time on the caller's clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Status is the state of a gateway in the view of another one.
type Status uint8

// The statuses, in the order in which they override each other within one incarnation.
const (
	Alive   Status = iota
	Suspect        // did not answer a probe; it may refute the suspicion
	Leaving        // has announced that it will stop, and accepts no new requests
	Dead           // its suspicion has timed out
	Left           // stopped gracefully
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[min(s, Left)]
}

// Update is the gossip about one gateway. Of two updates on one gateway, the one with the higher
// incarnation takes precedence, then the one with the higher status: updates may therefore arrive in
// any order and more than once.
type Update struct {
	ID           string
	Addr         string // its network address; may be empty in updates on dead gateways
	Incarnation  uint64 // increased only by the gateway itself
	Status       Status
	SuspicionAge time.Duration `json:"Age"`  // of a suspicion: since the unanswered probe, or since Heartbeat
	Heartbeat    uint32        `json:"Beat"` // of a suspicion: the suspect's latest known heartbeat; 0: unknown
}

// overrides reports whether u takes precedence over v.
func (u Update) overrides(v Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Status, v.Status)) > 0
}

// Kind is the kind of a message. The numbers are part of the datagram format.
type Kind uint8

// The kinds of messages. Version 1 of the protocol has those up to PingReq.
const (
	Ping        Kind = iota
	Ack              // answers a Ping
	PingReq          // requests a ping of a third gateway on the sender's behalf: SWIM's indirect probe
	SyncRequest      // requests the part of the receiver's view that follows a name
	SyncReply        // a section of that part, up to the name in Subject; an empty name ends the sync
)

// Message is a message between gateways.
type Message struct {
	Kind     Kind
	From     string
	Instance uint64 // of the sending process: unique among processes with the same name
	Addr     string // of the sender
	Seq      uint32 // of the ping that this message is, answers or requests
	// Subject is the target's name in a PingReq, the name of the pinged gateway in an Ack if it is
	// not the sender, and the last name covered in a SyncRequest or SyncReply.
	Subject   string
	Epoch     uint64
	Digest    uint64 // of the sender's view
	Heartbeat uint32 // the sender's own clock in units of heartbeatUnit, starting at 1; 0: unknown
	Updates   []Update
}

// Outgoing is a message and its destination address.
type Outgoing struct {
	To string
	Message
}
