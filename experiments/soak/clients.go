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

	"wellgw/experiments/hostile"
)

// Limits and waits of clients.
const (
	clientTries    = 3
	answerTimeout  = 40 * time.Second // for reading one answer; above the limit of every rule
	gatewayPoll    = 20 * time.Millisecond
	incompleteWait = 6 * time.Second
	hostileTurn    = time.Second // after which hostile clients use the address of a new process
)

// behavior is how one client sends and reads.
type behavior uint8

const (
	continuous behavior = iota // sends the next request without a pause
	idling                     // pauses between requests
	slowSender                 // sends a request in pieces
	abandoning                 // closes some connections in the middle of an answer
	incomplete                 // sends some requests only in part and keeps the connection open
	pipelining                 // sends two requests without waiting for the first answer
	slowReader                 // pauses before it reads an answer
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

// run sends requests sequentially until ctx ends.
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

// dial opens a connection if the front admits clients to the gateway.
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

// idle pauses for a random time, or until the gateway closes the connection.
func (c *client) idle(ctx context.Context) {
	until := time.Duration(c.random.IntN(1500)) * time.Millisecond
	defer c.readFor(ctx, until)()
	if _, err := c.in.Peek(1); err != nil && !isTimeout(err) {
		c.close()
	}
}

// readFor limits reads of the connection to a duration and to ctx, until done is called.
func (c *client) readFor(ctx context.Context, d time.Duration) (done func() bool) {
	conn := c.conn
	_ = conn.SetReadDeadline(time.Now().Add(d))
	return context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// request returns the id and the text of the next request.
func (c *client) request(deadline time.Duration) (id, text string) {
	c.sent++
	id = fmt.Sprintf("s%d-%s-%d", c.plan.Seed, c.name, c.sent)
	return id, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: order\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}",
		id, c.name, deadline.Milliseconds())
}

// sendPartial sends part of a request and keeps the connection open.
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
		if ended < since+incompleteLimit+slack { // traffic ended before the limit: not checked
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

// exchange sends one request, or two pipelined ones, and reads the answers.
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
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if !c.send(ctx, text) {
		c.close() // the request was not sent completely
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
		if n > 0 { // the second request can't be answered before the first one
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

// send writes a request, in pieces for a slowSender.
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

// closeLater closes the connection after up to 600 ms, whether or not the answer has arrived.
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
	if c.behavior == slowReader { // the client's own pause delayed the events
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

// events reads a body to its end and counts the events that arrived later than the event limit allows,
// measured from the time that the engine wrote into the event.
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

// playHostile plays the hostile clients of a plan against the gateway's current address.
func (g *gateway) playHostile(ctx context.Context) {
	name := fmt.Sprintf("%ss%dg%d-", hostile.HostilePrefix, g.plan.Seed, g.number)
	for n := 0; ctx.Err() == nil; n++ {
		_, addr, deadline := g.snapshot()
		template := hostile.Client{Addr: addr, Deadline: deadline, Name: fmt.Sprint(name, n, "-")}
		turn, endTurn := context.WithTimeout(ctx, hostileTurn)
		hostile.Crowd(turn, template, g.plan.Seed, g.plan.HostileClients, g.plan.Hostile...)
		endTurn()
	}
}

// holdIdleConn keeps one idle connection open and reopens it when the gateway closes it.
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
