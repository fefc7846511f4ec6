package membership

import (
	"cmp"
	"time"
)

// Config is the configuration of a Machine.
type Config struct {
	ID           string
	Addr         string
	Instance     uint64
	Incarnation  uint64   // above that of every known earlier process with this ID
	JoinAddrs    []string // addresses to ping until a gateway answers
	ExpectedSize int      // gateways in the tier as configured by the operator; 0: unknown
	Seed         uint64
	MaxUpdates   int // per message; 0 = 6

	// CountFitting returns how many of a message's updates fit into a datagram; nil: all. The
	// transport drops the updates beyond that number from the end.
	CountFitting func(Message) int

	ProbeInterval    time.Duration // between probes; 0 = 100 ms
	ProbeTimeout     time.Duration // for a direct answer to a ping; 0 = 80 ms
	SuspicionTimeout time.Duration // from the unanswered probe until the suspect is declared dead; 0 = 2.3 s
	DeadGrace        time.Duration // for which a dead gateway still counts as active; 0 = 15 s
	ReapAfter        time.Duration // after which dead members are removed, except in a minority; 0 = 10 min
	ProtocolV1Only   bool          // use only the message kinds of protocol version 1: no sync
}

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, 100*time.Millisecond)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, 80*time.Millisecond)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, 2300*time.Millisecond)
	c.DeadGrace = cmp.Or(c.DeadGrace, 15*time.Second)
	c.ReapAfter = cmp.Or(c.ReapAfter, 10*time.Minute)
	c.MaxUpdates = cmp.Or(c.MaxUpdates, 6)
}
