package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"wellgw/internal/core"
	"wellgw/routing"
)

// Call is a request as it is written to an engine.
type Call struct {
	Method, Target string
	Header         [][2]string
	Body           []byte
}

// Dialect says what a kind of engine is told and what its answers mean.
type Dialect interface {
	// Attempt is the call that an attempt makes.
	Attempt(core.Attempt) Call
	// Judge reads an answer other than a stream.
	Judge(status int, h http.Header, body []byte) core.Result
	// Tail reads the last part of a whole stream into the result.
	Tail(tail []byte, r *core.Result)
	// Release is the call that lets go of what is held, false if there is none.
	Release(wire string) (Call, bool)
	// Probe is the call that asks for a load report, false if there is none.
	Probe() (Call, bool)
}

// Opener is a Dialect that tells where an answer begins. The events before that are held
// back: should the attempt fail meanwhile, its client has been given nothing.
type Opener interface {
	// Opens looks at an event's data. An error says that the attempt has failed.
	Opens(p core.Payload, data []byte) (bool, error)
}

// Bounds of what is read and waited for.
const (
	maxHead     = 64 << 10 // of an answer, with what comes of its body meanwhile
	maxAnswer   = 64 << 10 // of an answer that is no stream
	tailSize    = 4 << 10
	headSpan    = time.Second      // a head that has begun has come by then, and a short answer's body
	doneSpan    = time.Second      // and so has the last chunk once the last event has
	leakGuard   = 20 * time.Second // past an attempt's limit: it may cover what is held, or nobody gives it up
	probeWait   = time.Second
	silencePart = 64 // of the time that a stream may be silent: how exactly that is kept
)

// Engine makes attempts over a pool. It is a core.Transport.
type Engine struct {
	pool    *Pool
	dialect func(kind string) Dialect

	mu        sync.Mutex
	releasing map[string]*turns // by address
}

// NewEngine returns an engine that speaks over p, with each kind of server in
// the dialect that dialect names.
func NewEngine(p *Pool, dialect func(kind string) Dialect) *Engine {
	return &Engine{pool: p, dialect: dialect, releasing: map[string]*turns{}}
}

// try is one attempt under way. Whoever takes its connection out answers for it.
type try struct {
	mu      sync.Mutex
	conn    *conn
	over    bool
	writing bool // the first byte may have been written
	cancel  context.CancelFunc
	pool    *Pool
}

// hold notes the connection in use; false if the attempt has been given up.
func (t *try) hold(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	return !t.over
}

// begin notes that the first byte is about to be written; false if the attempt has been
// given up.
func (t *try) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = !t.over
	return t.writing
}

// Cancel is core.Handle's.
func (t *try) Cancel() { t.stop() }

// Withdraw is core.Handle's.
func (t *try) Withdraw() bool {
	t.mu.Lock()
	writing := t.writing
	t.over = t.over || !writing
	t.mu.Unlock()
	if !writing {
		t.stop()
	}
	return !writing
}

// stop gives the attempt up: to close its connection is how an engine is told.
func (t *try) stop() {
	t.mu.Lock()
	c := t.conn
	t.conn, t.over = nil, true
	t.mu.Unlock()
	t.cancel()
	if c != nil {
		t.pool.drop(c)
	}
}

// done ends the attempt; its connection is kept for others if the answer was
// read to its end. After stop there is none.
func (t *try) done(reuse bool) {
	t.mu.Lock()
	c := t.conn
	t.conn, t.over = nil, true
	t.mu.Unlock()
	t.cancel()
	switch {
	case c == nil:
	case reuse:
		t.pool.put(c)
	default:
		t.pool.drop(c)
	}
}

// Start begins an attempt; see core.Transport.
func (e *Engine) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+leakGuard)
	t := &try{cancel: cancel, pool: e.pool}
	go func() {
		s, r := e.attempt(ctx, t, a)
		if s != nil {
			first(s)
			return
		}
		ended(r)
	}()
	return t
}

// errLeft is the cause of an attempt that was not made.
var errLeft = errors.New("the client has left")

