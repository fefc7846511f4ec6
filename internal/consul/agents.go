package consul

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wellgw/internal/pause"
)

// agent is one of the agents. A beat tells whether it lives.
type agent struct {
	addr string

	lifetime context.Context // ends when it hangs or fails: so do the queries that wait for it
	cancel   context.CancelFunc
}

// Run keeps asking agents for a sign of life until ctx ends. A blocking query may
// be silent for as long as it likes; an agent may not.
func (c *Client) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, a := range c.agents {
		group.Go(func() { c.monitor(ctx, a) })
	}
	group.Wait()
	c.http.CloseIdleConnections()
	c.heartbeats.CloseIdleConnections()
}

func (c *Client) monitor(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		if err := c.heartbeat(ctx, a); ctx.Err() != nil {
			return
		} else if err != nil {
			c.markDown(a, err)
		} else {
			c.markUp(a)
		}
		pause.Sleep(ctx, jitter(heartbeatInterval))
	}
}

func (c *Client) heartbeat(ctx context.Context, a *agent) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+a.addr+"/v1/status/leader", nil)
	if err != nil {
		return err
	}
	resp, err := c.heartbeats.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return errAgentHung
		}
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeartbeatBody))
	return err // any answer is a sign of life, a refusal too
}

// markDown notes that an agent cannot be asked, and ends the queries that wait for it.
func (c *Client) markDown(a *agent, cause error) {
	c.mu.Lock()
	lost := c.selection.MarkDown(a.addr)
	a.cancel()
	c.mu.Unlock()
	if lost {
		c.log.Warn("agent lost", "agent", a.addr, "cause", cause)
		c.http.CloseIdleConnections()
	}
}

// markUp notes that an agent lives, and wakes those that wait for one.
func (c *Client) markUp(a *agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.selection.MarkUp(a.addr) {
		return
	}
	c.log.Info("agent back", "agent", a.addr)
	a.lifetime, a.cancel = context.WithCancel(context.Background())
	close(c.recovered)
	c.recovered = make(chan struct{})
}

// selectAgent returns the agent to ask, and what ends when it is lost.
func (c *Client) selectAgent() (*agent, context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, other, ok := c.selection.Select()
	if !ok {
		return nil, nil, false
	}
	if other {
		c.log.Info("agent in use", "agent", name)
	}
	a := c.agents[name]
	return a, a.lifetime, true
}

// Pause waits for d, or less if an agent comes back meanwhile.
func (c *Client) Pause(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	back := c.recovered
	c.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-back:
	case <-t.C:
	}
}

// jitter spreads calls of many gateways over time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
