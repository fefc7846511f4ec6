package hostile

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

// Behavior is what a hostile client does with its connections.
type Behavior string

// The behaviors.
const (
	SlowBody       Behavior = "slow body"   // half of a large body, then a byte each dripInterval
	SlowHead       Behavior = "slow head"   // a head of very many fields, some at a time
	LargeHead      Behavior = "large head"  // a head of many fields just below the limit, without its end
	SlowReader     Behavior = "slow reader" // reads a long answer a few bytes at a time
	Churn          Behavior = "churn"       // ever new connections with a large incomplete head or body
	FloodHealth    Behavior = "flood of health checks"
	FloodUnsound   Behavior = "flood of unsound requests"
	FloodUnknown   Behavior = "flood of an unknown class"
	FloodRequests  Behavior = "flood of small requests"
	FloodWaiting   Behavior = "health checks one by one"
	EarlyClose     Behavior = "early close"     // many requests at once, and a close while they are unread
	RepeatedOrders Behavior = "repeated orders" // sends an id, leaves, and sends the same id again
)

// Sizes and intervals of hostile clients.
const (
	largeBody      = 250_000 // bytes
	missingBytes   = 9       // of the large body of a Churn client
	headFields     = 12_000
	fieldsPerWrite = 40
	distinctFields = 3_000 // of a head just below the limit of 16 KiB and net/http's allowance
	headStay       = 1800 * time.Millisecond
	dripInterval   = 100 * time.Millisecond
	slowReadSize   = 64
	slowReadPause  = 50 * time.Millisecond
	floodBatch     = 50 // requests in one write
	closeRequests  = 25 // requests of an EarlyClose client
	closeBodySize  = 6000
	closeDelay     = 20 * time.Millisecond
	dialTimeout    = 2 * time.Second
	maxRepeatDelay = 570 * time.Millisecond
	reconnectPause = 5 * time.Millisecond
	minChurnStay   = 100 * time.Millisecond
	maxChurnStay   = 700 * time.Millisecond
)

// Client is one hostile client.
type Client struct {
	Addr     string
	Behavior Behavior
	Deadline time.Duration // of its requests
	Name     string        // prefix of its request ids
	Random   *rand.Rand
	// Closed is called with the ids of the requests of a connection that the client has just closed; nil for
	// no call.
	Closed func(ids []string)
	sent   int
}

// Run plays the client until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", c.Addr, dialTimeout)
		if err != nil {
			Sleep(ctx, reconnectPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
		c.play(ctx, conn)
		stop()
		conn.Close()
		Sleep(ctx, reconnectPause)
	}
}

