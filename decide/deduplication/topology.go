package deduplication

// Topology describes which other gateways may serve the same clients. Each gateway stores its own keys.
type Topology struct {
	StickyKeys         bool // the load balancer always sends a key to the same gateway
	ConfiguredGateways int  // number in the operator's file; 0: not specified
	PeersEnabled       bool // the gateways of the tier exchange membership
	ObservedGateways   int  // number that share the engines, by membership or the catalogue
}

// AttemptsMayReachOtherGateways reports whether an earlier attempt may have reached another gateway. Only the
// operator's configuration of a single gateway or of sticky keys rules it out: a gateway that has just
// started, is partitioned, or has seen the other gateways fail observes none, although they may have served
// the key. Enabled peers imply several gateways.
func (t Topology) AttemptsMayReachOtherGateways() bool {
	return !t.StickyKeys && (t.ConfiguredGateways != 1 || t.PeersEnabled || t.ObservedGateways > 1)
}
