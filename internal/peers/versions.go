package peers

import "wellgw/decide/membership"

// peerVersions are the protocol versions that other gateways have used, by address. To one that
// has not used the latest, one message in dualVersionEvery goes in both versions: a gateway
// answers in the version it knows, so after a roll forward or back each pair soon uses the
// latest that both know.
type peerVersions map[string]*spokenVersion

type spokenVersion struct {
	version byte
	sent    int // messages
}

// dualVersionEvery keeps the cost of a mixed tier to an eighth more datagrams.
const dualVersionEvery = 8

// forMessage returns the versions in which a message is to be sent.
func (v peerVersions) forMessage(to string, kind membership.Kind) []byte {
	peer := v[to]
	if peer == nil {
		if len(v) >= maxNames {
			clear(v)
		}
		peer = &spokenVersion{version: oldestVersion}
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

// noteHeard records the version of a message that has been received.
func (v peerVersions) noteHeard(from string, version byte) {
	if peer := v[from]; peer != nil {
		peer.version = version
	}
}
