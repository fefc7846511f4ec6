package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is the set of engines of one run. It records the attempts and held states.
type fleet struct {
	plan     Plan
	observed *Observations
	mu       sync.Mutex
	random   *rand.Rand
	states   map[string][]*HeldState // held states by request id
	all      []*engineServer
}

// engineServer is one engine.
type engineServer struct {
	fleet  *fleet
	number int
	index  int // index in the fleet
	decode bool
	addr   string
}

const maxEngineBody = 1 << 20

func startFleet(ctx context.Context, p Plan, b *Observations) (*fleet, error) {
	f := &fleet{plan: p, observed: b, random: rand.New(rand.NewPCG(p.Seed, 7)), states: map[string][]*HeldState{}}
	for n := range prefillEngines + decodeEngines {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("engine: %w", err)
		}
		e := &engineServer{fleet: f, number: n, index: n, decode: n >= prefillEngines, addr: l.Addr().String()}
		if e.decode {
			e.number = n - prefillEngines
		}
		f.all = append(f.all, e)
		context.AfterFunc(ctx, func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(ctx, c)
			}
		}()
	}
	return f, nil
}

// draw returns a random number from 0 to 1.
func (f *fleet) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// between returns a random duration between two bounds.
func (f *fleet) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(f.draw()*float64(maximum-minimum))
}

// call is one request at an engine.
type call struct {
	conn      net.Conn
	request   *http.Request
	id        string
	attempt   *Attempt
	abandoned <-chan struct{} // closed when the gateway closes the connection
}

func (e *engineServer) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return
	}
	first := e.fleet.observed.now()
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxEngineBody)); err != nil {
			return
		}
		last := e.fleet.observed.now()
		abandoned, next := make(chan struct{}), make(chan bool, 1)
		go func() {
			_, err := in.Peek(1)
			if err != nil {
				close(abandoned)
			} else {
				first = e.fleet.observed.now()
			}
			next <- err == nil
		}()
		reqCall := &call{conn: c, request: req, abandoned: abandoned, attempt: &Attempt{Engine: e.number, Decode: e.decode, FirstByte: first, LastByte: last, Ended: Never}}
		if !e.answer(ctx, reqCall) {
			return
		}
		if idle := e.fleet.plan.EngineIdle; idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(idle))
		}
		if !<-next {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
	}
}

// answer answers one request and reports whether the connection can carry another one.
func (e *engineServer) answer(ctx context.Context, c *call) bool {
	if c.request.Method == http.MethodDelete {
		c.id = c.request.URL.Path[strings.LastIndexByte(c.request.URL.Path, '/')+1:]
		e.fleet.release(c.id)
		return reply(c.conn, "204 No Content", "", "")
	}
	c.id = c.request.Header.Get("X-Request-Id")
	if ms, err := strconv.Atoi(c.request.Header.Get("X-Deadline-Ms")); err == nil {
		c.attempt.Deadline = time.Duration(ms) * time.Millisecond
	}
	observed := e.fleet.observed
	c.attempt.ID = c.id
	observed.locked(func() { observed.Attempts = append(observed.Attempts, c.attempt) })
	defer observed.locked(func() {
		c.attempt.Ended = observed.now()
	})
	switch chance, p := e.fleet.draw(), e.fleet.plan; {
	case chance < p.EngineBusy:
		return reply(c.conn, "503 Service Unavailable", "X-Not-Run: 1\r\n", "")
	case chance < p.EngineBusy+p.EngineHang:
		observed.locked(func() { c.attempt.FaultInjected = true })
		wait(ctx, c.abandoned, time.Minute)
		return false
	case chance < p.EngineBusy+p.EngineHang+p.EngineCut:
		observed.locked(func() { c.attempt.FaultInjected = true })
		wait(ctx, c.abandoned, e.fleet.between(0, 40*time.Millisecond))
		return false
	}
	if e.decode {
		return e.stream(ctx, c)
	}
	wait(ctx, nil, e.fleet.between(3*time.Millisecond, 50*time.Millisecond))
	e.fleet.holdState(c.id)
	return reply(c.conn, "202 Accepted", "X-Request-Id: "+c.id+"\r\n", `{"cached_tokens":0}`)
}

// wait waits for a duration and reports true, or false if ctx ends or abandoned is closed first.
func wait(ctx context.Context, abandoned <-chan struct{}, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-abandoned:
		return false
	case <-time.After(d):
		return true
	}
}

func reply(c net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// holdState records the held state of a completed prefill.
func (f *fleet) holdState(id string) {
	s := &HeldState{ID: id, From: f.observed.now(), Until: Never}
	f.mu.Lock()
	f.states[id] = append(f.states[id], s)
	f.mu.Unlock()
	f.observed.locked(func() { f.observed.HeldStates = append(f.observed.HeldStates, s) })
}

// answerLost records that the network lost the answer of a prefill: the state is held, but the gateway does
// not see that the attempt has ended.
func (f *fleet) answerLost(id string) {
	f.mu.Lock()
	held := f.states[id]
	f.mu.Unlock()
	f.observed.locked(func() {
		for _, s := range held {
			s.AnswerLost = true
		}
	})
}

// release releases all held states of a request, at every engine, and reports whether there were any.
func (f *fleet) release(id string) bool {
	f.mu.Lock()
	held := f.states[id]
	delete(f.states, id)
	f.mu.Unlock()
	f.observed.locked(func() {
		for _, s := range held {
			s.Until = f.observed.now()
		}
	})
	return len(held) > 0
}

// stream fetches the held state and writes the answer, with the time of writing in each event.
func (e *engineServer) stream(ctx context.Context, c *call) bool {
	if !e.fleet.release(c.id) {
		return reply(c.conn, "410 Gone", "X-Not-Run: 1\r\n", "")
	}
	observed := e.fleet.observed
	observed.locked(func() { c.attempt.Ran = true })
	if !wait(ctx, c.abandoned, e.fleet.between(5*time.Millisecond, 80*time.Millisecond)) {
		return false
	}
	pause := e.fleet.between(30*time.Millisecond, 120*time.Millisecond)
	events := 1 + int(e.fleet.between(0, 2800*time.Millisecond)/pause)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for n := range events {
		text := fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"t:%d;"},"finish_reason":null}]}`+"\n\n", observed.now())
		if _, err := fmt.Fprintf(c.conn, "%s%x\r\n%s\r\n", head, len(text), text); err != nil {
			return false
		}
		if head = ""; n+1 < events && !wait(ctx, c.abandoned, pause) {
			return false
		}
	}
	last := `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n" +
		fmt.Sprintf(`data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":0}}}`, events) + "\n\ndata: [DONE]\n\n"
	_, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n0\r\n\r\n", len(last), last)
	return err == nil
}
