package upstream

import (
	"context"
	"errors"
	"syscall"

	"wellgw/internal/core"
)

// Reach checks whether an engine can be reached; see core.Transport. A request that follows soon may
// use the connection.
func (e *Client) Reach(at core.Endpoint, done func(reached bool)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.pool.connectTimeout())
		defer cancel()
		c, err := e.pool.dialNew(ctx, at.Addr)
		if err == nil {
			e.pool.putAfterProbe(c)
		}
		done(err == nil || errors.Is(err, syscall.ECONNREFUSED))
	}()
}
