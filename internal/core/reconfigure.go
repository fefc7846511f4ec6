package core

import (
	"context"

	"wellgw/routing"
)

// Reconfigure gives the module new classes and attempts. Requests in hand keep what
// they came with. An error names the setting at fault; nothing changes then.
func (c *Core) Reconfigure(ctx context.Context, set routing.Settings) error {
	reply := make(chan error, 1)
	c.post(settingsChanged{set, reply})
	select {
	case err := <-reply:
		return err
	case <-c.done:
	case <-ctx.Done():
	}
	return ctx.Err()
}

func (c *Core) reconfigure(set routing.Settings) error {
	err := c.router.Reconfigure(set.Classes, set.MaxAttempts)
	if err == nil {
		c.limits.MaxAttempts = max(c.limits.MaxAttempts, set.MaxAttempts) // a backstop: the module holds each request to its own
	}
	return err
}
