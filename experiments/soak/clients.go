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
	clientTries  = 3
	answerBound  = 40 * time.Second // of one answer: beyond every rule
	noGateway    = 20 * time.Millisecond
	hostileStays = 6 * time.Second
)

// manner is how one client behaves.
type manner uint8

const (
	atOnce   manner = iota // sends its next request at once
	resting                // rests between requests
	slow                   // sends in pieces
	leaving                // closes its connection at times, in the middle
	stopping               // stops in the middle of a request at times, and stays
	ahead                  // sends two requests at once
	stalling               // reads nothing of an answer for a while
)

// client is one client of a gateway.
type client struct {
	*gateway
	name   string
	manner manner
	random *rand.Rand
	sent   int
	conn   net.Conn
	in     *bufio.Reader
	record *Connection
}

func newClient(g *gateway, n int) *client {
	manners := []manner{atOnce, atOnce, atOnce, atOnce, resting, resting, slow, leaving, stopping, ahead, stalling}
	return &client{
		gateway: g, name: fmt.Sprintf("g%dc%d", g.number, n), manner: manners[n%len(manners)],
		random: rand.New(rand.NewPCG(g.plan.Seed, uint64(1000*g.number+n))),
	}
}

// run sends one request after the other until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			wait(ctx, nil, noGateway)
			continue
		}
		switch {
		case c.manner == resting:
			c.rest(ctx)
		case c.manner == stopping && c.random.IntN(8) == 0:
			c.stop(ctx)
			continue
		}
		c.ask(ctx)
	}
}

// dial opens a connection, if the front deals out any to the gateway.
func (c *client) dial() bool {
	if !c.admitted.Load() {
		return false
	}
	_, addr, _ := c.now()
	nc, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = nc, bufio.NewReader(nc)
	c.record = &Connection{Gateway: c.number, Opened: c.book.now(), Closed: Never}
	c.book.locked(func() { c.book.Conns = append(c.book.Conns, c.record) })
	return true
}

func (c *client) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.book.locked(func() { c.record.Closed = min(c.record.Closed, c.book.now()) })
	c.conn = nil
}

// rest waits for a while, or until the gateway ends the connection.
func (c *client) rest(ctx context.Context) {
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
func (c *client) stop(ctx context.Context) {
	_, _, deadline := c.now()
	_, text := c.request(deadline)
	at := 1 + c.random.IntN(len(text)-2)
	if _, err := io.WriteString(c.conn, text[:at]); err != nil {
		c.close()
		return
	}
	since := c.book.now()
	defer c.readFor(ctx, hostileStays)()
	_, err := c.in.Peek(1)
	ended := c.book.now()
	if isTimeout(err) {
		if ended < since+hostileLimit+slack { // the traffic has ended: nobody looked on
			c.close()
			return
		}
		ended = Never
	}
	c.book.locked(func() {
		c.book.Hostile = append(c.book.Hostile, Hostile{Gateway: c.number, Since: since, Ended: ended})
	})
	c.close()
}

// ask sends a request, or two at once, and reads the answers.
func (c *client) ask(ctx context.Context) {
	if c.conn == nil {
		return
	}
	first, text := c.newRequest()
	requests := []*Request{first}
	if c.manner == ahead {
		second, more := c.newRequest()
		requests, text = append(requests, second), text+more
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerBound))
	if !c.send(ctx, text) {
		c.close() // it was not sent
		return
	}
	sent := c.book.now()
	c.book.locked(func() {
		for _, q := range requests {
			q.Sent = sent
		}
		c.book.Requests = append(c.book.Requests, requests...)
	})
	if c.manner == leaving && c.random.IntN(4) == 0 {
		defer c.leave(first).Stop()
	}
	for n, q := range requests {
		if n > 0 { // it can't be answered before the one before it
			c.book.locked(func() { q.Sent = c.book.now() })
		}
		if c.conn == nil {
			c.ended(q)
			continue
		}
		c.answer(q)
	}
}

func (c *client) newRequest() (*Request, string) {
	_, _, deadline := c.now()
	id, text := c.request(deadline)
	return &Request{ID: id, Gateway: c.number, Deadline: deadline, Left: Never, First: Never, Ended: Never, Conn: c.record}, text
}

// send writes a request, in pieces if that is the client's manner.
func (c *client) send(ctx context.Context, text string) bool {
	if c.manner == slow {
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
func (c *client) leave(q *Request) *time.Timer {
	conn := c.conn
	return time.AfterFunc(time.Duration(c.random.IntN(600))*time.Millisecond, func() {
		c.book.locked(func() { q.Left = c.book.now() })
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
	c.book.locked(func() { q.First = c.book.now() })
	if c.manner == stalling {
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.ended(q)
		c.close()
		return
	}
	late, whole := c.events(resp.Body)
	if c.manner == stalling { // it is to blame for what came late
		late = 0
	}
	c.book.locked(func() {
		q.Status, q.Late, q.Whole = resp.StatusCode, late, whole
	})
	c.ended(q)
	if resp.Close || !whole {
		c.close()
	}
}

func (c *client) ended(q *Request) {
	c.book.locked(func() { q.Ended = c.book.now() })
}

// events reads a body to its end, and counts the events that came over the limit after they were
// written.
func (c *client) events(body io.Reader) (late int, whole bool) {
	scan := bufio.NewScanner(body)
	for scan.Scan() {
		_, after, found := strings.Cut(scan.Text(), `"t:`)
		if !found {
			continue
		}
		number, _, _ := strings.Cut(after, ";")
		written, err := strconv.ParseInt(number, 10, 64)
		if err == nil && c.book.now()-time.Duration(written) > eventLimit+slack {
			late++
		}
	}
	return late, scan.Err() == nil
}

// crowd is a client that rests on connections until the gateway ends them, and comes again.
func (g *gateway) crowd(ctx context.Context) {
	for ; ctx.Err() == nil; wait(ctx, nil, 30*time.Millisecond) {
		_, addr, _ := g.now()
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
