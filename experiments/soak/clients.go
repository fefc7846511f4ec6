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
	"time"
)

// How clients behave.
const (
	clientTries    = 3
	answerBound    = 40 * time.Second // of one answer: beyond every rule
	gatewayPoll    = 20 * time.Millisecond
	incompleteWait = 6 * time.Second
)

// manner is how one client behaves.
type behavior uint8

const (
	continuous behavior = iota // sends its next request at once
	idling                     // rests between requests
	slowSender                 // sends in pieces
	abandoning                 // closes its connection at times, in the middle
	incomplete                 // stops in the middle of a request at times, and stays
	pipelining                 // sends two requests at once
	slowReader                 // reads nothing of an answer for a while
)

// client is one client of a gateway.
type client struct {
	*gateway
	name     string
	behavior behavior
	random   *rand.Rand
	sent     int
	conn     net.Conn
	in       *bufio.Reader
	record   *Connection
}

func newClient(g *gateway, n int) *client {
	behaviors := []behavior{continuous, continuous, continuous, continuous, idling, idling, slowSender, abandoning, incomplete, pipelining, slowReader}
	return &client{
		gateway: g, name: fmt.Sprintf("g%dc%d", g.number, n), behavior: behaviors[n%len(behaviors)],
		random: rand.New(rand.NewPCG(g.plan.Seed, uint64(1000*g.number+n))),
	}
}

// run sends one request after the other until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			wait(ctx, nil, gatewayPoll)
			continue
		}
		switch {
		case c.behavior == idling:
			c.idle(ctx)
		case c.behavior == incomplete && c.random.IntN(8) == 0:
			c.sendPartial(ctx)
			continue
		}
		c.exchange(ctx)
	}
}

// dial opens a connection, if the front deals out any to the gateway.
func (c *client) dial() bool {
	if !c.admitted.Load() {
		return false
	}
	_, addr, _ := c.snapshot()
	nc, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = nc, bufio.NewReader(nc)
	c.record = &Connection{Gateway: c.number, Opened: c.observed.now(), Closed: Never}
	c.observed.locked(func() { c.observed.Conns = append(c.observed.Conns, c.record) })
	return true
}

func (c *client) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.observed.locked(func() { c.record.Closed = min(c.record.Closed, c.observed.now()) })
	c.conn = nil
}

// rest waits for a while, or until the gateway ends the connection.
func (c *client) idle(ctx context.Context) {
	until := time.Duration(c.random.IntN(1500)) * time.Millisecond
	defer c.readFor(ctx, until)()
	if _, err := c.in.Peek(1); err != nil && !isTimeout(err) {
		c.close()
	}
}

// readFor bounds reads of the connection by a span and by ctx, until done is called.
func (c *client) readFor(ctx context.Context, d time.Duration) (done func() bool) {
	conn := c.conn
	_ = conn.SetReadDeadline(time.Now().Add(d))
	return context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// request is the text of the next request.
func (c *client) request(deadline time.Duration) (id, text string) {
	c.sent++
	id = fmt.Sprintf("s%d-%s-%d", c.plan.Seed, c.name, c.sent)
	return id, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: order\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}",
		id, c.name, deadline.Milliseconds())
}

// stop sends half a request and stays.
func (c *client) sendPartial(ctx context.Context) {
	_, _, deadline := c.snapshot()
	_, text := c.request(deadline)
	at := 1 + c.random.IntN(len(text)-2)
	if _, err := io.WriteString(c.conn, text[:at]); err != nil {
		c.close()
		return
	}
	since := c.observed.now()
	defer c.readFor(ctx, incompleteWait)()
	_, err := c.in.Peek(1)
	ended := c.observed.now()
	if isTimeout(err) {
		if ended < since+incompleteLimit+slack { // the traffic has ended: nobody looked on
			c.close()
			return
		}
		ended = Never
	}
	c.observed.locked(func() {
		c.observed.IncompleteRequests = append(c.observed.IncompleteRequests, IncompleteRequest{Gateway: c.number, Since: since, Ended: ended})
	})
	c.close()
}