// attempt makes an attempt and returns its stream once the answer has begun, else how it ended.
func (e *Engine) attempt(ctx context.Context, t *try, a core.Attempt) (core.Stream, core.Result) {
	dialect := e.dialect(a.Endpoint.Kind)
	until := time.Now().Add(a.Timeout + leakGuard)
	c, unsent := e.sendAttempt(ctx, t, a, dialect, until)
	if unsent != nil {
		t.done(false)
		return nil, *unsent
	}
	resp, err := readHead(c, until)
	if err != nil {
		t.done(false)
		return nil, core.Result{Status: broken(err), Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, judgeWhole(t, dialect, resp)
	}
	return e.openStream(t, c, resp, a.Payload, dialect, until)
}

// sendAttempt gets a connection and writes the request to it. A result says that it was not
// written whole. An attempt counts once its last byte is out. It is never sent again from here,
// not even after a reset on a kept connection: only the module knows whether the class allows
// that.
func (e *Engine) sendAttempt(ctx context.Context, t *try, a core.Attempt, dialect Dialect, until time.Time) (*conn, *core.Result) {
	begun := time.Now()
	c, err := e.pool.get(ctx, a.Endpoint.Addr)
	if err != nil {
		return nil, &core.Result{Status: routing.StatusConnectFailed, Cause: err}
	}
	if !t.hold(c) { // the caller drops it
		return nil, &core.Result{Status: routing.StatusCancelled, Cause: context.Canceled}
	}
	if a.Connected != nil {
		a.Connected()
	}
	if a.ClientGone != nil && a.ClientGone() {
		return nil, &core.Result{Status: routing.StatusNotSent, Cause: errLeft}
	}
	if !t.begin() {
		return nil, &core.Result{Status: routing.StatusCancelled, Cause: context.Canceled}
	}
	c.SetDeadline(until)
	a.Timeout -= time.Since(begun) // what is left is what its engine is told
	if err := write(c, dialect.Attempt(a)); err != nil {
		return nil, &core.Result{Status: routing.StatusConnectFailed, Cause: err}
	}
	if a.Written != nil {
		a.Written()
	}
	return c, nil
}

// judgeWhole reads an answer that is no stream.
func judgeWhole(t *try, dialect Dialect, resp *http.Response) core.Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	t.done(err == nil && len(body) < maxAnswer && !resp.Close)
	r := dialect.Judge(resp.StatusCode, resp.Header, body)
	if r.Cause == nil && r.Status != routing.StatusPrefilled {
		r.Cause = fmt.Errorf("status %d", resp.StatusCode)
	}
	return r
}

const leadSize = 4 << 10

var (
	leads = sync.Pool{New: func() any { return new([leadSize]byte) }}
	tails = sync.Pool{New: func() any { b := make([]byte, 0, 2*tailSize); return &b }}
)

// broken tells a connection that broke from an answer that is spoilt: bytes that
// are none, or that stop in the middle. The engine that sent these is up and has
// run the request. ETIMEDOUT is a broken connection: only a deadline of ours is none.
func broken(err error) routing.Status {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	op := (*net.OpError)(nil)
	if ended || errors.As(err, &op) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return routing.StatusReset
	}
	return routing.StatusError
}

// write sends a call in one piece, without a copy of its body. It fails only if
// the last byte is not out.
func write(c *conn, call Call) error {
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + c.addr + "\r\n")
	for _, h := range call.Header {
		head.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	if len(call.Body) > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	all := net.Buffers{head.Bytes(), call.Body}
	whole := int64(head.Len() + len(call.Body))
	if n, err := all.WriteTo(c.Conn); n < whole {
		return err
	}
	return nil
}

var errNoAnswer = errors.New("what came is no HTTP answer")

// readHead reads an answer's head, past any interim ones. It waits for each to
// begin until a time, but not for the rest of one that has begun: a head that does
// not end would keep the request waiting though nothing more will come.
func readHead(c *conn, until time.Time) (*http.Response, error) {
	c.in.left = maxHead
	defer func() { c.in.left = math.MaxInt64 }()
	for {
		c.SetReadDeadline(until)
		if _, err := c.buffered.Peek(1); err != nil {
			return nil, err
		}
		if span := time.Now().Add(headSpan); span.Before(until) {
			c.SetReadDeadline(span)
		}
		const version = "HTTP/1."
		if p, err := c.buffered.Peek(len(version)); err != nil {
			return nil, err
		} else if string(p) != version {
			return nil, errNoAnswer
		}
		resp, err := http.ReadResponse(c.buffered, nil)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// Probe asks for a load report; see core.Transport.
func (e *Engine) Probe(at core.Endpoint, done func(routing.Status, *routing.LoadReport)) {
	call, given := e.dialect(at.Kind).Probe()
	go func() {
		if !given {
			done(routing.StatusNotSent, nil)
			return
		}
		resp, body, err := e.exchange(at.Addr, call, probeWait, e.pool.get, e.pool.putBrief)
		if err != nil {
			done(routing.StatusConnectFailed, nil)
			return
		}
		r := e.dialect(at.Kind).Judge(resp.StatusCode, resp.Header, body)
		done(r.Status, r.Report)
	}()
}

// exchange makes a short call that has no effect worth counting, on a connection that take
// gets; put gives it back.
func (e *Engine) exchange(addr string, call Call, wait time.Duration, take func(context.Context, string) (*conn, error), put func(*conn)) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	c, err := take(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(wait))
	if err := write(c, call); err != nil {
		e.pool.drop(c)
		return nil, nil, fmt.Errorf("write: %w", err)
	}
	return e.answer(c, wait, put)
}

// answer reads the answer to a short call on its connection, which put gives back.
func (e *Engine) answer(c *conn, wait time.Duration, put func(*conn)) (*http.Response, []byte, error) {
	resp, err := readHead(c, time.Now().Add(wait))
	if err != nil {
		e.pool.drop(c)
		return nil, nil, fmt.Errorf("read: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil || len(body) == maxAnswer || resp.Close {
		e.pool.drop(c)
		return resp, body, err
	}
	put(c)
	return resp, body, nil
}
