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
// buffered, so that nothing has reached the client if the attempt fails before that event.
type Opener interface {
	// StartsAnswer reports whether an event with this data begins the answer. An error fails the
	// attempt.
	StartsAnswer(p core.Payload, data []byte) (bool, error)
}

// AnswerChecker is a Dialect that knows which streams are complete answers. A stream that ends is otherwise
// taken as complete if its framing says so.
type AnswerChecker interface {
	NewAnswerCheck() AnswerCheck
}

// AnswerCheck follows the events of one stream.
type AnswerCheck interface {
	// Event is called with the data of each event. An error breaks the stream.
	Event(data []byte) error
	// End returns an error if the stream has ended and is not a complete answer.
	End() error
}

// Limits on the size of responses and the time to read them.
const (
	maxHead          = 64 << 10    // bytes of a response head, with the part of the body that arrives with it
	maxPreamble      = 512 << 10   // bytes of a stream before its answer begins
	maxResponse      = 64 << 10    // bytes of a response that is not a stream
	headTimeout      = time.Second // to read a response head after its first byte, and to read a short body
	lastChunkTimeout = time.Second // from the last event to the last chunk
	// Time after an attempt's timeout for which a lingering attempt may stay open, and after which an
	// attempt that is never cancelled ends.
	attemptGracePeriod = 20 * time.Second
	probeTimeout       = time.Second
	// The read deadline may be early by up to the silence timeout divided by this number.
	readDeadlineResolution = 64
)

// Client makes attempts over a pool of connections. It is a core.Transport.
type Client struct {
	pool    *Pool
	dialect func(kind string) Dialect

	mu           sync.Mutex
	releaseSlots map[string]*releaseSlots // by address
}

// NewClient returns a Client over p. The function returns the dialect of each kind of engine.
func NewClient(p *Pool, dialect func(kind string) Dialect) *Client {
	return &Client{pool: p, dialect: dialect, releaseSlots: map[string]*releaseSlots{}}
}

// Start starts an attempt; see core.Transport.
func (client *Client) Start(a core.Attempt, first func(core.Stream), ended func(core.Result)) core.Handle {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+attemptGracePeriod)
	t := &attemptHandle{cancel: cancel, pool: client.pool}
	go func() {
		s, r := client.attempt(ctx, t, a)
		if s != nil {
			first(s)
			return
		}
		ended(r)
	}()
	return t
}

// errClientGone is the cause of an attempt that was not sent because its client had disconnected.
var errClientGone = errors.New("the client has disconnected")

