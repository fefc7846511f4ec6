package deduplication

// Topology is what a gateway knows of others that serve the same clients. Each keeps keys of its own.
type Topology struct {
	StickyKeys         bool // whatever distributes the clients sends a key to the same gateway each time
	ConfiguredGateways int  // by the operator's file; 0: not stated
	PeersEnabled       bool // the gateways of the tier exchange membership
	ObservedGateways   int  // that share the engines, by membership or the catalogue
}

// AttemptsMayReachOtherGateways reports whether an earlier attempt may have gone to another gateway. Only an
// operator's statement that there is one gateway, or that keys are sticky, rules it out: a gateway that
// has just started, is partitioned, or has seen the others fail knows of none, and yet they may have
// served the key. Peers imply several gateways.
func (t Topology) AttemptsMayReachOtherGateways() bool {
	return !t.StickyKeys && (t.ConfiguredGateways != 1 || t.PeersEnabled || t.ObservedGateways > 1)
}
