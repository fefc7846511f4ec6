package rolectl

import (
	"context"
	"errors"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/internal/consul"
)

// lease is one term as the leader.
type lease struct {
	*rolechange.Lease
	session string
	value   lockValue
}

// lockValue is the value at the lock: who leads, and what the next leader has to know of the
// changes before.
type lockValue struct {
	Gateway string         `json:"gateway"`
	History []HistoryEntry `json:"ends"`
}

func (c *Controller) lockKey() string { return c.opt.KeyPrefix + "/owner" }

var errLeaseLost = errors.New("the lease is lost")

// endSessionTimeout bounds the end of a session as a term ends.
const endSessionTimeout = 800 * time.Millisecond

// campaign tries to get the lease, and leads while it lasts, until ctx ends.
func (c *Controller) campaign(ctx context.Context, client *consul.Client) {
	for ctx.Err() == nil {
		held, err := c.acquire(ctx, client)
		if err != nil || held == nil {
			client.Pause(ctx, retryInterval)
			continue
		}
		c.opt.Log.Info("role change lease acquired", "gateway", held.value.Gateway, "fencing_token", held.FencingToken)
		err = c.lead(ctx, client, held)
		c.mu.Lock()
		c.status.IsLeader = false
		c.mu.Unlock()
		c.opt.Log.Info("role change lease lost", "fencing_token", held.FencingToken, "cause", err)
		endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endSessionTimeout)
		_ = client.DestroySession(endCtx, held.session) // without it the session ends at its TTL
		cancel()
	}
}

// acquire returns the lease if it is free, nil if another gateway holds it.
func (c *Controller) acquire(ctx context.Context, client *consul.Client) (*lease, error) {
	lock, value, err := c.readLock(ctx, client)
	if err != nil {
		return nil, err
	}
	gateway := c.opt.GatewayName()
	switch rolechange.DecideLock(lock.Session, c.lastSession, gateway) {
	case rolechange.SkipLock:
		return nil, nil
	case rolechange.DestroyOwnSession:
		return nil, client.DestroySession(ctx, lock.Session)
	}
	requestedAt := time.Now()
	session, err := client.NewSession(ctx, "wellgw roles "+gateway, c.opt.LeaseTTL, lockDelay)
	if err != nil {
		return nil, err
	}
	value.Gateway = gateway
	token, taken, err := c.takeLock(ctx, client, session, value)
	if err != nil || !taken {
		_ = client.DestroySession(ctx, session)
		return nil, err
	}
	c.lastSession = session
	return &lease{Lease: rolechange.NewLease(token, c.opt.LeaseTTL, requestedAt), session: session, value: value}, nil
}

// readLock reads the lock and shows what it says.
func (c *Controller) readLock(ctx context.Context, client *consul.Client) (consul.Pair, lockValue, error) {
	lock, _, err := client.Read(ctx, c.lockKey())
	if err != nil {
		return consul.Pair{}, lockValue{}, err
	}
	var value lockValue
	_ = jsoniter.Unmarshal(lock.Value, &value) // a lock never held has no value
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.Leader, c.status.FencingToken, c.status.History = value.Gateway, lock.LockIndex, value.History
	return lock, value, nil
}

// takeLock takes the lock for a session and returns the fencing token, false if another session
// was faster.
func (c *Controller) takeLock(ctx context.Context, client *consul.Client, session string, value lockValue) (uint64, bool, error) {
	raw, err := jsoniter.Marshal(value)
	if err != nil {
		return 0, false, err
	}
	taken, err := client.AcquireLock(ctx, c.lockKey(), session, raw)
	if err != nil || !taken {
		return 0, false, err
	}
	lock, _, err := client.Read(ctx, c.lockKey())
	if err != nil || lock.Session != session {
		return 0, false, err
	}
	return lock.LockIndex, true, nil
}
