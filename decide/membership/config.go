package membership

import (
	"cmp"
	"time"
)

// Config is what a machine is given at its start.
type Config struct {
	ID           string
	Addr         string
	Instance     uint64
	Incarnation  uint64   // above that of any earlier process of this ID, as far as is known
	JoinAddrs    []string // addresses to ping until some gateway answers
	ExpectedSize int      // gateways in the tier according to the operator; 0: unknown
	Seed         uint64
	MaxUpdates   int // in one message; 0 = 6

	// CountFitting returns how many of a message's updates fit into a datagram; nil: all. The
	// transport drops the rest, the last ones first.
	CountFitting func(Message) int

	ProbeInterval    time.Duration // between probes; 0 = 100 ms
	ProbeTimeout     time.Duration // for a direct answer; 0 = 80 ms
	SuspicionTimeout time.Duration // from the unanswered probe until a suspect is dead; 0 = 2.3 s
	DeadGrace        time.Duration // for which a dead gateway still counts as sharing the engines; 0 = 15 s
	ReapAfter        time.Duration // after which a majority removes the dead; 0 = 10 min
	ProtocolV1Only   bool          // use only the message kinds of the first protocol version: no sync, and no answer to one
}

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, 100*time.Millisecond)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, 80*time.Millisecond)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, 2300*time.Millisecond)
	c.DeadGrace = cmp.Or(c.DeadGrace, 15*time.Second)
	c.ReapAfter = cmp.Or(c.ReapAfter, 10*time.Minute)
	c.MaxUpdates = cmp.Or(c.MaxUpdates, 6)
}
