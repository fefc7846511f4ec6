package control

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// exchange sends request and returns all bytes of the answer, up to the end of the connection.
func exchange(t *testing.T, addr, request string, closeWrite bool) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // only bounds a failing test
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%.20q: after %q: %v", request, answer, err)
	}
	return string(answer)
}

// TestAnswerBytes checks the operators' protocol byte by byte: the answer to each command line.
func TestAnswerBytes(t *testing.T) {
	var handled atomic.Value
	addr := serve(t, func(_ context.Context, c Command) bool {
		handled.Store(string(c.Verb) + "|" + c.EngineID)
		return c.EngineID != "refused"
	})
	for _, c := range []struct {
		name, request string
		closeWrite    bool
		want          string
		handled       string // verb and engine ID passed to the handler; empty if it was not called
	}{
		{"status", "status\n", false, "YES\n", "status|"},
		{"standby", "standby\n", false, "YES\n", "standby|"},
		{"active", "active\n", false, "YES\n", "active|"},
		{"maint-on", "maint-on e1\n", false, "YES\n", "maint-on|e1"},
		{"maint-off", "maint-off e1\n", false, "YES\n", "maint-off|e1"},
		{"refused by the handler", "maint-on refused\n", false, "NO\n", "maint-on|refused"},
		{"carriage return", "status\r\n", false, "YES\n", "status|"},
		{"spaces", " \tmaint-on \t e1 \n", false, "YES\n", "maint-on|e1"},
		{"line terminated by closing the write side", "status", true, "YES\n", "status|"},
		{"lines after the first are ignored", "status\nstandby\n", false, "YES\n", "status|"},
		{"unknown verb", "reboot\n", false, "NO\n", ""},
		{"verbs are case-sensitive", "STATUS\n", false, "NO\n", ""},
		{"empty line", "\n", false, "NO\n", ""},
		{"missing engine ID", "maint-on\n", false, "NO\n", ""},
		{"two engine IDs", "maint-on a b\n", false, "NO\n", ""},
		{"extra word", "status now\n", false, "NO\n", ""},
		{
			"line of maximum length", "maint-on " + strings.Repeat("x", MaxLineBytes-len("maint-on ")) + "\n", false,
			"YES\n", "maint-on|" + strings.Repeat("x", MaxLineBytes-len("maint-on ")),
		},
		{"empty request", "", true, "NO\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			handled.Store("")
			if got := exchange(t, addr, c.request, c.closeWrite); got != c.want {
				t.Errorf("answer %q, want %q", got, c.want)
			}
			if got := handled.Load(); got != c.handled {
				t.Errorf("handler got %q, want %q", got, c.handled)
			}
		})
	}
}

// TestBusyAnswer checks the answer to a connection beyond MaxConnections.
func TestBusyAnswer(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int32
	addr := serve(t, func(context.Context, Command) bool {
		running.Add(1)
		<-release
		return true
	})
	defer close(release)
	for range MaxConnections {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "status\n"); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); running.Load() < MaxConnections; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d commands reached the handler", running.Load(), MaxConnections)
		}
	}
	if got := exchange(t, addr, "", false); got != "NO busy\n" {
		t.Errorf("answer %q, want \"NO busy\\n\"", got)
	}
}

// TestProtocolLimits checks the limits that docs/operations.md documents.
func TestProtocolLimits(t *testing.T) {
	if AnswerTimeout != 750*time.Millisecond || MaxConnections != 128 || MaxLineBytes != 256 {
		t.Error("limits differ from docs/operations.md:", AnswerTimeout, MaxConnections, MaxLineBytes)
	}
}
