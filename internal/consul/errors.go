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

// StatusError is a response with a status other than 200.
type StatusError struct {
	Agent      string
	Status     int
	RetryAfter time.Duration // 0 without one
	Text       string
	Index      uint64 // X-Consul-Index, which a 404 has too
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("agent %s answered %d: %s", e.Agent, e.Status, e.Text)
}

// isNoLeader reports whether the servers had no leader.
func (e *StatusError) isNoLeader() bool {
	return e.Status == http.StatusInternalServerError && strings.Contains(e.Text, "No cluster leader")
}

var (
	errAgentHung = errors.New("the agent hangs")
	errNoAgent   = errors.New("no agent answers")
	errTooLong   = errors.New("the answer is too long")
	errNoIndex   = errors.New("no X-Consul-Index above 0")
)

// newStatusError returns the error for a response whose body, or the beginning of it, is raw.
func newStatusError(agent string, resp *http.Response, raw []byte) *StatusError {
	return &StatusError{
		Agent: agent, Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header),
		Text: strings.Join(strings.Fields(string(raw[:min(len(raw), maxErrorText)])), " "), Index: indexOf(resp.Header),
	}
}

// requestError wraps the failure of a request. An agent that refuses connections is marked
// down at once; for any other failure the heartbeat decides. lifetime is the agent's.
func (c *Client) requestError(lifetime context.Context, a *agent, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.markDown(a, err)
	}
	if lifetime.Err() != nil {
		err = errAgentHung
	}
	return fmt.Errorf("agent %s: %w", a.addr, err)
}

// retryAfter returns an agent's Retry-After in seconds; RFC 9110 allows a date too, which Consul
// does not use.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), maxRetryAfter)
}

var errNotAList = errors.New("the body is no list")
