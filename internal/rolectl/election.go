package rolectl

import (
	"context"
	"errors"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/internal/consul"
)

// lease is the lease of one term as leader, with the Consul session that holds it.
type lease struct {
	*rolechange.Lease
	session string
	value   lockValue
}

// lockValue is the value of the lock: the leading gateway, and the history of changes, which the
// planner of the next leader needs.
type lockValue struct {
	Gateway string         `json:"gateway"`
	History []HistoryEntry `json:"ends"`
}

func (c *Controller) lockKey() string { return c.opt.KeyPrefix + "/owner" }

var errLeaseLost = errors.New("lease lost")

// endSessionTimeout limits the call that ends the Consul session at the end of a term.
const endSessionTimeout = 800 * time.Millisecond

// campaign repeatedly tries to acquire the lease, and leads while it is valid, until ctx ends.
func (c *Controller) campaign(ctx context.Context, client *consul.Client) {
	for ctx.Err() == nil {
		acquired, err := c.acquire(ctx, client)
		if err != nil || acquired == nil {
			client.Pause(ctx, retryInterval)
			continue
		}
		c.opt.Log.Info("role change lease acquired", "gateway", acquired.value.Gateway, "fencing_token", acquired.FencingToken)
		err = c.lead(ctx, client, acquired)
		c.mu.Lock()
		c.status.IsLeader = false
		c.mu.Unlock()
		c.opt.Log.Info("role change lease lost", "fencing_token", acquired.FencingToken, "cause", err)
		endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endSessionTimeout)
		_ = client.DestroySession(endCtx, acquired.session) // if the call fails, the session expires after its TTL
		cancel()
	}
}

// acquire tries to acquire the lease. It returns nil if it did not, for example because another gateway
// has the lease.
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
	token, acquired, err := c.acquireLock(ctx, client, session, value)
	if err != nil || !acquired {
		_ = client.DestroySession(ctx, session)
		return nil, err
	}
	c.lastSession = session
	return &lease{Lease: rolechange.NewLease(token, c.opt.LeaseTTL, requestedAt), session: session, value: value}, nil
}

// readLock reads the lock and copies its content to the status.
func (c *Controller) readLock(ctx context.Context, client *consul.Client) (consul.Pair, lockValue, error) {
	lock, _, err := client.Read(ctx, c.lockKey())
	if err != nil {
		return consul.Pair{}, lockValue{}, err
	}
	var value lockValue
	_ = jsoniter.Unmarshal(lock.Value, &value) // a lock that was never acquired has no value
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.Leader, c.status.FencingToken, c.status.History = value.Gateway, lock.LockIndex, value.History
	return lock, value, nil
}

// acquireLock acquires the lock for a session and returns the fencing token, or false if another
// session has acquired it.
func (c *Controller) acquireLock(ctx context.Context, client *consul.Client, session string, value lockValue) (uint64, bool, error) {
	raw, err := jsoniter.Marshal(value)
	if err != nil {
		return 0, false, err
	}
	acquired, err := client.AcquireLock(ctx, c.lockKey(), session, raw)
	if err != nil || !acquired {
		return 0, false, err
	}
	lock, _, err := client.Read(ctx, c.lockKey())
	if err != nil || lock.Session != session {
		return 0, false, err
	}
	return lock.LockIndex, true, nil
}
