// Package playback plays recorded byte exchanges against a program under test:
// the shared helper of the tests. It also holds the small engine that tests use.
package playback

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Exchange is one recorded file: what is sent, and what is expected back. In the
// files `> ` begins a line that is sent, `< ` one that is expected, `# ` a remark.
// Lines end in CRLF on the wire, but for those that end in a backslash here.
type Exchange struct{ Send, Want string }

// Read reads a recording.
func Read(t testing.TB, path string) Exchange {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var x Exchange
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSuffix(line, "\n") + "\r\n"
		line = strings.Replace(line, "\\\r\n", "", 1)
		switch {
		case strings.HasPrefix(line, ">"):
			x.Send += strings.TrimPrefix(line[1:], " ")
		case strings.HasPrefix(line, "<"):
			x.Want += strings.TrimPrefix(line[1:], " ")
		}
	}
	return x
}

// Play sends a recording's bytes to addr and compares what comes back until the
// other side closes. Dates, ids and times of creation, which differ from run
// to run, do not count.
func Play(t *testing.T, addr, path string, replace ...string) {
	t.Helper()
	x := Read(t, path)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, strings.NewReplacer(replace...).Replace(x.Send)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(recordVar) != "" {
		record(t, path, string(got))
		return
	}
	if diff := cmp.Diff(lines(x.Want), lines(string(got))); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// recordVar has Play write what comes back into the recordings, for a person to read
// through before it is kept.
const recordVar = "PLAYBACK_RECORD"

func record(t *testing.T, path, got string) {
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for line := range strings.Lines(string(raw)) {
		if !strings.HasPrefix(line, "<") {
			out.WriteString(line)
		}
	}
	head, _, _ := strings.Cut(got, "\r\n\r\n")
	for i, line := range lines(got) {
		if i == len(lines(head)) {
			out.WriteString("< \n")
		}
		out.WriteString("< " + line + "\n")
	}
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// lines makes an answer comparable: its headers are sorted, and of the framing,
// which is free, only the last chunk counts.
func lines(s string) []string {
	s = regexp.MustCompile(`(cmpl-|resp_|msg_|fc_|X-Request-Id: )[0-9a-f]{24}`).ReplaceAllString(s, "${1}ID")
	s = regexp.MustCompile(`"created(_at)?":[0-9]+`).ReplaceAllString(s, `"created$1":0`)
	head, body, _ := strings.Cut(s, "\r\n\r\n")
	headers := strings.Split(head, "\r\n")
	slices.Sort(headers[1:])
	size := regexp.MustCompile(`^[1-9a-f][0-9a-f]*$`)
	return slices.DeleteFunc(append(headers, strings.FieldsFunc(body, func(r rune) bool { return r == '\r' || r == '\n' })...),
		func(line string) bool { return strings.HasPrefix(line, "Date:") || size.MatchString(line) })
}

// Call is a request as an engine got it.
type Call struct {
	N                      int // from 1, in order of arrival at this engine
	Method, Path, ID, Body string
	At                     time.Time
	Deadline               time.Duration // by X-Deadline-Ms; 0 without one
}

// Engine is a server on loopback that answers each request by a script: the bytes
// to write back. An empty script leaves the request without an answer.
type Engine struct {
	Addr   string
	script func(Call) string
	mu     sync.Mutex
	calls  []Call
	closed []time.Time // when the other side closed a connection under an answer
}

// Cut at the end of a script breaks the connection; Hang leaves it open, silent.
const (
	Cut  = "\x00cut"
	Hang = "\x00hang"
)

// NewEngine starts an engine that ends with the test.
func NewEngine(t testing.TB, script func(Call) string) *Engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{Addr: l.Addr().String(), script: script}
	var group sync.WaitGroup
	t.Cleanup(func() { stop(); l.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { e.serve(ctx, c) })
		}
	})
	return e
}

func (e *Engine) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := Call{Method: req.Method, Path: req.URL.RequestURI(), ID: req.Header.Get("X-Request-Id"), Body: string(body), At: time.Now()}
		if ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms")); err == nil {
			call.Deadline = time.Duration(ms) * time.Millisecond
		}
		e.mu.Lock()
		call.N = len(e.calls) + 1
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		out, hang := strings.CutSuffix(e.script(call), Hang)
		out, cut := strings.CutSuffix(out, Cut)
		if _, err := io.WriteString(c, out); err != nil || cut {
			return
		}
		if hang || out == "" {
			io.Copy(io.Discard, r)
			e.mu.Lock()
			e.closed = append(e.closed, time.Now())
			e.mu.Unlock()
			return
		}
	}
}

// Calls returns the calls so far whose method is one of those named.
func (e *Engine) Calls(methods ...string) []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	var some []Call
	for _, c := range e.calls {
		for _, m := range methods {
			if c.Method == m {
				some = append(some, c)
			}
		}
	}
	return some
}

// Dropped returns when connections were closed that an answer was left open on.
func (e *Engine) Dropped() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.closed...)
}

// Eventually waits for a condition, for as long as a slow machine may need.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Within states that something takes no longer than a limit. A busy machine may
// stall once or twice; what really waits too long does so every time.
func Within(t testing.TB, limit time.Duration, take func() time.Duration) {
	t.Helper()
	var took time.Duration
	for range 3 {
		if took = take(); took <= limit {
			return
		}
	}
	t.Errorf("took %v, over %v, three times in a row", took, limit)
}

// Status is an answer without a stream.
func Status(code int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), header, len(body), body)
}

// Stream is a whole stream of n events with its usage.
func Stream(n, kept int) string {
	var b bytes.Buffer
	b.WriteString(StreamHead)
	for i := range n {
		b.WriteString(Chunk(fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`+"\n\n", i)))
	}
	b.WriteString(Chunk(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"))
	b.WriteString(Chunk(fmt.Sprintf(`data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\n", n, kept)))
	b.WriteString(Chunk("data: [DONE]\n\n") + "0\r\n\r\n")
	return b.String()
}

// StreamHead is the head of a stream.
const StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// Chunk frames a part of a stream.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
