package faultnet

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// echoServer answers each line with itself.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// lineClient is a connection on which lines are sent and answered.
type lineClient struct {
	t  *testing.T
	c  net.Conn
	in *bufio.Reader
}

func dialLines(t *testing.T, addr string) *lineClient {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &lineClient{t, c, bufio.NewReader(c)}
}

// answered sends a line and reports whether it comes back within a while. A lost connection shows no
// error: the line is taken, and nothing comes.
func (l *lineClient) answered(wait time.Duration) bool {
	l.t.Helper()
	if _, err := io.WriteString(l.c, "x\n"); err != nil {
		l.t.Fatal(err)
	}
	_ = l.c.SetReadDeadline(time.Now().Add(wait))
	_, err := l.in.ReadString('\n')
	if e, ok := err.(net.Error); err != nil && !(ok && e.Timeout()) {
		l.t.Fatalf("a lost connection shows %v", err)
	}
	return err == nil
}

const (
	longWait  = 10 * time.Second
	shortWait = 200 * time.Millisecond
)

// One connection is lost, whatever it does and whichever way, and the others go on.
func TestSingleConnectionsAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		ways Directions
	}{{"toward", ToServer}, {"back", ToClient}, {"both", Both}} {
		t.Run(c.name, func(t *testing.T) {
			n := New(1)
			defer n.Close()
			n.SetListener("b", echoServer(t))
			addr, err := n.Dial("a", "b")
			if err != nil {
				t.Fatal(err)
			}
			first, second := dialLines(t, addr), dialLines(t, addr)
			if !first.answered(longWait) || !second.answered(longWait) {
				t.Fatal("not answered before the loss")
			}
			if n.Lose("a", "b", AwaitingAnswer, c.ways) {
				t.Error("a connection in use was lost, and none is in use")
			}
			if !n.Lose("a", "b", Idle, c.ways) {
				t.Fatal("no connection at rest")
			}
			if one, other := first.answered(shortWait), second.answered(shortWait); one == other {
				t.Errorf("answered after the loss: %v and %v, want one", one, other)
			}
			if !dialLines(t, addr).answered(longWait) {
				t.Error("a new connection is not answered")
			}
		})
	}
}

// A machine that vanishes and is back answers on new connections, and on none of before.
func TestVanishedMachineIsBack(t *testing.T) {
	n := New(1)
	defer n.Close()
	n.SetListener("b", echoServer(t))
	addr, err := n.Dial("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	before := dialLines(t, addr)
	if !before.answered(longWait) {
		t.Fatal("not answered before")
	}
	n.TakeDown("b")
	during := dialLines(t, addr)
	if before.answered(shortWait) || during.answered(shortWait) {
		t.Error("answered by a machine that has vanished")
	}
	n.BringUp("b")
	if before.answered(shortWait) || during.answered(shortWait) {
		t.Error("a connection of before works again")
	}
	if !dialLines(t, addr).answered(longWait) {
		t.Error("a new connection is not answered")
	}
}
