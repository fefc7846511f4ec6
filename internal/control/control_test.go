package control

import (
	"bufio"
	"context"
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
		want Call
		ok   bool
	}{
		{"status", Call{Verb: Status}, true},
		{"  standby ", Call{Verb: Standby}, true},
		{"active", Call{Verb: Active}, true},
		{"maint-on e1", Call{Verb: MaintOn, ID: "e1"}, true},
		{"maint-off\te1", Call{Verb: MaintOff, ID: "e1"}, true},
		{"maint-on", Call{}, false},
		{"maint-on a b", Call{}, false},
		{"status now", Call{}, false},
		{"", Call{}, false},
		{"reboot", Call{}, false},
		{"STATUS", Call{}, false},
	} {
		got, err := Parse(c.line)
		if (err == nil) != c.ok || got != c.want {
			t.Errorf("%q: %+v, %v", c.line, got, err)
		}
	}
}

// serve starts a call line whose handler says yes to status and to maint-on e1.
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

func yes(_ context.Context, c Call) bool { return c.Verb == Status || c.ID == "e1" }

// call sends what, waits for the answer and returns its first line.
func call(t *testing.T, addr, what string, closeWrite bool) string {
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

func TestCalls(t *testing.T) {
	addr := serve(t, yes)
	for _, c := range []struct {
		what       string
		closeWrite bool
		want       string
	}{
		{"status\n", false, "YES"},
		{"status\r\n", false, "YES"},
		{"status", true, "YES"}, // the line ends with the caller's side
		{"maint-on e1\n", false, "YES"},
		{"maint-on nobody\n", false, "NO"},
		{"nonsense\n", false, "NO"},
		{"\n", false, "NO"},
		{strings.Repeat("x", 2*MaxLine) + "\n", false, "NO"},
		{"stat", false, "NO"}, // half a call, and the caller holds on
		{"", false, "NO"},     // nothing at all
	} {
		if got := call(t, addr, c.what, c.closeWrite); got != c.want {
			t.Errorf("%.20q: %q, want %q", c.what, got, c.want)
		}
	}
}

// Callers who hold on silently do not keep others from their answers: each has
// its own deadline, and beyond MaxOpen the newcomer is told no at once.
func TestSilentCallersAreClosed(t *testing.T) {
	var calls atomic.Int32
	addr := serve(t, func(ctx context.Context, c Call) bool { calls.Add(1); return yes(ctx, c) })
	var silent []net.Conn
	for range MaxOpen / 2 {
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
	if got := call(t, addr, "status\n", false); got != "YES" {
		t.Errorf("beside silent callers: %q", got)
	}
	if calls.Load() != 1 {
		t.Errorf("%d calls handled", calls.Load())
	}
}

// A handler that outlasts the deadline is answered no.
func TestLateCallIsRefused(t *testing.T) {
	addr := serve(t, func(ctx context.Context, c Call) bool { <-ctx.Done(); return true })
	if got := call(t, addr, "status\n", false); got != "NO" {
		t.Errorf("late: %q", got)
	}
}