// play uses one connection until the gateway or the client ends it.
func (c *Client) play(ctx context.Context, conn net.Conn) {
	switch c.Behavior {
	case SlowBody:
		body := strings.Repeat("x", largeBody/2)
		if write(conn, c.request(largeBody)+body) {
			for Sleep(ctx, dripInterval) && write(conn, "x") {
			}
		}
	case SlowHead:
		c.slowHead(ctx, conn)
	case LargeHead:
		if write(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n"+namedFields(distinctFields)) {
			Sleep(ctx, headStay)
		}
	case SlowReader:
		if write(conn, c.request(2)+"{}") {
			buffer := make([]byte, slowReadSize)
			for Sleep(ctx, slowReadPause) {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}
	case Churn:
		c.churn(ctx, conn)
	case EarlyClose:
		c.earlyClose(ctx, conn)
	case RepeatedOrders:
		c.repeat(ctx, conn)
	default:
		c.flood(ctx, conn)
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// request returns the head of a request with a new id, for a body of the given size.
func (c *Client) request(bodySize int) string {
	c.sent++
	return Request(fmt.Sprintf("%s-%d", c.Name, c.sent), Class, c.Deadline, bodySize)
}

// fields returns short fields of a head.
func fields(n int) string { return strings.Repeat("a:\r\n", n) }

// namedFields returns short fields with different names.
func namedFields(n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return text.String()
}

func (c *Client) slowHead(ctx context.Context, conn net.Conn) {
	if !write(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n") {
		return
	}
	for sent := 0; sent < headFields && Sleep(ctx, dripInterval); sent += fieldsPerWrite {
		if !write(conn, fields(fieldsPerWrite)) {
			return
		}
	}
}

// churn sends a large head without an end, or a large body that lacks its last bytes, and leaves.
func (c *Client) churn(ctx context.Context, conn net.Conn) {
	stay := minChurnStay + time.Duration(c.Random.Int64N(int64(maxChurnStay-minChurnStay)))
	_ = conn.SetDeadline(time.Now().Add(stay))
	sent := false
	if c.Random.IntN(2) == 0 {
		sent = write(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"+fields(headFields))
	} else {
		sent = write(conn, c.request(largeBody)+strings.Repeat("x", largeBody-missingBytes))
	}
	if sent {
		_, _ = io.Copy(io.Discard, conn)
	}
	_ = ctx
}

// flood sends requests without a pause and reads the answers.
func (c *Client) flood(ctx context.Context, conn net.Conn) {
	if c.Behavior == FloodWaiting {
		in := bufio.NewReader(conn)
		for ctx.Err() == nil && write(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
		}
		return
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for ctx.Err() == nil && write(conn, c.batch()) {
	}
}

// batch returns the text of floodBatch requests.
func (c *Client) batch() string {
	var text strings.Builder
	for range floodBatch {
		switch c.Behavior {
		case FloodUnsound:
			text.WriteString("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nX-Request-Id: bad id\r\n\r\n{}")
		case FloodUnknown:
			c.sent++
			id := fmt.Sprintf("%s-%d", c.Name, c.sent)
			text.WriteString(Request(id, "class-"+id, c.Deadline, 0))
		case FloodRequests:
			text.WriteString(c.request(2) + "{}")
		default:
			text.WriteString("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	return text.String()
}

// earlyClose sends many requests at once and closes the connection while most of them are unread, by FIN
// and RST in turn.
func (c *Client) earlyClose(ctx context.Context, conn net.Conn) {
	var text strings.Builder
	var ids []string
	for range closeRequests {
		text.WriteString(c.request(closeBodySize) + strings.Repeat("x", closeBodySize))
		ids = append(ids, fmt.Sprintf("%s-%d", c.Name, c.sent))
	}
	go func() { _ = write(conn, text.String()) }()
	Sleep(ctx, closeDelay)
	if tcp, ok := conn.(*net.TCPConn); ok && c.Random.IntN(2) == 0 {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
	if c.Closed != nil {
		c.Closed(ids)
	}
	Sleep(ctx, closeDelay)
}

// repeat sends a request, leaves, and sends the same request on a new connection.
func (c *Client) repeat(ctx context.Context, conn net.Conn) {
	text := c.request(2) + "{}"
	if !write(conn, text) {
		return
	}
	Sleep(ctx, time.Duration(c.Random.Int64N(int64(closeDelay))))
	conn.Close()
	Sleep(ctx, time.Duration(c.Random.Int64N(int64(maxRepeatDelay))))
	again, err := net.DialTimeout("tcp4", c.Addr, dialTimeout)
	if err != nil {
		return
	}
	defer again.Close()
	_ = again.SetDeadline(time.Now().Add(c.Deadline + dialTimeout))
	if write(again, text) {
		_, _ = again.Read(make([]byte, 1))
	}
}

// Sleep waits for a duration. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Crowd plays n clients of each of the given behaviors in turn until ctx ends.
func Crowd(ctx context.Context, template Client, seed uint64, n int, behaviors ...Behavior) {
	var group sync.WaitGroup
	for i := range n {
		client := template
		client.Behavior = behaviors[i%len(behaviors)]
		client.Name = fmt.Sprintf("%s%d", template.Name, i)
		client.Random = rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() { client.Run(ctx) })
	}
	group.Wait()
}
