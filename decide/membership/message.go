package membership

import (
	"cmp"
	"time"
)

// Time is a point on the caller's clock, as the span since an origin of its choice.
type Time = time.Duration

// Status is the state of a gateway as another one sees it.
type Status uint8

// The statuses, in the order in which they override each other within one incarnation.
const (
	Alive   Status = iota
	Suspect        // a probe of it went unanswered; it may refute
	Leaving        // has announced its end and takes no new requests
	Dead           // the suspicion timeout has passed
	Left           // ended in good order
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[min(s, Left)]
}

// Update is the gossip about one gateway. Of two updates on one gateway the one with the
// higher incarnation holds, then the one with the higher status: so updates may arrive in
// any order and more than once.
type Update struct {
	ID           string
	Addr         string // where it is reached; may be empty in updates on the dead
	Incarnation  uint64 // only the gateway itself raises it
	Status       Status
	SuspicionAge time.Duration `json:"Age"`  // of a suspicion: since the unanswered probe was sent, or Heartbeat was heard
	Heartbeat    uint32        `json:"Beat"` // of a suspicion: the suspect's latest heartbeat that any gateway has heard; 0: unknown
}

// overrides tells whether u takes precedence over v.
func (u Update) overrides(v Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Status, v.Status)) > 0
}

// Kind is the kind of a message. The numbers are part of the datagrams' form.
type Kind uint8

// The kinds of message. The first version of the protocol knows those up to PingReq.
const (
	Ping        Kind = iota
	Ack              // answers a Ping
	PingReq          // asks for a ping of a third gateway on the sender's behalf: SWIM's indirect probe
	SyncRequest      // asks for the part of the receiver's view that follows a name
	SyncReply        // a piece of that part, up to the name in Subject; an empty name ends the sync
)

// Message is what gateways send each other.
type Message struct {
	Kind      Kind
	From      string
	Instance  uint64 // of the sending process: two processes with one name differ in it
	Addr      string // of the sender
	Seq       uint32 // of the ping that this is, answers or asks for
	Subject   string // PingReq: whom to ping; Ack: for whom it answers, if not the sender; SyncRequest, SyncReply: the last name covered
	Epoch     uint64
	Digest    uint64 // of the sender's view
	Heartbeat uint32 // the sender's own clock in heartbeatUnit, from 1 on; 0: unknown
	Updates   []Update
}

// Outgoing is a message and the address it goes to.
type Outgoing struct {
	To string
	Message
}
