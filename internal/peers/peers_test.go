package peers

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/decide/membership"
)

// waitLimit is the time limit for conditions that take well under a second on an idle machine.
const waitLimit = 20 * time.Second

func newKey(t *testing.T) string {
	t.Helper()
	var b [keySize]byte
	if _, err := rand.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	return base64.StdEncoding.EncodeToString(b[:])
}

func writeKeyFile(t *testing.T, dir, name string, keys ...string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte("# test keys\n"+strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readKeyring(t *testing.T, path string) *Keyring {
	t.Helper()
	k, err := ReadKeyring(path)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// startPeer runs the membership of one gateway; the returned function ends it.
func startPeer(t *testing.T, opt Options) (*Peers, func()) {
	t.Helper()
	opt.KeyCheckInterval = 20 * time.Millisecond
	opt.Listen, opt.Log = "127.0.0.1:0", slog.New(slog.NewTextHandler(io.Discard, nil))
	if opt.Tier == "" {
		opt.Tier = "tier"
	}
	p, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { p.Run(ctx) })
	end := sync.OnceFunc(func() { cancel(); group.Wait() })
	t.Cleanup(end)
	return p, end
}

func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !met(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", waitLimit, condition)
		}
	}
}

// aliveCount returns the number of peers that are alive in a gateway's view.
func aliveCount(p *Peers) (n int) {
	for _, g := range p.Status().View.Peers {
		if g.Status == membership.Alive {
			n++
		}
	}
	return n
}

// Gateways that join agree on one view. One that leaves is no longer counted and is not declared dead;
// after a restart it rejoins with a higher incarnation.
func TestJoinAndLeave(t *testing.T) {
	dir := t.TempDir()
	keys := writeKeyFile(t, dir, "keys", newKey(t))
	var mu sync.Mutex
	activeSeen := map[int]bool{}
	a, _ := startPeer(t, Options{Name: "a", Keys: readKeyring(t, keys), OnViewChange: func(v membership.View) {
		mu.Lock()
		activeSeen[v.ActiveGateways] = true
		mu.Unlock()
	}})
	b, _ := startPeer(t, Options{Name: "b", Keys: readKeyring(t, keys), Join: []string{a.Addr()}})
	c, end := startPeer(t, Options{Name: "c", Keys: readKeyring(t, keys), Join: []string{a.Addr()}, IncarnationFile: filepath.Join(dir, "incarnation")})
	waitFor(t, "all gateways have the same view", func() bool {
		x, y, z := a.Status().View, b.Status().View, c.Status().View
		return aliveCount(a) == 2 && x.Digest == y.Digest && y.Digest == z.Digest && x.Epoch == y.Epoch && y.Epoch == z.Epoch
	})
	first := c.Status().View.Self.Incarnation
	end()
	waitFor(t, "the gateway that left is not counted", func() bool {
		return aliveCount(a) == 1 && aliveCount(b) == 1 && a.Status().View.ActiveGateways == 2 && a.Status().View.Stats.Deaths == 0
	})
	restarted, _ := startPeer(t, Options{Name: "c", Keys: readKeyring(t, keys), Join: []string{b.Addr()}, IncarnationFile: filepath.Join(dir, "incarnation")})
	waitFor(t, "the restarted gateway is alive in all views", func() bool { return aliveCount(a) == 2 && aliveCount(restarted) == 2 })
	if got := restarted.Status().View.Self.Incarnation; got <= first {
		t.Errorf("incarnation %d after the restart, %d before", got, first)
	}
	mu.Lock()
	defer mu.Unlock()
	if !activeSeen[3] || !activeSeen[2] {
		t.Errorf("OnViewChange was called with these numbers of active gateways: %v; want 2 and 3 among them", activeSeen)
	}
}

