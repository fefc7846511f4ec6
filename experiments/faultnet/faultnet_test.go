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

// end is a process's socket behind a relay.
func end(t *testing.T, n *Net, name string) (conn *net.UDPConn, public string) {
	t.Helper()
	public, err := n.OpenPort(name)
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
	return conn, public
}

// got reads what comes until nothing has for a while.
func got(t *testing.T, conn *net.UDPConn, quiet time.Duration) (all []byte) {
	t.Helper()
	buf := make([]byte, 64)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
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
	a, atA := end(t, n, "a")
	b, atB := end(t, n, "b")
	say := func(from *net.UDPConn, to string, list ...byte) {
		t.Helper()
		at, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range list {
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
		{"none", Rule{}, []byte{1, 2}}, {"cut", Rule{Cut: true}, nil}, {"loss", Rule{Loss: 1}, nil},
		{"doubled", Rule{Double: 1}, []byte{1, 1, 2, 2}}, {"late", Rule{Delay: 50 * time.Millisecond}, []byte{1, 2}},
	} {
		n.SetRule("a", "b", c.rule)
		say(a, atB, 1, 2)
		all := got(t, b, 300*time.Millisecond)
		slices.Sort(all) // what comes late may overtake
		if !reflect.DeepEqual(all, c.want) {
			t.Errorf("%s: %v came, want %v", c.name, all, c.want)
		}
		say(b, atA, 9)
		if all := got(t, a, 300*time.Millisecond); !reflect.DeepEqual(all, []byte{9}) {
			t.Errorf("%s: the other direction brought %v", c.name, all)
		}
	}
	n.SetRule("a", "b", Rule{Stall: true})
	say(a, atB, 5)
	if all := got(t, b, 300*time.Millisecond); all != nil {
		t.Errorf("stalled: %v came", all)
	}
	n.SetRule("a", "b", Rule{})
	if all := got(t, b, 300*time.Millisecond); !reflect.DeepEqual(all, []byte{5}) {
		t.Errorf("after the stall %v came", all)
	}
}

func TestSchedulesRepeatAndShrink(t *testing.T) {
	names := []string{"a", "b", "c"}
	s := Generate(7, names, 30*time.Second, 2*time.Second)
	if len(s) < 10 || !reflect.DeepEqual(s, Generate(7, names, 30*time.Second, 2*time.Second)) {
		t.Fatalf("%d steps, or others the second time", len(s))
	}
	raw, err := json.Marshal(s)
	var back Schedule
	if err == nil {
		err = json.Unmarshal(raw, &back)
	}
	if err != nil || !reflect.DeepEqual(s, back) {
		t.Errorf("written and read again: %v", err)
	}
	plays := 0
	need := []Step{s[2], s[len(s)-2]}
	short := Shrink(s, func(x Schedule) bool {
		plays++
		return !slices.ContainsFunc(need, func(n Step) bool { return !slices.Contains(x, n) })
	})
	if !reflect.DeepEqual([]Step(short), need) || plays > 10*len(s) {
		t.Errorf("shrunk to %d steps in %d plays: %v", len(short), plays, short)
	}
}

// A connection is carried both ways; a cut of one direction holds just that one, a stall is
// made up for, a reset is a reset, and who is not there refuses.
func TestConnections(t *testing.T) {
	n := New(1)
	defer n.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n.SetListener("b", l.Addr().String())
	way, err := n.Dial("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp4", way)
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
	const wide, brief = 10 * time.Second, 100 * time.Millisecond
	says := func(from, to net.Conn, text string, within time.Duration) bool {
		t.Helper()
		if _, err := from.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = to.SetReadDeadline(time.Now().Add(within))
		buf := make([]byte, 64)
		size, err := io.ReadAtLeast(to, buf, len(text))
		return err == nil && string(buf[:size]) == text
	}
	if !says(a, b, "ask", wide) || !says(b, a, "answer", wide) {
		t.Fatal("not carried")
	}
	n.SetRule("a", "b", Rule{Cut: true})
	if says(a, b, "x", brief) || !says(b, a, "still", wide) {
		t.Error("the cut of one direction is not that of the one")
	}
	late := dial()
	n.SetRule("a", "b", Rule{Delay: time.Millisecond})
	_ = b.SetReadDeadline(time.Now().Add(wide))
	held := make([]byte, 1)
	if _, err := b.Read(held); err != nil || held[0] != 'x' {
		t.Errorf("what the cut held: %q, %v", held, err)
	}
	second, err := l.Accept()
	if err != nil || !says(late, second, "late", wide) {
		t.Errorf("who dialled into the cut is not carried after it: %v", err)
	}
	n.Reset("a", "b")
	_ = a.SetReadDeadline(time.Now().Add(wide))
	if _, err := a.Read(make([]byte, 8)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
	l.Close()
	// The way accepts before it finds that nobody listens. Its reset may come before the dialler has
	// looked at how its connect went, which then reports it.
	gone, err := net.Dial("tcp4", way)
	if err == nil {
		defer gone.Close()
		_ = gone.SetReadDeadline(time.Now().Add(wide))
		_, err = gone.Read(make([]byte, 8))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("nobody listens, and the way says %v", err)
	}
}
