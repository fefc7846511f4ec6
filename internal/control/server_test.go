package control

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		want Command
		ok   bool
	}{
		{"status", Command{Verb: Status}, true},
		{"  standby ", Command{Verb: Standby}, true},
		{"active", Command{Verb: Active}, true},
		{"maint-on e1", Command{Verb: MaintOn, EngineID: "e1"}, true},
		{"maint-off\te1", Command{Verb: MaintOff, EngineID: "e1"}, true},
		{"maint-on", Command{}, false},
		{"maint-on a b", Command{}, false},
		{"status now", Command{}, false},
		{"", Command{}, false},
		{"reboot", Command{}, false},
		{"STATUS", Command{}, false},
	} {
		t.Run(c.line, func(t *testing.T) {
			got, err := Parse(c.line)
			if errors.Is(err, ErrMalformedCommand) == c.ok || (err == nil) != c.ok || got != c.want {
				t.Errorf("Parse: %+v, %v, want %+v, valid %v", got, err, c.want, c.ok)
			}
		})
	}
}

// serve starts a control listener with handler h and returns its address.
func serve(t *testing.T, h Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); Serve(ctx, l, h, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() { stop(); <-done })
	return l.Addr().String()
}

func acceptStatusAndE1(_ context.Context, c Command) bool {
	return c.Verb == Status || c.EngineID == "e1"
}

// send sends request, waits for the answer and returns its first line.
func send(t *testing.T, addr, request string, closeWrite bool) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, request)
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // only bounds a failing test
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestCommandAnswers(t *testing.T) {
	addr := serve(t, acceptStatusAndE1)
	for _, c := range []struct {
		request    string
		closeWrite bool
		want       string
	}{
		{"status\n", false, "YES"},
		{"status\r\n", false, "YES"},
		{"status", true, "YES"}, // terminated by closing the write side
		{"maint-on e1\n", false, "YES"},
		{"maint-on unknown\n", false, "NO"},
		{"reboot\n", false, "NO"},
		{"\n", false, "NO"},
		{strings.Repeat("x", 2*MaxLineBytes) + "\n", false, "NO"},
		{"stat", false, "NO"}, // incomplete command on a connection that stays open
		{"", false, "NO"},     // no data
	} {
		t.Run(fmt.Sprintf("%.20q", c.request), func(t *testing.T) {
			if got := send(t, addr, c.request, c.closeWrite); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// Connections that send nothing do not delay the answers on other connections, since each connection has
// its own deadline.
func TestIdleConnectionsDoNotDelayCommands(t *testing.T) {
	var handled atomic.Int32
	addr := serve(t, func(ctx context.Context, c Command) bool { handled.Add(1); return acceptStatusAndE1(ctx, c) })
	var idle []net.Conn
	for range MaxConnections / 2 {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
	}
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	if got := send(t, addr, "status\n", false); got != "YES" {
		t.Errorf("answer while idle connections are open: %q", got)
	}
	if handled.Load() != 1 {
		t.Errorf("%d commands handled, want 1", handled.Load())
	}
}

// A command that the handler accepts after the deadline is answered with NO.
func TestAcceptanceAfterDeadlineIsAnsweredNo(t *testing.T) {
	addr := serve(t, func(ctx context.Context, _ Command) bool { <-ctx.Done(); return true })
	if got := send(t, addr, "status\n", false); got != "NO" {
		t.Errorf("acceptance after the deadline: %q, want NO", got)
	}
}
