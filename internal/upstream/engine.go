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
	"sync/atomic"
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

// Dialect translates between the core and the API of one kind of engine.
type Dialect interface {
	// Attempt returns the call that makes an attempt.
	Attempt(core.Attempt) Call
	// ParseResponse interprets a response that is not a stream.
	ParseResponse(status int, h http.Header, body []byte) core.Result
	// Tail reads usage figures from the last part of a complete stream into the result.
	Tail(tail []byte, r *core.Result)
	// Release returns the call that releases held state, false if the kind has none.
	Release(clientRequestID string) (Call, bool)
	// Probe returns the call that requests a load report, false if the kind has none.
	Probe() (Call, bool)
}

// Opener is a Dialect that recognises the event with which an answer begins. Earlier events are
// held back, so that nothing has reached the client should the attempt fail before that.
type Opener interface {
	// StartsAnswer reports whether an event with this data begins the answer. An error fails the attempt.
	StartsAnswer(p core.Payload, data []byte) (bool, error)
}

// Limits on what is read and waited for.
const (
	maxHead           = 64 << 10 // bytes of a response head, with the part of the body that arrives with it
	maxResponse       = 64 << 10 // bytes of a response that is not a stream
	tailSize          = 4 << 10
	headTimeout       = time.Second      // for the rest of a response head that has begun, and for a short body
	lastChunkTimeout  = time.Second      // from the last event to the last chunk
	leakGuard         = 20 * time.Second // beyond an attempt's timeout: a lingering attempt stays open, and one that nobody cancels ends
	probeTimeout      = time.Second
	silenceResolution = 64 // fraction of the silence timeout by which the read deadline may lag behind
)

// Client makes attempts over a pool of connections. It is a core.Transport.
type Client struct {
	pool    *Pool
	dialect func(kind string) Dialect

	mu        sync.Mutex
	releasing map[string]*releaseSlots // by address
}

// NewClient returns a Client over p that uses the dialect which the function returns for each kind
// of engine.
func NewClient(p *Pool, dialect func(kind string) Dialect) *Client {
	return &Client{pool: p, dialect: dialect, releasing: map[string]*releaseSlots{}}
}

// attemptHandle is an attempt in flight. Whoever takes its connection out has to close or pool it.
type attemptHandle struct {
	mu      sync.Mutex
	conn    *conn
	closed  bool
	writing bool // the first byte may have been written
	cancel  context.CancelFunc
	pool    *Pool

	firstByte atomic.Pointer[core.FirstByte] // nil until one has arrived
}

// FirstByte implements core.Handle.
func (t *attemptHandle) FirstByte() (core.FirstByte, bool) {
	first := t.firstByte.Load()
	if first == nil {
		return core.FirstByte{}, false
	}
	return *first, true
}

// recordFirstByte records that the answer to the attempt has begun to arrive on its connection.
func (t *attemptHandle) recordFirstByte(c *conn) {
	t.firstByte.CompareAndSwap(nil, &core.FirstByte{Connection: c.id, At: time.Now()})
}

// setConn records the connection in use; false if the attempt has been cancelled.
func (t *attemptHandle) setConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	return !t.closed
}

// beginWrite records that the first byte is about to be written; false if the attempt has been
// cancelled.
func (t *attemptHandle) beginWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = !t.closed
	return t.writing
}

// Cancel implements core.Handle.
func (t *attemptHandle) Cancel() { t.abort() }

// Withdraw implements core.Handle.
func (t *attemptHandle) Withdraw() bool {
	t.mu.Lock()
	writing := t.writing
	t.closed = t.closed || !writing
	t.mu.Unlock()
	if !writing {
		t.abort()
	}
	return !writing
}

// abort cancels the attempt. Closing its connection is what notifies the engine.
func (t *attemptHandle) abort() {
	t.mu.Lock()
	c := t.conn
	t.conn, t.closed = nil, true
	t.mu.Unlock()
	t.cancel()
	if c != nil {
		t.pool.discard(c, closedAbandoned)
	}
}

// endAttempt ends the attempt; its connection is pooled if the response was read to its end. After
// abort there is none.
func (t *attemptHandle) endAttempt(reuse bool) {
	t.mu.Lock()
	c := t.conn
	t.conn, t.closed = nil, true
	t.mu.Unlock()
	t.cancel()
	switch {
	case c == nil:
	case reuse:
		t.pool.put(c)
	default:
		t.pool.discard(c, closedFailed)
	}
}

// Start begins an attempt; see core.Transport.
func (e *Client) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+leakGuard)
	t := &attemptHandle{cancel: cancel, pool: e.pool}
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

// errClientGone is the cause of an attempt that was not made.
var errClientGone = errors.New("the client has left")

