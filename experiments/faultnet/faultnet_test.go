package faultnet

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"
)

// endpoint returns the socket of a process and the address of the relay in front of it.
func endpoint(t *testing.T, n *Net, name string) (conn *net.UDPConn, relayAddr string) {
	t.Helper()
	relayAddr, err := n.OpenPort(name)
	if err != nil {
		t.Fatal(err)
	}
	conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := n.SetBackend(name, conn.LocalAddr().String()); err != nil {
		t.Fatal(err)
	}
	return conn, relayAddr
}

// receiveAll reads datagrams until none has arrived for the idle time.
func receiveAll(t *testing.T, conn *net.UDPConn, idle time.Duration) (all []byte) {
	t.Helper()
	buf := make([]byte, 64)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idle))
		n, err := conn.Read(buf)
		if err != nil {
			return all
		}
		all = append(all, buf[:n]...)
	}
}

func TestEachDirectionHasItsOwnFaults(t *testing.T) {
	n := New(1)
	defer n.Close()
	a, addrA := endpoint(t, n, "a")
	b, addrB := endpoint(t, n, "b")
	send := func(from *net.UDPConn, to string, payloads ...byte) {
		t.Helper()
		at, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range payloads {
			if _, err := from.WriteToUDP([]byte{x}, at); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, c := range []struct {
		name string
		rule Rule
		want []byte
	}{
		{"no fault", Rule{}, []byte{1, 2}}, {"cut", Rule{Cut: true}, nil}, {"loss", Rule{Loss: 1}, nil},
		{"duplicate", Rule{Double: 1}, []byte{1, 1, 2, 2}},
		{"delay", Rule{Delay: 50 * time.Millisecond}, []byte{1, 2}},
	} {
		n.SetRule("a", "b", c.rule)
		send(a, addrB, 1, 2)
		all := receiveAll(t, b, 300*time.Millisecond)
		slices.Sort(all) // delayed datagrams may be reordered
		if !reflect.DeepEqual(all, c.want) {
			t.Errorf("%s: received %v, want %v", c.name, all, c.want)
		}
		send(b, addrA, 9)
		if all := receiveAll(t, a, 300*time.Millisecond); !reflect.DeepEqual(all, []byte{9}) {
			t.Errorf("%s: received %v in the other direction, want [9]", c.name, all)
		}
	}
	n.SetRule("a", "b", Rule{Stall: true})
	send(a, addrB, 5)
	if all := receiveAll(t, b, 300*time.Millisecond); all != nil {
		t.Errorf("stalled: received %v, want nothing", all)
	}
	n.SetRule("a", "b", Rule{})
	if all := receiveAll(t, b, 300*time.Millisecond); !reflect.DeepEqual(all, []byte{5}) {
		t.Errorf("after the stall: received %v, want [5]", all)
	}
}

func TestSchedulesRepeatAndShrink(t *testing.T) {
	names := []string{"a", "b", "c"}
	s := Generate(7, names, 30*time.Second, 2*time.Second)
	if len(s) < 10 || !reflect.DeepEqual(s, Generate(7, names, 30*time.Second, 2*time.Second)) {
		t.Fatalf("%d steps, want at least 10 and the same again from the same seed", len(s))
	}
	raw, err := json.Marshal(s)
	var decoded Schedule
	if err == nil {
		err = json.Unmarshal(raw, &decoded)
	}
	if err != nil || !reflect.DeepEqual(s, decoded) {
		t.Errorf("schedule differs after encoding and decoding, error %v", err)
	}
	runs := 0
	failing := []Step{s[2], s[len(s)-2]}
	short := Shrink(s, func(x Schedule) bool {
		runs++
		return !slices.ContainsFunc(failing, func(n Step) bool { return !slices.Contains(x, n) })
	})
	if !reflect.DeepEqual([]Step(short), failing) || runs > 10*len(s) {
		t.Errorf("shrunk to %d steps in %d runs: %v", len(short), runs, short)
	}
}

// A relay forwards a connection in both directions. A cut of one direction blocks only that one, and its data
// arrives after the cut; Reset resets the connection; a process that does not listen causes a reset.
func TestConnections(t *testing.T) {
	n := New(1)
	defer n.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n.SetListener("b", l.Addr().String())
	relay, err := n.Dial("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp4", relay)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	a := dial()
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	const longTimeout, shortTimeout = 10 * time.Second, 100 * time.Millisecond
	delivers := func(from, to net.Conn, text string, within time.Duration) bool {
		t.Helper()
		if _, err := from.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = to.SetReadDeadline(time.Now().Add(within))
		buf := make([]byte, 64)
		size, err := io.ReadAtLeast(to, buf, len(text))
		return err == nil && string(buf[:size]) == text
	}
	if !delivers(a, b, "ask", longTimeout) || !delivers(b, a, "answer", longTimeout) {
		t.Fatal("data is not relayed in both directions")
	}
	n.SetRule("a", "b", Rule{Cut: true})
	if delivers(a, b, "x", shortTimeout) || !delivers(b, a, "still", longTimeout) {
		t.Error("a cut of one direction must block that direction and not the other")
	}
	late := dial()
	n.SetRule("a", "b", Rule{Delay: time.Millisecond})
	_ = b.SetReadDeadline(time.Now().Add(longTimeout))
	delayed := make([]byte, 1)
	if _, err := b.Read(delayed); err != nil || delayed[0] != 'x' {
		t.Errorf("data sent during the cut: %q, %v", delayed, err)
	}
	second, err := l.Accept()
	if err != nil || !delivers(late, second, "late", longTimeout) {
		t.Errorf("a connection dialled during the cut does not work after it: %v", err)
	}
	n.Reset("a", "b")
	_ = a.SetReadDeadline(time.Now().Add(longTimeout))
	if _, err := a.Read(make([]byte, 8)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
	l.Close()
	// The relay accepts the connection before it finds that the process does not listen. Its reset may arrive
	// before the client has read the result of its connect, and net.Dial then returns the reset.
	gone, err := net.Dial("tcp4", relay)
	if err == nil {
		defer gone.Close()
		_ = gone.SetReadDeadline(time.Now().Add(longTimeout))
		_, err = gone.Read(make([]byte, 8))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("dialling a process that does not listen: error %v, want a connection reset", err)
	}
}