// attempt makes an attempt. It returns the stream once the answer has begun, or the result if there
// is no stream.
func (client *Client) attempt(ctx context.Context, t *attemptHandle, a core.Attempt) (core.Stream, core.Result) {
	dialect := client.dialect(a.Endpoint.Kind)
	deadline := time.Now().Add(a.Timeout + attemptGracePeriod)
	c, failure := client.sendAttempt(ctx, t, a, dialect, deadline)
	if failure != nil {
		t.endAttempt(false)
		return nil, *failure
	}
	resp, err := readResponseHead(c, deadline, func() { t.recordFirstByte(c) })
	if err != nil {
		t.endAttempt(false)
		return nil, core.Result{Status: failureStatus(err), Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, readUnary(t, dialect, resp)
	}
	return client.openStream(t, c, resp, a.Payload, dialect, deadline)
}

// sendAttempt gets a connection and writes the request to it. It returns a result only if the
// request was not written completely. An attempt counts once its last byte is written. This
// function never retries it, not even after a reset on a pooled connection: only the routing policy
// knows whether the class allows a retry.
func (client *Client) sendAttempt(
	ctx context.Context, t *attemptHandle, a core.Attempt, dialect Dialect, deadline time.Time,
) (*conn, *core.Result) {
	ends := time.Now().Add(a.Timeout)
	c, failure := client.connectAttempt(ctx, t, a.Endpoint.Addr)
	if failure != nil {
		return nil, failure
	}
	if a.Connected != nil {
		a.Connected()
	}
	if a.ClientGone != nil && a.ClientGone() {
		return nil, &core.Result{Status: routing.StatusNotSent, Cause: errClientGone}
	}
	for {
		if !t.beginWrite() {
			return nil, &core.Result{Status: routing.StatusCancelled, Cause: context.Canceled}
		}
		c.SetDeadline(deadline)
		a.Timeout = time.Until(ends) // the engine receives the remaining time
		err := writeCall(c, dialect.Attempt(a))
		if err == nil {
			break
		}
		if !errors.Is(err, errNotReusable) {
			return nil, &core.Result{Status: routing.StatusConnectFailed, Cause: err}
		}
		t.dropUnwritten()
		if c, failure = client.connectAttempt(ctx, t, a.Endpoint.Addr); failure != nil {
			return nil, failure
		}
	}
	if a.Written != nil {
		a.Written(core.WriteRecord{Connection: c.id, At: time.Now()})
	}
	return c, nil
}

// connectAttempt gets a connection for an attempt.
func (client *Client) connectAttempt(ctx context.Context, t *attemptHandle, addr string) (*conn, *core.Result) {
	c, err := client.pool.get(ctx, addr)
	if err != nil {
		return nil, &core.Result{Status: routing.StatusConnectFailed, Cause: err}
	}
	if !t.setConn(c) { // the caller closes c
		return nil, &core.Result{Status: routing.StatusCancelled, Cause: context.Canceled}
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

// preambleSize is the size of the buffer for reads before the answer begins, in bytes.
const preambleSize = 4 << 10

var preambleBuffers = sync.Pool{New: func() any { return new([preambleSize]byte) }}

// failureStatus distinguishes a broken connection from a malformed or truncated response, whose
// engine is up and has run the request. ETIMEDOUT is a broken connection; an expired deadline of
// the gateway is not.
func failureStatus(err error) routing.Status {
	eof := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	opErr := (*net.OpError)(nil)
	if eof || errors.As(err, &opErr) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return routing.StatusReset
	}
	return routing.StatusError
}

// errNotReusable means that an idle connection was closed, or received bytes, before a call was written.
var errNotReusable = errors.New("the idle connection was closed or received bytes")

// writeCall writes a call with one vectored write, which does not copy its body. It returns an
// error only if the last byte was not written. It writes nothing to a connection that was closed, or
// received bytes, since it was taken from the pool: some time may have passed.
func writeCall(c *conn, call Call) error {
	if c.reused && !openAndEmpty(c.Conn) {
		return errNotReusable
	}
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + c.addr + "\r\n")
	for _, h := range call.Header {
		head.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	if len(call.Body) > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes(), call.Body}
	c.callSize = head.Len() + len(call.Body)
	if n, err := buffers.WriteTo(c.Conn); n < int64(c.callSize) {
		return err
	}
	return nil
}

var (
	errNotHTTP       = errors.New("not an HTTP/1 response")
	errEarlyResponse = errors.New("the response was sent before the request arrived: it belongs to an earlier request")
)

// readResponseHead reads a response head and skips interim (1xx) ones. It waits until the deadline
// for the first byte of each head, then at most headTimeout for the remainder: an engine that sends
// an unterminated head would otherwise block the request until its deadline. It calls onFirstByte,
// unless nil, when the first byte of each head has arrived.
func readResponseHead(c *conn, deadline time.Time, onFirstByte func()) (*http.Response, error) {
	c.reader.remaining = maxHead
	defer func() { c.reader.remaining = math.MaxInt64 }()
	for {
		c.SetReadDeadline(deadline)
		if _, err := c.buffered.Peek(1); err != nil {
			return nil, err
		}
		if c.respondedBeforeCall() {
			return nil, errEarlyResponse
		}
		if onFirstByte != nil {
			onFirstByte()
		}
		if headDeadline := time.Now().Add(headTimeout); headDeadline.Before(deadline) {
			c.SetReadDeadline(headDeadline)
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
func (client *Client) Probe(endpoint core.Endpoint, done func(routing.Status, *routing.LoadReport)) {
	call, supported := client.dialect(endpoint.Kind).Probe()
	go func() {
		if !supported {
			done(routing.StatusNotSent, nil)
			return
		}
		resp, body, err := client.exchange(endpoint.Addr, call, probeTimeout, client.pool.get, client.pool.putAfterProbe)
		if err != nil {
			done(routing.StatusConnectFailed, nil)
			return
		}
		r := client.dialect(endpoint.Kind).ParseResponse(resp.StatusCode, resp.Header, body)
		done(r.Status, r.Report)
	}()
}

// exchange makes a short call without side effects on a connection from get, and returns the
// connection with put.
func (client *Client) exchange(
	addr string, call Call, timeout time.Duration, get func(context.Context, string) (*conn, error), put func(*conn),
) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := get(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(timeout))
	if err := writeCall(c, call); err != nil {
		client.pool.discard(c, closedFailed)
		return nil, nil, fmt.Errorf("write: %w", err)
	}
	return client.readResponse(c, timeout, put)
}

// readResponse reads the response to a short call, and returns the connection with put.
func (client *Client) readResponse(c *conn, timeout time.Duration, put func(*conn)) (*http.Response, []byte, error) {
	resp, err := readResponseHead(c, time.Now().Add(timeout), nil)
	if err != nil {
		client.pool.discard(c, closedFailed)
		return nil, nil, fmt.Errorf("read: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil || len(body) == maxResponse || resp.Close {
		client.pool.discard(c, closedFailed)
		return resp, body, err
	}
	put(c)
	return resp, body, nil
}
