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

// Class is the request class of all clients.
const Class = "order"

// Request returns the head of a platform request.
func Request(id, class string, deadline time.Duration, bodySize int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Key: k\r\nX-Deadline-Ms: %d\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: %d\r\n\r\n",
		id, class, deadline.Milliseconds(), bodySize)
}

// Served counts the answers to sound requests.
type Served struct {
	Sent       int
	InTime     int           // complete answers whose first byte came within the deadline
	Late       int           // other final answers, after the deadline and lateSlack
	Rejected   int           // other final answers in time
	Unanswered int           // connections that ended, or stayed silent, without an answer
	Longest    time.Duration // until the first byte of an answer
}

func (s Served) String() string {
	return fmt.Sprintf("%d of %d in time, %d rejected, %d late, %d unanswered, longest %v", s.InTime, s.Sent, s.Rejected, s.Late, s.Unanswered, s.Longest.Round(time.Millisecond))
}

const (
	lateSlack   = 500 * time.Millisecond // after the deadline; a later final answer counts as late
	soundClosed = 2                      // tries of a request whose connection the gateway closed unread
	giveUp      = 7 * time.Second        // after the deadline
)

// Sound sends requests at a steady rate, on connections that are kept open, and counts the answers.
type Sound struct {
	Addr     string
	Rate     float64 // requests a second
	Deadline time.Duration
	Name     string

	mu     sync.Mutex
	idle   []*soundConn
	served Served
}

type soundConn struct {
	net.Conn
	in *bufio.Reader
}

// Run sends requests until ctx ends, waits for the answers and returns their counts.
func (s *Sound) Run(ctx context.Context) Served {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			group.Go(func() { s.request(fmt.Sprintf("%s-%d", s.Name, n)) })
		}
	}
	group.Wait()
	for _, c := range s.idle {
		c.Close()
	}
	return s.served
}

// conn returns an idle connection, or a new one.
func (s *Sound) conn(fresh bool) (c *soundConn, reused bool, err error) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 && !fresh {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
	}
	s.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	nc, err := net.DialTimeout("tcp4", s.Addr, dialTimeout)
	if err != nil {
		return nil, false, err
	}
	return &soundConn{nc, bufio.NewReader(nc)}, false, nil
}

// request sends one request. If the gateway closes an idle connection while the request is sent, the request
// is sent once more on a new connection.
func (s *Sound) request(id string) {
	begin := time.Now()
	status, whole, first := 0, false, time.Duration(0)
	for try := range soundClosed {
		c, reused, err := s.conn(try > 0)
		if err != nil {
			break
		}
		_ = c.SetDeadline(begin.Add(s.Deadline + giveUp))
		status, whole, first = s.exchange(c, begin, id)
		if status != 0 || !reused {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served.Sent++
	s.served.Longest = max(s.served.Longest, first)
	switch {
	case status == 0:
		s.served.Unanswered++
	case first > s.Deadline+lateSlack:
		s.served.Late++
	case status == http.StatusOK && whole:
		s.served.InTime++
	default:
		s.served.Rejected++
	}
}

func (s *Sound) exchange(c *soundConn, begin time.Time, id string) (status int, whole bool, first time.Duration) {
	if !write(c, Request(id, Class, s.Deadline, 2)+"{}") {
		c.Close()
		return 0, false, 0
	}
	if _, err := c.in.Peek(1); err != nil {
		c.Close()
		return 0, false, 0
	}
	first = time.Since(begin)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.Close()
		return 0, false, 0
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.Close()
	} else {
		s.mu.Lock()
		s.idle = append(s.idle, c)
		s.mu.Unlock()
	}
	return resp.StatusCode, err == nil && strings.Contains(string(text), "[DONE]"), first
}