// Rotating the keys, one gateway after the other, interrupts no communication, and an invalid key file
// changes no keys.
func TestKeyRotation(t *testing.T) {
	dir := t.TempDir()
	oldKey, nextKey := newKey(t), newKey(t)
	paths := []string{writeKeyFile(t, dir, "a", oldKey), writeKeyFile(t, dir, "b", oldKey)}
	a, _ := startPeer(t, Options{Name: "a", Keys: readKeyring(t, paths[0])})
	b, _ := startPeer(t, Options{Name: "b", Keys: readKeyring(t, paths[1]), Join: []string{a.Addr()}})
	bothAlive := func() bool { return aliveCount(a) == 1 && aliveCount(b) == 1 }
	waitFor(t, "both gateways are alive", bothAlive)
	for _, keys := range [][]string{{oldKey, nextKey}, {nextKey, oldKey}, {nextKey}} {
		for i, p := range []*Peers{a, b} { // one after the other, as operators do
			writeKeyFile(t, dir, filepath.Base(paths[i]), keys...)
			waitFor(t, "the key file is reloaded", func() bool { return len(*p.opt.Keys.keys.Load()) == len(keys) && keys[0] == sealingKey(p) })
			before := p.Counts().Received
			waitFor(t, "the gateway receives further datagrams", func() bool { return p.Counts().Received > before+3 && bothAlive() })
		}
	}
	if n := a.Counts(); n.UnknownKey+n.BadSeal > 0 || a.Status().View.Stats.Deaths+b.Status().View.Stats.Deaths > 0 {
		t.Errorf("datagrams rejected or deaths declared during the key rotation: %+v", n)
	}
	writeKeyFile(t, dir, "b", "no key")
	time.Sleep(200 * time.Millisecond)
	if sealingKey(b) != nextKey || !bothAlive() {
		t.Error("an invalid key file changed the keys or the view")
	}
}

// sealingKey returns the encrypting key of a gateway, in base64.
func sealingKey(p *Peers) string {
	return base64.StdEncoding.EncodeToString((*p.opt.Keys.keys.Load())[0].value)
}

