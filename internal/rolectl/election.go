package rolectl

import (
	"context"
	"errors"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/internal/consul"
)

// lease is one holding of the owner's lock.
type lease struct {
	*rolechange.Lease
	session string
	value   lockValue
}

// lockValue is what stands at the lock: it tells the next owner what there was.
type lockValue struct {
	Gateway string         `json:"gateway"`
	History []HistoryEntry `json:"ends"`
}

func (c *Controller) lockKey() string { return c.opt.KeyPrefix + "/owner" }

var errLeaseLost = errors.New("the lease is lost")

// campaign tries to become the owner, and owns while the lease lasts.
func (c *Controller) campaign(ctx context.Context, client *consul.Client) {
	for ctx.Err() == nil {
		l, err := c.acquire(ctx, client)
		if err != nil || l == nil {
			client.Pause(ctx, retryInterval)
			continue
		}
		c.opt.Log.Info("owner of changes of role", "gateway", l.value.Gateway, "fence", l.FencingToken)
		err = c.lead(ctx, client, l)
		c.mu.Lock()
		c.status.IsLeader = false
		c.mu.Unlock()
		c.opt.Log.Info("no longer owner of changes of role", "fence", l.FencingToken, "cause", err)
		bye, done := context.WithTimeout(context.WithoutCancel(ctx), engineTimeout)
		_ = client.EndSession(bye, l.session) // or it ends by itself
		done()
	}
}

// acquire returns the lease if it is to be had, nil if another holds it.
func (c *Controller) acquire(ctx context.Context, client *consul.Client) (*lease, error) {
	before, _, err := client.Read(ctx, c.lockKey())
	if err != nil {
		return nil, err
	}
	var value lockValue
	_ = jsoniter.Unmarshal(before.Value, &value)
	c.mu.Lock()
	c.status.Leader, c.status.FencingToken = value.Gateway, before.LockIndex
	c.status.History = value.History
	c.mu.Unlock()
	gateway := c.opt.GatewayName()
	switch rolechange.DecideLock(before.Session, c.lastSession, gateway) {
	case rolechange.LeaveLock:
		return nil, nil
	case rolechange.EndOwnSession:
		return nil, client.EndSession(ctx, before.Session)
	}
	asked := time.Now()
	l := &lease{value: lockValue{Gateway: gateway, History: value.History}}
	if l.session, err = client.NewSession(ctx, "wellgw roles "+gateway, c.opt.LeaseTTL, lockDelay); err != nil {
		return nil, err
	}
	raw, err := jsoniter.Marshal(l.value)
	if err != nil {
		return nil, err
	}
	got, err := client.Lock(ctx, c.lockKey(), l.session, raw)
	if err == nil && got {
		var now consul.Pair
		if now, _, err = client.Read(ctx, c.lockKey()); err == nil && now.Session == l.session {
			l.Lease, c.lastSession = rolechange.NewLease(now.LockIndex, c.opt.LeaseTTL, asked), l.session
			return l, nil
		}
	}
	_ = client.EndSession(ctx, l.session)
	return nil, err
}
