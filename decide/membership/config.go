package membership

import (
	"cmp"
	"time"
)

// Config is what a machine is given at its start.
type Config struct {
	ID          string
	Addr        string
	Instance    uint64
	Incarnation uint64   // above that of any earlier life, as far as is known
	Join        []string // addresses to ask until somebody answers
	Expect      int      // gateways that the operator says there are; 0: not said
	Seed        uint64
	Updates     int // most updates in one message

	// Fits tells how many of a message's updates its carrier has room for; nil: all. The
	// rest is left out on the way, the last ones first.
	Fits func(Message) int

	Interval  time.Duration // between probes; 0 = 100 ms
	Timeout   time.Duration // for a direct answer; 0 = 80 ms
	DeadAfter time.Duration // of silence, proven by a probe; 0 = 2.3 s
	Hold      time.Duration // for which one that died still counts as sharing; 0 = 15 s
	Forget    time.Duration // after which a majority forgets the dead; 0 = 10 min
	Plain     bool          // send only the kinds that the first version knew: no Want, and no answer to one
}

func (c *Config) fill() {
	c.Interval = cmp.Or(c.Interval, 100*time.Millisecond)
	c.Timeout = cmp.Or(c.Timeout, 80*time.Millisecond)
	c.DeadAfter = cmp.Or(c.DeadAfter, 2300*time.Millisecond)
	c.Hold = cmp.Or(c.Hold, 15*time.Second)
	c.Forget = cmp.Or(c.Forget, 10*time.Minute)
	c.Updates = cmp.Or(c.Updates, 6)
}