// attempt makes an attempt and returns its stream once the answer has begun, otherwise its result.
func (e *Client) attempt(ctx context.Context, t *attemptHandle, a core.Attempt) (core.Stream, core.Result) {
	dialect := e.dialect(a.Endpoint.Kind)
	until := time.Now().Add(a.Timeout + leakGuard)
	c, unsent := e.sendAttempt(ctx, t, a, dialect, until)
	if unsent != nil {
		t.endAttempt(false)
		return nil, *unsent
	}
	resp, err := readResponseHead(c, until, func() { t.recordFirstByte(c) })
	if err != nil {
		t.endAttempt(false)
		return nil, core.Result{Status: failureStatus(err), Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, readUnary(t, dialect, resp)
	}
	return e.openStream(t, c, resp, a.Payload, dialect, until)
}

// sendAttempt gets a connection and writes the request to it. A result means that it was not
// written completely. An attempt counts once its last byte is written. It is never retried from
// here, not even after a reset on a pooled connection: only the routing policy knows whether the
// class allows that.
func (e *Client) sendAttempt(ctx context.Context, t *attemptHandle, a core.Attempt, dialect Dialect, until time.Time) (*conn, *core.Result) {
	begun := time.Now()
	c, err := e.pool.get(ctx, a.Endpoint.Addr)
	if err != nil {
		return nil, &core.Result{Status: routing.StatusConnectFailed, Cause: err}
	}
	if !t.setConn(c) { // the caller closes it
		return nil, &core.Result{Status: routing.StatusCancelled, Cause: context.Canceled}
	}
	if a.Connected != nil {
		a.Connected()
	}
	if a.ClientGone != nil && a.ClientGone() {
		return nil, &core.Result{Status: routing.StatusNotSent, Cause: errClientGone}
	}
	if !t.beginWrite() {
		return nil, &core.Result{Status: routing.StatusCancelled, Cause: context.Canceled}
	}
	c.SetDeadline(until)
	a.Timeout -= time.Since(begun) // the engine is sent the remaining time
	if err := writeCall(c, dialect.Attempt(a)); err != nil {
		return nil, &core.Result{Status: routing.StatusConnectFailed, Cause: err}
	}
	if a.Written != nil {
		a.Written(core.WriteRecord{Connection: c.id, At: time.Now()})
	}
	return c, nil
}

// readUnary reads a response that is not a stream.
func readUnary(t *attemptHandle, dialect Dialect, resp *http.Response) core.Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	t.endAttempt(err == nil && len(body) < maxResponse && !resp.Close)
	r := dialect.ParseResponse(resp.StatusCode, resp.Header, body)
	if r.Cause == nil && r.Status != routing.StatusPrefilled {
		r.Cause = fmt.Errorf("status %d", resp.StatusCode)
	}
	return r
}

// leadSize is the buffer in which a stream is read until its answer begins, in bytes.
const leadSize = 4 << 10

var (
	leads = sync.Pool{New: func() any { return new([leadSize]byte) }}
	tails = sync.Pool{New: func() any { b := make([]byte, 0, 2*tailSize); return &b }}
)

// failureStatus tells a broken connection from a malformed or truncated response, whose engine is
// up and has run the request. ETIMEDOUT is a broken connection; a deadline of our own is not.
func failureStatus(err error) routing.Status {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	op := (*net.OpError)(nil)
	if ended || errors.As(err, &op) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return routing.StatusReset
	}
	return routing.StatusError
}

// writeCall writes a call in one piece, without copying its body. It fails only if the last byte
// was not written.
func writeCall(c *conn, call Call) error {
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
	size := int64(head.Len() + len(call.Body))
	if n, err := all.WriteTo(c.Conn); n < size {
		return err
	}
	return nil
}

var errNotHTTP = errors.New("what came is no HTTP answer")

// readResponseHead reads a response head, past any interim ones. It waits for each to begin until a
// deadline, and only headTimeout for the rest of one that has begun: a head that does not end would
// keep the request waiting although nothing more will come. It calls begun when the first byte of each
// head has arrived; nil for nothing to call.
func readResponseHead(c *conn, until time.Time, begun func()) (*http.Response, error) {
	c.in.remaining = maxHead
	defer func() { c.in.remaining = math.MaxInt64 }()
	for {
		c.SetReadDeadline(until)
		if _, err := c.buffered.Peek(1); err != nil {
			return nil, err
		}
		if begun != nil {
			begun()
		}
		if span := time.Now().Add(headTimeout); span.Before(until) {
			c.SetReadDeadline(span)
		}
		const version = "HTTP/1."
		if p, err := c.buffered.Peek(len(version)); err != nil {
			return nil, err
		} else if string(p) != version {
			return nil, errNotHTTP
		}
		resp, err := http.ReadResponse(c.buffered, nil)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// Probe requests a load report; see core.Transport.
func (e *Client) Probe(at core.Endpoint, done func(routing.Status, *routing.LoadReport)) {
	call, given := e.dialect(at.Kind).Probe()
	go func() {
		if !given {
			done(routing.StatusNotSent, nil)
			return
		}
		resp, body, err := e.exchange(at.Addr, call, probeTimeout, e.pool.get, e.pool.putAfterProbe)
		if err != nil {
			done(routing.StatusConnectFailed, nil)
			return
		}
		r := e.dialect(at.Kind).ParseResponse(resp.StatusCode, resp.Header, body)
		done(r.Status, r.Report)
	}()
}

// exchange makes a short call without side effects on a connection that take gets and put gives
// back.
func (e *Client) exchange(addr string, call Call, wait time.Duration, take func(context.Context, string) (*conn, error), put func(*conn)) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	c, err := take(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(wait))
	if err := writeCall(c, call); err != nil {
		e.pool.discard(c, closedFailed)
		return nil, nil, fmt.Errorf("write: %w", err)
	}
	return e.readResponse(c, wait, put)
}

// readResponse reads the response to a short call on its connection, which put gives back.
func (e *Client) readResponse(c *conn, wait time.Duration, put func(*conn)) (*http.Response, []byte, error) {
	resp, err := readResponseHead(c, time.Now().Add(wait), nil)
	if err != nil {
		e.pool.discard(c, closedFailed)
		return nil, nil, fmt.Errorf("read: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil || len(body) == maxResponse || resp.Close {
		e.pool.discard(c, closedFailed)
		return resp, body, err
	}
	put(c)
	return resp, body, nil
}
