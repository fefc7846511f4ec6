package enginetest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Call is a request as an engine got it.
type Call struct {
	Number                 int // from 1, in order of arrival at this engine
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

// pauseMark ends a part of a script; the pause's length stands before the next one.
const pauseMark = "\x00pause"

// Pause in a script keeps what follows back for so long.
func Pause(d time.Duration) string { return pauseMark + d.String() + pauseMark }

// writeScript writes an answer with its pauses, which end early with ctx.
func writeScript(ctx context.Context, c net.Conn, script string) error {
	for n, part := range strings.Split(script, pauseMark) {
		if n%2 == 0 {
			if _, err := io.WriteString(c, part); err != nil {
				return err
			}
			continue
		}
		d, err := time.ParseDuration(part)
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
		}
	}
	return nil
}

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
		call.Number = len(e.calls) + 1
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		out, hang := strings.CutSuffix(e.script(call), Hang)
		out, cut := strings.CutSuffix(out, Cut)
		if err := writeScript(ctx, c, out); err != nil || cut {
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

// ConnectionCloseTimes returns when connections were closed that an answer was left open on.
func (e *Engine) ConnectionCloseTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.closed...)
}

// Status is an answer without a stream.
func Status(code int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), header, len(body), body)
}

// Stream is a whole stream of n events with its usage.
func Stream(n, kept int) string { return SlowStream(n, kept, 0) }

// SlowStream is a Stream with a pause before each event but the first.
func SlowStream(n, kept int, pause time.Duration) string {
	var b bytes.Buffer
	b.WriteString(StreamHead)
	for i := range n {
		if i > 0 && pause > 0 {
			b.WriteString(Pause(pause))
		}
		b.WriteString(Chunk(fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`+"\n\n", i)))
	}
	b.WriteString(Chunk(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"))
	b.WriteString(Chunk(fmt.Sprintf(`data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\n", n, kept)))
	b.WriteString(Chunk("data: [DONE]\n\n") + "0\r\n\r\n")
	return b.String()
}

// Chunk frames a part of a stream.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
