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

const wide = 20 * time.Second // for what takes well under a second on a machine at rest

func newKey(t *testing.T) string {
	t.Helper()
	var b [keySize]byte
	if _, err := rand.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	return base64.StdEncoding.EncodeToString(b[:])
}

func keyFile(t *testing.T, dir, name string, keys ...string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte("# keys of a test\n"+strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func ring(t *testing.T, path string) *Keyring {
	t.Helper()
	k, err := ReadKeyring(path)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// begin runs one gateway's part; the returned function ends it.
func begin(t *testing.T, opt Options) (*Peers, func()) {
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
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { p.Run(ctx) })
	end := sync.OnceFunc(func() { stop(); group.Wait() })
	t.Cleanup(end)
	return p, end
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(wide); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", wide, what)
		}
	}
}

// alive counts the others that a gateway holds for alive.
func alive(p *Peers) (n int) {
	for _, g := range p.Status().View.Peers {
		if g.Status == membership.Alive {
			n++
		}
	}
	return n
}

func TestJoinAndLeave(t *testing.T) {
	dir := t.TempDir()
	keys := keyFile(t, dir, "keys", newKey(t))
	var mu sync.Mutex
	told := map[int]bool{}
	a, _ := begin(t, Options{Name: "a", Keys: ring(t, keys), OnViewChange: func(v membership.View) {
		mu.Lock()
		told[v.ActiveGateways] = true
		mu.Unlock()
	}})
	b, _ := begin(t, Options{Name: "b", Keys: ring(t, keys), Join: []string{a.Addr()}})
	c, end := begin(t, Options{Name: "c", Keys: ring(t, keys), Join: []string{a.Addr()}, IncarnationFile: filepath.Join(dir, "incarnation")})
	until(t, "all hold one view", func() bool {
		x, y, z := a.Status().View, b.Status().View, c.Status().View
		return alive(a) == 2 && x.Digest == y.Digest && y.Digest == z.Digest && x.Epoch == y.Epoch && y.Epoch == z.Epoch
	})
	first := c.Status().View.Self.Incarnation
	end()
	until(t, "the one that left does not count", func() bool {
		return alive(a) == 1 && alive(b) == 1 && a.Status().View.ActiveGateways == 2 && a.Status().View.Stats.Deaths == 0
	})
	again, _ := begin(t, Options{Name: "c", Keys: ring(t, keys), Join: []string{b.Addr()}, IncarnationFile: filepath.Join(dir, "incarnation")})
	until(t, "it is back", func() bool { return alive(a) == 2 && alive(again) == 2 })
	if got := again.Status().View.Self.Incarnation; got <= first {
		t.Errorf("back with incarnation %d, %d before", got, first)
	}
	mu.Lock()
	defer mu.Unlock()
	if !told[3] || !told[2] {
		t.Errorf("told of %v gateways that share", told)
	}
}

func TestKeysRotateWithoutAGap(t *testing.T) {
	dir := t.TempDir()
	old, next := newKey(t), newKey(t)
	paths := []string{keyFile(t, dir, "a", old), keyFile(t, dir, "b", old)}
	a, _ := begin(t, Options{Name: "a", Keys: ring(t, paths[0])})
	b, _ := begin(t, Options{Name: "b", Keys: ring(t, paths[1]), Join: []string{a.Addr()}})
	both := func() bool { return alive(a) == 1 && alive(b) == 1 }
	until(t, "both are there", both)
	for _, keys := range [][]string{{old, next}, {next, old}, {next}} {
		for i, p := range []*Peers{a, b} { // one after the other, as in service
			keyFile(t, dir, filepath.Base(paths[i]), keys...)
			until(t, "the file is read", func() bool { return len(*p.opt.Keys.keys.Load()) == len(keys) && keys[0] == keyText(p) })
			got := p.Counts().Received
			until(t, "it hears on", func() bool { return p.Counts().Received > got+3 && both() })
		}
	}
	if n := a.Counts(); n.UnknownKey+n.BadSeal > 0 || a.Status().View.Stats.Deaths+b.Status().View.Stats.Deaths > 0 {
		t.Errorf("while keys were rotated: %+v", n)
	}
	keyFile(t, dir, "b", "no key")
	time.Sleep(200 * time.Millisecond)
	if keyText(b) != next || !both() {
		t.Error("a broken key file changed the keys")
	}
}

func keyText(p *Peers) string {
	return base64.StdEncoding.EncodeToString((*p.opt.Keys.keys.Load())[0].value)
}