// Unauthenticated, replayed and malformed datagrams are dropped and counted by reason, and the members
// of the tier stay alive during a flood of them.
func TestUnauthenticatedMessagesAreDropped(t *testing.T) {
	dir := t.TempDir()
	tierKey := newKey(t)
	keys := writeKeyFile(t, dir, "keys", tierKey)
	a, _ := startPeer(t, Options{Name: "a", Keys: readKeyring(t, keys)})
	b, _ := startPeer(t, Options{Name: "b", Keys: readKeyring(t, keys), Join: []string{a.Addr()}})
	startPeer(t, Options{Name: "x", Tier: "another", Keys: readKeyring(t, keys), Join: []string{a.Addr()}})
	startPeer(t, Options{Name: "y", Keys: readKeyring(t, writeKeyFile(t, dir, "other", newKey(t))), Join: []string{a.Addr()}})
	waitFor(t, "a and b are alive", func() bool { return aliveCount(a) == 1 && aliveCount(b) == 1 })

	k := (*a.opt.Keys.keys.Load())[0]
	sender := process{instance: 1 << 60, random: 5}
	aead, err := newAEAD(k.value, "tier", sender)
	if err != nil {
		t.Fatal(err)
	}
	payload, err := encode(oldestVersion, membership.Message{Kind: membership.Ping, From: "stranger", Addr: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	valid := seal(aead, oldestVersion, k.id, sender, 1, payload)
	forged := append([]byte(nil), valid...)
	forged[len(forged)-1] ^= 1
	newerVersion := append([]byte(nil), valid...)
	newerVersion[0] = latestVersion + 1
	badPayload := seal(aead, oldestVersion, k.id, sender, 2, []byte{9, 9, 9})
	conn, err := net.Dial("udp4", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	flood := func() {
		for _, datagram := range [][]byte{valid, valid, forged, newerVersion, badPayload, make([]byte, 20), make([]byte, 300)} {
			for range 100 {
				if _, err := conn.Write(datagram); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	waitFor(t, "each reason is counted", func() bool {
		flood()
		n := a.Counts()
		return n.Replayed > 0 && n.BadSeal > 0 && n.UnknownVersion > 0 && n.BadPayload > 0 && n.InvalidSize > 0 && n.UnknownKey > 0
	})
	waitFor(t, "the members are alive during the flood", func() bool { // on a busy machine a probe may fail
		flood()
		return aliveCount(a) == 1 && aliveCount(b) == 1
	})
	for _, member := range []*Peers{a, b} {
		if stats := member.Status().View.Stats; stats.Deaths > 0 {
			t.Errorf("a member died during the flood: %+v", stats)
		}
	}
}

// Encoding and decoding a message returns the same message, except for updates that do not fit, and
// decoding a truncated or random payload does not panic.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{1,24}`)
		addr := rapid.SampledFrom([]string{"127.0.0.1:1", "10.20.30.40:65535"})
		update := rapid.Custom(func(t *rapid.T) membership.Update {
			return membership.Update{
				ID: name.Draw(t, "id"), Addr: addr.Draw(t, "addr"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Status: membership.Status(rapid.IntRange(0, 4).Draw(t, "status")), SuspicionAge: ageUnit * time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")), Heartbeat: rapid.Uint32().Draw(t, "heartbeat"),
			}
		})
		m := membership.Message{
			Kind: membership.Kind(rapid.IntRange(0, int(membership.SyncReply)).Draw(t, "kind")), From: name.Draw(t, "from"), Addr: addr.Draw(t, "addr"),
			Seq: rapid.Uint32().Draw(t, "seq"), Subject: rapid.OneOf(rapid.Just(""), name).Draw(t, "subject"),
			Epoch: rapid.Uint64().Draw(t, "epoch"), Digest: rapid.Uint64().Draw(t, "digest"), Heartbeat: rapid.Uint32().Draw(t, "heartbeat"), Updates: rapid.SliceOfN(update, 0, 9).Draw(t, "updates"),
		}
		version := byte(rapid.IntRange(oldestVersion, latestVersion).Draw(t, "version"))
		if version == oldestVersion {
			m.Kind, m.Heartbeat = min(m.Kind, membership.PingReq), 0
			for i := range m.Updates {
				m.Updates[i].Heartbeat = 0
			}
		}
		b, err := encode(version, m)
		if err != nil || len(b) > maxPayload {
			t.Fatalf("encoded %d bytes, error %v", len(b), err)
		}
		got, err := decode(version, b)
		if err != nil || len(got.Updates) < min(len(m.Updates), 2) {
			t.Fatalf("decoded %d updates of %d, error %v", len(got.Updates), len(m.Updates), err)
		}
		m.Updates = m.Updates[:len(got.Updates)]
		if len(m.Updates) == 0 {
			m.Updates = nil
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("encoded %+v, decoded %+v", m, got)
		}
		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		_, _ = decode(version, b[:cut]) // must not panic at any length
		_, _ = decode(version, rapid.SliceOfN(rapid.Byte(), 0, maxPayload).Draw(t, "noise"))
	})
}

// A counter inside the replay window is accepted exactly once, in any order of the datagrams.
func TestReplayedDatagramsAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, accepted, highest := &replayWindow{}, map[uint64]bool{}, uint64(0)
		for _, jump := range rapid.SliceOfN(rapid.IntRange(-1200, 1200), 1, 400).Draw(t, "jumps") {
			n := uint64(max(1, int(highest)+jump))
			want := !accepted[n] && (n > highest || highest-n < replayWindowSize)
			if got := w.accept(n); got != want {
				t.Fatalf("counter %d with highest counter %d: accepted %v, want %v", n, highest, got, want)
			}
			accepted[n] = accepted[n] || want
			highest = max(highest, n)
		}
	})
}

// A gateway that restarts after its clock was set back has a lower instance than its earlier process.
// Its messages are treated as stale ones of an even earlier process until staleInstanceWindow has
// passed without an accepted message; then they are accepted.
func TestClockSetBack(t *testing.T) {
	a, end := startPeer(t, Options{Name: "a", Keys: readKeyring(t, writeKeyFile(t, t.TempDir(), "keys", newKey(t)))})
	end() // the test now owns the state that the goroutine in loop owned
	k := (*a.opt.Keys.keys.Load())[0]
	payload, err := encode(oldestVersion, membership.Message{Kind: membership.Ping, From: "b", Addr: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	accepts := func(instance, counter uint64) bool {
		sender := process{instance: instance, random: instance}
		aead, err := newAEAD(k.value, "tier", sender)
		if err != nil {
			t.Fatal(err)
		}
		_, verdict := a.receive(seal(aead, oldestVersion, k.id, sender, counter, payload))
		return verdict == currentMessage
	}
	if !accepts(9, 1) || accepts(5, 1) || a.Counts().StaleInstance != 1 {
		t.Errorf("a lower instance within the window was not rejected as stale: %+v", a.Counts())
	}
	a.lastProcesses["b"] = lastProcess{9, time.Now().Add(-2 * staleInstanceWindow)}
	if !accepts(5, 2) {
		t.Error("a lower instance was rejected after the window")
	}
}
