package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wellgw/decide/membership"
	"wellgw/experiments/faultnet"
	"wellgw/internal/admin"
	"wellgw/internal/enginetest"
	"wellgw/internal/peers"
)

const operatorConfig = `{"listen": "127.0.0.1:0", "zone": "z",
	"contracts": [{"name": "c", "effect": "free", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1}],
	"models": [{"name": "m", "contract": "c"}],
	"teams": [{"name": "t", "keys": ["k"], "models": ["m"]}],
	"engines": [{"id": "e", "address": "127.0.0.1:9", "role": "openai"}]}`

// tierGateway is one gateway of a tier, in a separate process.
type tierGateway struct {
	name, admin, url, keys string
	signal                 func(syscall.Signal)
	exited                 chan struct{}
}

// tier is a set of gateway processes, each behind a relay that can inject network faults.
type tier struct {
	t        *testing.T
	dir      string
	faults   *faultnet.Net
	names    []string
	relays   map[string]string // addresses of the relays, by slot
	gateways map[string]*tierGateway
}

// newTier starts gateways that join through the first two and waits until they agree. modify changes the
// peers object of a gateway's file; nil for no change.
func newTier(t *testing.T, names []string, modify func(name string, peers map[string]any)) *tier {
	t.Helper()
	if testing.Short() {
		t.Skip("starts several processes; run without -short")
	}
	w := &tier{t: t, dir: t.TempDir(), faults: faultnet.New(1), names: names, relays: map[string]string{}, gateways: map[string]*tierGateway{}}
	t.Cleanup(w.faults.Close)
	for _, name := range names {
		w.relay(name)
	}
	for _, name := range names {
		w.start(name, name, modify)
	}
	w.awaitAgreement("after the start")
	return w
}

func (w *tier) relay(name string) {
	w.t.Helper()
	addr, err := w.faults.OpenPort(name)
	if err != nil {
		w.t.Fatal(err)
	}
	w.relays[name] = addr
}

func tierKey(n byte) string { return base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{n}, 32)) }

func (m *tierGateway) setKeys(t *testing.T, keys ...string) {
	t.Helper()
	if err := os.WriteFile(m.keys, []byte(strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts a gateway with the given name behind the relay of a slot. Processes of one slot share the key
// file and the incarnation file.
func (w *tier) start(slot, name string, modify func(string, map[string]any)) *tierGateway {
	w.t.Helper()
	m := &tierGateway{name: name, keys: filepath.Join(w.dir, slot+".keys"), exited: make(chan struct{})}
	if _, err := os.Stat(m.keys); err != nil {
		m.setKeys(w.t, tierKey(7))
	}
	p := map[string]any{
		"listen": "127.0.0.1:0", "advertise": w.relays[slot], "name": name, "tier": "t", "key_file": m.keys,
		"join": []string{w.relays[w.names[0]], w.relays[w.names[min(1, len(w.names)-1)]]}, "incarnation_file": filepath.Join(w.dir, slot+".incarnation"),
	}
	if modify != nil {
		modify(name, p)
	}
	raw, err := json.Marshal(p)
	if err != nil {
		w.t.Fatal(err)
	}
	text := strings.Replace(operatorConfig, `"engines":`, fmt.Sprintf(`"admin": {"listen": "127.0.0.1:0"}, "peers": %s, "engines":`, raw), 1)
	cmd, url, addr := startServingAdmin(w.t, nil, "serve", "--operator", writeConfig(w.t, text))
	m.admin, m.url = addr, url
	m.signal = func(s syscall.Signal) { _ = cmd.Process.Signal(s) }
	go func() { defer close(m.exited); _ = cmd.Wait() }()
	w.t.Cleanup(func() { m.signal(syscall.SIGCONT); m.kill() })
	w.gateways[slot] = m
	if err := w.faults.SetBackend(slot, m.status(w.t).Listen); err != nil {
		w.t.Fatal(err)
	}
	return m
}

func (m *tierGateway) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *tierGateway) status(t *testing.T) (s peers.Status) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := admin.FetchPage(ctx, m.admin, admin.PeersPath, &s); err != nil {
		return peers.Status{}
	}
	return s
}

// peerView returns a gateway's view of a peer, and whether there is one.
func (m *tierGateway) peerView(t *testing.T, name string) (membership.Gateway, bool) {
	t.Helper()
	all := m.status(t).View.Peers
	index := slices.IndexFunc(all, func(g membership.Gateway) bool { return g.ID == name })
	if index < 0 {
		return membership.Gateway{}, false
	}
	return all[index], true
}

func (m *tierGateway) seesStatus(t *testing.T, name string, s membership.Status) bool {
	t.Helper()
	g, found := m.peerView(t, name)
	return found && g.Status == s
}

func alive(v membership.View) (n int) {
	for _, g := range v.Peers {
		if g.Status == membership.Alive {
			n++
		}
	}
	return n
}

// awaitAgreement waits until all gateways have the same view, in which all are alive.
func (w *tier) awaitAgreement(when string) {
	w.t.Helper()
	enginetest.Eventually(w.t, when+": all gateways agree", func() bool {
		var first membership.View
		for i, name := range w.names {
			v := w.gateways[name].status(w.t).View
			if i == 0 {
				first = v
			}
			if alive(v) < len(w.names)-1 || v.Digest != first.Digest || v.Epoch != first.Epoch {
				return false
			}
		}
		return true
	})
}

// awaitIncarnation waits until one gateway sees another at that one's current incarnation. The incarnation may
// increase meanwhile, when a gateway refutes a late suspicion.
func (w *tier) awaitIncarnation(observer, name string) {
	w.t.Helper()
	enginetest.Eventually(w.t, observer+" sees the incarnation of "+name, func() bool {
		self := w.gateways[name].status(w.t).View.Self.Incarnation
		peer, found := w.gateways[observer].peerView(w.t, name)
		return found && peer.Incarnation == self
	})
}

// eventually waits until the status of every named gateway satisfies the condition.
func (w *tier) eventually(what string, names []string, condition func(peers.Status) bool) {
	w.t.Helper()
	for _, name := range names {
		enginetest.Eventually(w.t, name+": "+what, func() bool { return condition(w.gateways[name].status(w.t)) })
	}
}

// setPartition applies a rule to both directions between two sets of gateways.
func (w *tier) setPartition(sideA, sideB []string, r faultnet.Rule) {
	for _, a := range sideA {
		for _, b := range sideB {
			w.faults.SetRule(a, b, r)
			w.faults.SetRule(b, a, r)
		}
	}
}

func minority(s peers.Status) bool { return s.View.Minority }

func majority(s peers.Status) bool { return s.View.ActiveGateways > 0 && !s.View.Minority }
