package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attempt is one call to run a request at an engine.
type Attempt struct {
	ID     string
	Decode bool
	At     time.Time // when its last byte had arrived
}

// Engines are two prefill and two decode engines that record the attempts.
type Engines struct {
	PrefillTime time.Duration
	LongAnswers bool // hostile clients get long answers

	mu       sync.Mutex
	attempts []Attempt
	members  []string
}

// Start starts the engines, which stop with ctx.
func (e *Engines) Start(ctx context.Context) error {
	for _, name := range []string{"r0", "r1", "w0", "w1"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("engine: %w", err)
		}
		context.AfterFunc(ctx, func() { l.Close() })
		decode := name[0] == 'w'
		e.members = append(e.members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"phase":"active"}`, name, l.Addr(), name[:1]))
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(ctx, c, decode)
			}
		}()
	}
	return nil
}

// Members returns the entries of the engines in a list of discovery.
func (e *Engines) Members() string { return strings.Join(e.members, ",") }

// Attempts returns the attempts so far.
func (e *Engines) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Attempt(nil), e.attempts...)
}

func (e *Engines) serve(ctx context.Context, c net.Conn, decode bool) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Method == http.MethodDelete {
			if !write(c, "HTTP/1.1 204 No Content\r\n\r\n") {
				return
			}
			continue
		}
		e.mu.Lock()
		e.attempts = append(e.attempts, Attempt{request.Header.Get("X-Request-Id"), decode, time.Now()})
		e.mu.Unlock()
		if !e.answer(ctx, c, request.Header.Get("X-Request-Id"), decode) {
			return
		}
	}
}

// answer writes the answer to an attempt.
func (e *Engines) answer(ctx context.Context, c net.Conn, id string, decode bool) bool {
	if !decode {
		const body = `{"cached_tokens":0}`
		return Sleep(ctx, e.PrefillTime) && write(c, fmt.Sprintf("HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	events, size := shortEvents, shortEventSize
	if e.LongAnswers && strings.HasPrefix(id, HostilePrefix) {
		events, size = longEvents, longAnswer/longEvents
	}
	chunk := func(event string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(event), event) }
	event := chunk(fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, strings.Repeat("w", size)) + "\n\n")
	return write(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(event, events)+
		chunk(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n")+
		chunk(`data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":0}}}`+"\n\n")+
		chunk("data: [DONE]\n\n")+"0\r\n\r\n")
}
