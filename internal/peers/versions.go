package peers

import "wellgw/decide/membership"

// peerVersions are those that others have been heard to speak, by address. To one not known to
// speak the latest every eighth message goes in both: it answers in what it knows, so after
// a roll forward or back each pair soon speaks the latest that both have.
type peerVersions map[string]*spokenVersion

type spokenVersion struct {
	version byte
	sent    int
}

const dualVersionEvery = 8

// forMessage tells in which versions a message is to be sent.
func (v peerVersions) forMessage(to string, k membership.Kind) []byte {
	x := v[to]
	if x == nil {
		if len(v) >= maxNames {
			clear(v)
		}
		x = &spokenVersion{version: oldestVersion}
		v[to] = x
	}
	x.sent++
	switch {
	case k > membership.PingReq || x.version >= latestVersion:
		return []byte{latestVersion}
	case x.sent%dualVersionEvery == 1:
		return []byte{oldestVersion, latestVersion}
	}
	return []byte{oldestVersion}
}

func (v peerVersions) noteHeard(from string, as byte) {
	if x := v[from]; x != nil {
		x.version = as
	}
}
