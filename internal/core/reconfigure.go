package core

import (
	"context"

	"wellgw/routing"
)

// Reconfigure gives the router new classes and a new number of attempts. Requests in hand keep theirs.
// An error names the setting at fault; nothing changes then.
func (c *Core) Reconfigure(ctx context.Context, settings routing.Settings) error {
	reply := make(chan error, 1)
	c.post(settingsChanged{settings, reply})
	select {
	case err := <-reply:
		return err
	case <-c.done:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// reconfigure only ever raises the core's own limit on attempts: that is a backstop, as the router
// holds each request to the number that it came with.
func (c *Core) reconfigure(settings routing.Settings) error {
	if err := c.router.Reconfigure(settings.Classes, settings.MaxAttempts); err != nil {
		return err
	}
	c.limits.MaxAttempts = max(c.limits.MaxAttempts, settings.MaxAttempts)
	return nil
}
