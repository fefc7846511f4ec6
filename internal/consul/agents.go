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

// agent is one of the configured Consul agents.
type agent struct {
	addr string

	// upCtx is canceled when the agent is marked down, which ends its requests. Guarded by Client.mu.
	upCtx    context.Context
	cancelUp context.CancelFunc
}

// Run sends heartbeats to all agents until ctx is done, and returns after its goroutines have
// ended. A blocking query may last long, so it can't show whether its agent is unresponsive.
func (c *Client) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, a := range c.agents {
		group.Go(func() { c.monitor(ctx, a) })
	}
	group.Wait()
	c.http.CloseIdleConnections()
	c.heartbeatHTTP.CloseIdleConnections()
}

// monitor sends heartbeats to one agent and marks it up or down.
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
	resp, err := c.heartbeatHTTP.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return errAgentHung
		}
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeartbeatBody))
	return err // any response, even an error status, shows that the agent is up
}

// markDown marks an agent as down and cancels the requests to it.
func (c *Client) markDown(a *agent, cause error) {
	c.mu.Lock()
	wasUp := c.selection.MarkDown(a.addr)
	a.cancelUp()
	c.mu.Unlock()
	if wasUp {
		c.log.Warn("agent lost", "agent", a.addr, "cause", cause)
		c.http.CloseIdleConnections()
	}
}

// markUp marks an agent as up and wakes the callers of Pause.
func (c *Client) markUp(a *agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.selection.MarkUp(a.addr) {
		return
	}
	c.log.Info("agent recovered", "agent", a.addr)
	a.upCtx, a.cancelUp = context.WithCancel(context.Background())
	close(c.recovered)
	c.recovered = make(chan struct{})
}

// selectAgent returns the agent that gets the next request, and its upCtx. ok is false if all
// agents are down.
func (c *Client) selectAgent() (a *agent, upCtx context.Context, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, changed, ok := c.selection.Select()
	if !ok {
		return nil, nil, false
	}
	if changed {
		c.log.Info("agent selected", "agent", name)
	}
	a = c.agents[name]
	return a, a.upCtx, true
}

// Pause waits until d has elapsed, an agent recovers or ctx is done.
func (c *Client) Pause(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	recovered := c.recovered
	c.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-t.C:
	}
}

// jitter returns a random duration within 25% of d, which spreads the requests of many gateways.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