// What strangers send is dropped by kind, and the tier goes on while they flood it.
func TestUnauthenticatedMessagesAreDropped(t *testing.T) {
	dir := t.TempDir()
	good := newKey(t)
	keys := keyFile(t, dir, "keys", good)
	a, _ := begin(t, Options{Name: "a", Keys: ring(t, keys)})
	b, _ := begin(t, Options{Name: "b", Keys: ring(t, keys), Join: []string{a.Addr()}})
	begin(t, Options{Name: "x", Tier: "another", Keys: ring(t, keys), Join: []string{a.Addr()}})
	begin(t, Options{Name: "y", Keys: ring(t, keyFile(t, dir, "other", newKey(t))), Join: []string{a.Addr()}})
	until(t, "b is there", func() bool { return alive(a) == 1 && alive(b) == 1 })

	k := (*a.opt.Keys.keys.Load())[0]
	me := process{instance: 1 << 60, random: 5}
	aead, err := newAEAD(k.value, "tier", me)
	if err != nil {
		t.Fatal(err)
	}
	payload, err := encode(oldestVersion, membership.Message{Kind: membership.Ping, From: "stranger", Addr: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	whole := seal(aead, oldestVersion, k.id, me, 1, payload)
	forged := append([]byte(nil), whole...)
	forged[len(forged)-1] ^= 1
	later := append([]byte(nil), whole...)
	later[0] = latestVersion + 1 // to come
	junk := seal(aead, oldestVersion, k.id, me, 2, []byte{9, 9, 9})
	conn, err := net.Dial("udp4", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	until(t, "each kind is counted", func() bool {
		for _, datagram := range [][]byte{whole, whole, forged, later, junk, make([]byte, 20), make([]byte, 300)} {
			for range 100 {
				if _, err := conn.Write(datagram); err != nil {
					t.Fatal(err)
				}
			}
		}
		n := a.Counts()
		return n.Replayed > 0 && n.BadSeal > 0 && n.UnknownVersion > 0 && n.BadPayload > 0 && n.InvalidSize > 0 && n.UnknownKey > 0
	})
	if alive(a) != 1 || a.Status().View.Stats.Deaths > 0 || b.Status().View.Stats.Deaths > 0 {
		t.Errorf("under a flood: %d alive, stats %+v", alive(a), a.Status().View.Stats)
	}
}

func TestMessagesSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{1,24}`)
		addr := rapid.SampledFrom([]string{"127.0.0.1:1", "10.20.30.40:65535"})
		update := rapid.Custom(func(t *rapid.T) membership.Update {
			return membership.Update{
				ID: name.Draw(t, "id"), Addr: addr.Draw(t, "addr"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Status: membership.Status(rapid.IntRange(0, 4).Draw(t, "status")), SuspicionAge: ageUnit * time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")), Heartbeat: rapid.Uint32().Draw(t, "beat"),
			}
		})
		m := membership.Message{
			Kind: membership.Kind(rapid.IntRange(0, int(membership.SyncReply)).Draw(t, "kind")), From: name.Draw(t, "from"), Addr: addr.Draw(t, "addr"),
			Seq: rapid.Uint32().Draw(t, "seq"), Subject: rapid.OneOf(rapid.Just(""), name).Draw(t, "about"),
			Epoch: rapid.Uint64().Draw(t, "epoch"), Digest: rapid.Uint64().Draw(t, "digest"), Heartbeat: rapid.Uint32().Draw(t, "beat"), Updates: rapid.SliceOfN(update, 0, 9).Draw(t, "updates"),
		}
		as := byte(rapid.IntRange(oldestVersion, latestVersion).Draw(t, "version"))
		if as == oldestVersion {
			m.Kind, m.Heartbeat = min(m.Kind, membership.PingReq), 0
			for i := range m.Updates {
				m.Updates[i].Heartbeat = 0
			}
		}
		b, err := encode(as, m)
		if err != nil || len(b) > maxPayload {
			t.Fatalf("%d bytes, %v", len(b), err)
		}
		got, err := decode(as, b)
		if err != nil || len(got.Updates) < min(len(m.Updates), 2) {
			t.Fatalf("%d updates of %d, %v", len(got.Updates), len(m.Updates), err)
		}
		m.Updates = m.Updates[:len(got.Updates)]
		if len(m.Updates) == 0 {
			m.Updates = nil
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("sent %+v, read %+v", m, got)
		}
		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		_, _ = decode(as, b[:cut]) // must not panic, whatever is missing
		_, _ = decode(as, rapid.SliceOfN(rapid.Byte(), 0, maxPayload).Draw(t, "noise"))
	})
}

// A counter passes once, however the datagrams are ordered.
func TestReplayedMessagesAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, seen, top := &replayWindow{}, map[uint64]bool{}, uint64(0)
		for _, jump := range rapid.SliceOfN(rapid.IntRange(-1200, 1200), 1, 400).Draw(t, "jumps") {
			n := uint64(max(1, int(top)+jump))
			want := !seen[n] && (n > top || top-n < replayWindowSize)
			if got := w.accept(n); got != want {
				t.Fatalf("counter %d with %d the highest: passes %v, want %v", n, top, got, want)
			}
			seen[n] = seen[n] || want
			top = max(top, n)
		}
	})
}

// A gateway that restarts after its clock went back has a lower instance than before. What
// comes right after its former life is taken for that life's; after a silence it is heard.
func TestClockSetBack(t *testing.T) {
	a, end := begin(t, Options{Name: "a", Keys: ring(t, keyFile(t, t.TempDir(), "keys", newKey(t)))})
	end() // from here on the test is the goroutine that owns it
	k := (*a.opt.Keys.keys.Load())[0]
	payload, err := encode(oldestVersion, membership.Message{Kind: membership.Ping, From: "b", Addr: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	hears := func(instance, counter uint64) bool {
		who := process{instance: instance, random: instance}
		aead, err := newAEAD(k.value, "tier", who)
		if err != nil {
			t.Fatal(err)
		}
		_, how := a.receive(seal(aead, oldestVersion, k.id, who, counter, payload))
		return how == currentMessage
	}
	if !hears(9, 1) || hears(5, 1) || a.Counts().StaleInstance != 1 {
		t.Errorf("of an earlier life: %+v", a.Counts())
	}
	a.lastProcesses["b"] = lastProcess{9, time.Now().Add(-2 * staleInstanceWindow)}
	if !hears(5, 2) {
		t.Error("a lower instance is still not heard after a long silence")
	}
}
