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

// exchange sends what and returns all bytes of the answer, up to the connection's end.
func exchange(t *testing.T, addr, what string, closeWrite bool) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, what); err != nil {
		t.Fatal(err)
	}
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a bound for a broken test only
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%.20q: after %q: %v", what, answer, err)
	}
	return string(answer)
}

// TestAnswerBytes pins the operators' protocol: the bytes of a line in, the bytes of the answer out.
func TestAnswerBytes(t *testing.T) {
	var handled atomic.Value
	addr := serve(t, func(_ context.Context, c Command) bool {
		handled.Store(string(c.Verb) + "|" + c.EngineID)
		return c.EngineID != "refused"
	})
	for _, c := range []struct {
		name, in   string
		closeWrite bool
		out        string
		handled    string // verb and id that the handler was given; empty if it was not called
	}{
		{"status", "status\n", false, "YES\n", "status|"},
		{"standby", "standby\n", false, "YES\n", "standby|"},
		{"active", "active\n", false, "YES\n", "active|"},
		{"maint-on", "maint-on e1\n", false, "YES\n", "maint-on|e1"},
		{"maint-off", "maint-off e1\n", false, "YES\n", "maint-off|e1"},
		{"refused by the handler", "maint-on refused\n", false, "NO\n", "maint-on|refused"},
		{"carriage return", "status\r\n", false, "YES\n", "status|"},
		{"spaces", " \tmaint-on \t e1 \n", false, "YES\n", "maint-on|e1"},
		{"no line end, but the write side's", "status", true, "YES\n", "status|"},
		{"only the first line counts", "status\nstandby\n", false, "YES\n", "status|"},
		{"unknown verb", "reboot\n", false, "NO\n", ""},
		{"verbs have one case", "STATUS\n", false, "NO\n", ""},
		{"empty line", "\n", false, "NO\n", ""},
		{"no id", "maint-on\n", false, "NO\n", ""},
		{"two ids", "maint-on a b\n", false, "NO\n", ""},
		{"a word too many", "status now\n", false, "NO\n", ""},
		{"longest line", "maint-on " + strings.Repeat("x", MaxLineBytes-len("maint-on ")) + "\n", false, "YES\n", "maint-on|" + strings.Repeat("x", MaxLineBytes-len("maint-on "))},
		{"nothing at all", "", true, "NO\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			handled.Store("")
			if got := exchange(t, addr, c.in, c.closeWrite); got != c.out {
				t.Errorf("%q, want %q", got, c.out)
			}
			if got := handled.Load(); got != c.handled {
				t.Errorf("handled %q, want %q", got, c.handled)
			}
		})
	}
}

// TestBusyAnswer pins what a connection beyond MaxConnections is answered.
func TestBusyAnswer(t *testing.T) {
	release := make(chan struct{})
	var open atomic.Int32
	addr := serve(t, func(context.Context, Command) bool {
		open.Add(1)
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
	for deadline := time.Now().Add(10 * time.Second); open.Load() < MaxConnections; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d commands open", open.Load())
		}
	}
	if got := exchange(t, addr, "", false); got != "NO busy\n" {
		t.Errorf("%q", got)
	}
}

// TestProtocolNumbers pins the bounds that operators are told of in docs/operations.md.
func TestProtocolNumbers(t *testing.T) {
	if AnswerTimeout != 750*time.Millisecond || MaxConnections != 128 || MaxLineBytes != 256 {
		t.Error(AnswerTimeout, MaxConnections, MaxLineBytes)
	}
}
