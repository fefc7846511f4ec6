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

// Call is a request that an engine received.
type Call struct {
	Number                 int // sequence number of arrival at this engine, from 1
	Method, Path, ID, Body string
	At                     time.Time
	Deadline               time.Duration // from X-Deadline-Ms; 0 if the header is absent
}

// Engine is a server on loopback that answers each request with a script: the bytes to write to the
// connection. With an empty script the request gets no answer and the connection stays open.
type Engine struct {
	Addr   string
	script func(Call) string
	mu     sync.Mutex
	calls  []Call
	closed []time.Time // times at which the peer closed a connection with an unfinished answer
}

// Cut at the end of a script closes the connection; Hang keeps it open without further bytes.
const (
	Cut  = "\x00cut"
	Hang = "\x00hang"
)

// pauseMark separates the parts of a script: text and pause durations alternate.
const pauseMark = "\x00pause"

// limitMark separates a pause's duration from its limit.
const limitMark = "\x00limit"

// Pause in a script delays the bytes after it by d.
func Pause(d time.Duration) string { return pauseMark + d.String() + pauseMark }

// PauseWithin is Pause that ends the script if more than limit has passed by then, as on a busy machine.
func PauseWithin(d, limit time.Duration) string {
	return pauseMark + d.String() + limitMark + limit.String() + pauseMark
}

// writeScript writes a script with its pauses. It returns early when ctx ends.
func writeScript(ctx context.Context, c net.Conn, script string) error {
	for i, part := range strings.Split(script, pauseMark) {
		if i%2 == 0 {
			if _, err := io.WriteString(c, part); err != nil {
				return err
			}
			continue
		}
		late, err := pause(ctx, part)
		if late || err != nil {
			return err
		}
	}
	return nil
}

// pause waits for the duration of a pause in a script. It reports whether more than the pause's limit has
// passed.
func pause(ctx context.Context, text string) (late bool, err error) {
	begin := time.Now()
	duration, limit, limited := strings.Cut(text, limitMark)
	d, err := time.ParseDuration(duration)
	if err != nil {
		return false, err
	}
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-time.After(d):
	}
	if !limited {
		return false, nil
	}
	longest, err := time.ParseDuration(limit)
	return time.Since(begin) > longest, err
}

// NewEngine starts an engine that is stopped at the end of the test.
func NewEngine(t testing.TB, script func(Call) string) *Engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{Addr: l.Addr().String(), script: script}
	var goroutines sync.WaitGroup
	t.Cleanup(func() { stop(); l.Close(); goroutines.Wait() })
	goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() { e.serve(ctx, c) })
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
		output, hang := strings.CutSuffix(e.script(call), Hang)
		output, cut := strings.CutSuffix(output, Cut)
		if err := writeScript(ctx, c, output); err != nil || cut {
			return
		}
		if hang || output == "" {
			io.Copy(io.Discard, r)
			e.mu.Lock()
			e.closed = append(e.closed, time.Now())
			e.mu.Unlock()
			return
		}
	}
}

// Calls returns the calls received so far that have one of the given methods.
func (e *Engine) Calls(methods ...string) []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	var matching []Call
	for _, c := range e.calls {
		for _, m := range methods {
			if c.Method == m {
				matching = append(matching, c)
			}
		}
	}
	return matching
}

// ConnectionCloseTimes returns the times at which peers closed connections with an unfinished answer.
func (e *Engine) ConnectionCloseTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.closed...)
}

// Status returns an answer with the given status, header lines and body, not streamed.
func Status(code int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), header, len(body), body)
}

// Stream returns a complete stream of n content events and a usage event.
func Stream(n, cachedTokens int) string { return SlowStream(n, cachedTokens, 0) }

// SlowStream returns a Stream with a pause before each content event except the first.
func SlowStream(n, cachedTokens int, pause time.Duration) string {
	var b bytes.Buffer
	b.WriteString(StreamHead)
	for i := range n {
		if i > 0 && pause > 0 {
			b.WriteString(Pause(pause))
		}
		b.WriteString(Chunk(fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`+"\n\n", i)))
	}
	b.WriteString(Chunk(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"))
	b.WriteString(Chunk(fmt.Sprintf(`data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\n", n, cachedTokens)))
	b.WriteString(Chunk("data: [DONE]\n\n") + "0\r\n\r\n")
	return b.String()
}

// Chunk encodes a part of a stream as an HTTP chunk.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
