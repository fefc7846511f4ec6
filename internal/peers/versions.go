package peers

import "wellgw/decide/membership"

// peerVersions maps the address of a gateway to the protocol version that it last used. To a
// gateway that has not used the latest version, one message in dualVersionEvery is sent in both
// versions. Because a gateway answers in the latest version that it supports, each pair of gateways
// soon uses the latest version that both support, after an upgrade as well as after a rollback.
type peerVersions map[string]*peerVersion

type peerVersion struct {
	version byte
	sent    int // number of messages sent to it
}

// dualVersionEvery limits the cost of a tier with mixed versions to one eighth more datagrams.
const dualVersionEvery = 8

// forMessage returns the versions in which to send a message.
func (v peerVersions) forMessage(to string, kind membership.Kind) []byte {
	peer := v[to]
	if peer == nil {
		if len(v) >= maxPeerEntries {
			clear(v)
		}
		peer = &peerVersion{version: oldestVersion}
		v[to] = peer
	}
	peer.sent++
	switch {
	case kind > membership.PingReq || peer.version >= latestVersion:
		return []byte{latestVersion}
	case peer.sent%dualVersionEvery == 1:
		return []byte{oldestVersion, latestVersion}
	}
	return []byte{oldestVersion}
}

// recordReceived records the version of a message received from an address.
func (v peerVersions) recordReceived(from string, version byte) {
	if peer := v[from]; peer != nil {
		peer.version = version
	}
}