// ask sends a request, or two at once, and reads the answers.
func (c *client) exchange(ctx context.Context) {
	if c.conn == nil {
		return
	}
	first, text := c.newRequest()
	requests := []*Request{first}
	if c.behavior == pipelining {
		second, more := c.newRequest()
		requests, text = append(requests, second), text+more
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerBound))
	if !c.send(ctx, text) {
		c.close() // it was not sent
		return
	}
	sent := c.observed.now()
	c.observed.locked(func() {
		for _, q := range requests {
			q.Sent = sent
		}
		c.observed.Requests = append(c.observed.Requests, requests...)
	})
	if c.behavior == abandoning && c.random.IntN(4) == 0 {
		defer c.closeLater(first).Stop()
	}
	for n, q := range requests {
		if n > 0 { // it can't be answered before the one before it
			c.observed.locked(func() { q.Sent = c.observed.now() })
		}
		if c.conn == nil {
			c.ended(q)
			continue
		}
		c.answer(q)
	}
}

func (c *client) newRequest() (*Request, string) {
	_, _, deadline := c.snapshot()
	id, text := c.request(deadline)
	return &Request{ID: id, Gateway: c.number, Deadline: deadline, ClientClosed: Never, FirstByte: Never, Ended: Never, Conn: c.record}, text
}

// send writes a request, in pieces if that is the client's manner.
func (c *client) send(ctx context.Context, text string) bool {
	if c.behavior == slowSender {
		for _, at := range []int{30, 60} {
			if _, err := io.WriteString(c.conn, text[:at]); err != nil {
				return false
			}
			text = text[at:]
			wait(ctx, nil, time.Duration(c.random.IntN(500))*time.Millisecond)
		}
	}
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// leave closes the connection a moment later, whatever has come by then.
func (c *client) closeLater(q *Request) *time.Timer {
	conn := c.conn
	return time.AfterFunc(time.Duration(c.random.IntN(600))*time.Millisecond, func() {
		c.observed.locked(func() { q.ClientClosed = c.observed.now() })
		conn.Close()
	})
}

// answer reads the answer to a request and records it.
func (c *client) answer(q *Request) {
	if _, err := c.in.Peek(1); err != nil {
		c.ended(q)
		c.close()
		return
	}
	c.observed.locked(func() { q.FirstByte = c.observed.now() })
	if c.behavior == slowReader {
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.ended(q)
		c.close()
		return
	}
	late, complete := c.events(resp.Body)
	if c.behavior == slowReader { // it is to blame for what came late
		late = 0
	}
	c.observed.locked(func() {
		q.Status, q.LateEvents, q.Complete = resp.StatusCode, late, complete
	})
	c.ended(q)
	if resp.Close || !complete {
		c.close()
	}
}

func (c *client) ended(q *Request) {
	c.observed.locked(func() { q.Ended = c.observed.now() })
}

// events reads a body to its end, and counts the events that came over the limit after they were
// written.
func (c *client) events(body io.Reader) (late int, complete bool) {
	scan := bufio.NewScanner(body)
	for scan.Scan() {
		_, after, found := strings.Cut(scan.Text(), `"t:`)
		if !found {
			continue
		}
		number, _, _ := strings.Cut(after, ";")
		written, err := strconv.ParseInt(number, 10, 64)
		if err == nil && c.observed.now()-time.Duration(written) > eventLimit+slack {
			late++
		}
	}
	return late, scan.Err() == nil
}

// crowd is a client that rests on connections until the gateway ends them, and comes again.
func (g *gateway) holdIdleConn(ctx context.Context) {
	for ; ctx.Err() == nil; wait(ctx, nil, 30*time.Millisecond) {
		_, addr, _ := g.snapshot()
		if !g.admitted.Load() {
			continue
		}
		nc, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { nc.Close() })
		_, _ = nc.Read(make([]byte, 1))
		stop()
		nc.Close()
	}
}
