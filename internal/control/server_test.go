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
				t.Errorf("%+v, %v", got, err)
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

func yes(_ context.Context, c Command) bool { return c.Verb == Status || c.EngineID == "e1" }

// send sends what, waits for the answer and returns its first line.
func send(t *testing.T, addr, what string, closeWrite bool) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, what)
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a bound for a broken test only
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestCommandAnswers(t *testing.T) {
	addr := serve(t, yes)
	for _, c := range []struct {
		what       string
		closeWrite bool
		want       string
	}{
		{"status\n", false, "YES"},
		{"status\r\n", false, "YES"},
		{"status", true, "YES"}, // the line ends with the caller's write side
		{"maint-on e1\n", false, "YES"},
		{"maint-on nobody\n", false, "NO"},
		{"nonsense\n", false, "NO"},
		{"\n", false, "NO"},
		{strings.Repeat("x", 2*MaxLineBytes) + "\n", false, "NO"},
		{"stat", false, "NO"}, // half a command, and the connection stays open
		{"", false, "NO"},     // nothing at all
	} {
		t.Run(fmt.Sprintf("%.20q", c.what), func(t *testing.T) {
			if got := send(t, addr, c.what, c.closeWrite); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// Silent connections do not delay the answers of others: each has its own deadline.
func TestSilentConnectionsDelayNoOthers(t *testing.T) {
	var handled atomic.Int32
	addr := serve(t, func(ctx context.Context, c Command) bool { handled.Add(1); return yes(ctx, c) })
	var silent []net.Conn
	for range MaxConnections / 2 {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, conn)
	}
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	if got := send(t, addr, "status\n", false); got != "YES" {
		t.Errorf("beside silent connections: %q", got)
	}
	if handled.Load() != 1 {
		t.Errorf("%d commands handled", handled.Load())
	}
}

// A handler that accepts after the deadline is answered NO.
func TestLateAcceptanceIsAnsweredNo(t *testing.T) {
	addr := serve(t, func(ctx context.Context, _ Command) bool { <-ctx.Done(); return true })
	if got := send(t, addr, "status\n", false); got != "NO" {
		t.Errorf("late: %q", got)
	}
}
