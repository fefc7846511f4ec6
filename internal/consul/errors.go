package consul

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// StatusError is an answer other than 200.
type StatusError struct {
	Agent      string
	Status     int
	RetryAfter time.Duration // 0 = no advice
	Text       string
	Index      uint64 // X-Consul-Index, which comes with a 404 too
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("agent %s answered %d: %s", e.Agent, e.Status, e.Text)
}

// isNoLeader tells whether the servers had no leader to ask.
func (e *StatusError) isNoLeader() bool {
	return e.Status == http.StatusInternalServerError && strings.Contains(e.Text, "No cluster leader")
}

var (
	errAgentHung = errors.New("the agent hangs")
	errNoAgent   = errors.New("no agent answers")
	errTooLong   = errors.New("the answer is too long")
	errNoIndex   = errors.New("no X-Consul-Index above 0")
)

// requestError words a failure. An agent that refuses connections is lost at once; for
// anything else a beat tells.
func (c *Client) requestError(a *agent, epoch context.Context, err error) error {
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
		c.markDown(a, err)
	}
	if epoch.Err() != nil {
		err = errAgentHung
	}
	return fmt.Errorf("agent %s: %w", a.addr, err)
}

// retryAfter reads an agent's hint in seconds; RFC 9110 allows a date too, which
// Consul does not use.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), maxRetryAfter)
}

var errNotAList = errors.New("the body is no list")
