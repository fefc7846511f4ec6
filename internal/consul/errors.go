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
	RetryAfter time.Duration // 0 if the response has no valid one
	Text       string        // the beginning of the body
	Index      uint64        // X-Consul-Index, which a response with status 404 also has
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("agent %s returned status %d: %s", e.Agent, e.Status, e.Text)
}

// isNoLeader reports whether the response states that the cluster has no leader.
func (e *StatusError) isNoLeader() bool {
	return e.Status == http.StatusInternalServerError && strings.Contains(e.Text, "No cluster leader")
}

var (
	errAgentHung = errors.New("agent does not respond to heartbeats")
	errNoAgent   = errors.New("no agent is up")
	errTooLong   = errors.New("response exceeds the size limit")
	errNoIndex   = errors.New("X-Consul-Index is missing or 0")
)

// newStatusError returns the error for a response. raw is the beginning of its body.
func newStatusError(agent string, resp *http.Response, raw []byte) *StatusError {
	return &StatusError{
		Agent: agent, Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header),
		Text: strings.Join(strings.Fields(string(raw[:min(len(raw), maxErrorText)])), " "), Index: responseIndex(resp.Header),
	}
}

// requestError wraps the error of a request. If the connection could not be opened, the agent is
// marked down immediately; after any other error the next heartbeat decides. upCtx is the agent's
// context at the start of the request.
func (c *Client) requestError(upCtx context.Context, a *agent, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.markDown(a, err)
	}
	if upCtx.Err() != nil {
		err = errAgentHung
	}
	return fmt.Errorf("agent %s: %w", a.addr, err)
}

// retryAfter returns the Retry-After of a response, at most maxRetryAfter, and 0 if it is missing
// or malformed. Only seconds are parsed: RFC 9110 also allows a date, but Consul does not use it.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), maxRetryAfter)
}

var errNotList = errors.New("response body is not a JSON array")
