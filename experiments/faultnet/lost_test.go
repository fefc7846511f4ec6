package faultnet

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// echoServer starts a server that sends back all data that it receives, and returns its address.
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

// lineClient sends lines on a connection and reads their echoes.
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

// answered sends a line and reports whether its echo arrives before the timeout. A lost connection returns no
// error: the write succeeds, and no echo arrives.
func (l *lineClient) answered(timeout time.Duration) bool {
	l.t.Helper()
	if _, err := io.WriteString(l.c, "x\n"); err != nil {
		l.t.Fatal(err)
	}
	_ = l.c.SetReadDeadline(time.Now().Add(timeout))
	_, err := l.in.ReadString('\n')
	if e, ok := err.(net.Error); err != nil && !(ok && e.Timeout()) {
		l.t.Fatalf("a lost connection returned error %v, want only timeouts", err)
	}
	return err == nil
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 200 * time.Millisecond
)

// Lose loses one connection with the given state and directions; all others, existing and new, still work.
func TestSingleConnectionsAreLost(t *testing.T) {
	for _, c := range []struct {
		name       string
		directions Directions
	}{{"to server", ToServer}, {"to client", ToClient}, {"both", Both}} {
		t.Run(c.name, func(t *testing.T) {
			n := New(1)
			defer n.Close()
			n.SetListener("b", echoServer(t))
			addr, err := n.Dial("a", "b")
			if err != nil {
				t.Fatal(err)
			}
			first, second := dialLines(t, addr), dialLines(t, addr)
			if !first.answered(longTimeout) || !second.answered(longTimeout) {
				t.Fatal("not answered before the loss")
			}
			if n.Lose("a", "b", AwaitingAnswer, c.directions) {
				t.Error("Lose lost a connection that awaits an answer, and there is none")
			}
			if !n.Lose("a", "b", Idle, c.directions) {
				t.Fatal("Lose found no idle connection")
			}
			if one, other := first.answered(shortTimeout), second.answered(shortTimeout); one == other {
				t.Errorf("answered after the loss: %v and %v, want exactly one of the two", one, other)
			}
			if !dialLines(t, addr).answered(longTimeout) {
				t.Error("a new connection is not answered")
			}
		})
	}
}

// After BringUp, a machine answers on new connections, and on none opened before or while it was down.
func TestMachineDownAndUp(t *testing.T) {
	n := New(1)
	defer n.Close()
	n.SetListener("b", echoServer(t))
	addr, err := n.Dial("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	before := dialLines(t, addr)
	if !before.answered(longTimeout) {
		t.Fatal("not answered before the machine was down")
	}
	n.TakeDown("b")
	during := dialLines(t, addr)
	if before.answered(shortTimeout) || during.answered(shortTimeout) {
		t.Error("answered by a machine that is down")
	}
	n.BringUp("b")
	if before.answered(shortTimeout) || during.answered(shortTimeout) {
		t.Error("a lost connection works again after BringUp")
	}
	if !dialLines(t, addr).answered(longTimeout) {
		t.Error("a new connection is not answered")
	}
}
