package core

import (
	"context"

	"wellgw/routing"
)

// Reconfigure sets the router's classes and maximum number of attempts. Open requests keep their former
// settings. On an error, which names the invalid setting, nothing changes.
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

// reconfigure never lowers the core's own limit on attempts. That limit is only a safeguard: the router
// limits each request to the number of attempts that was configured when it was submitted.
func (c *Core) reconfigure(settings routing.Settings) error {
	if err := c.router.Reconfigure(settings.Classes, settings.MaxAttempts); err != nil {
		return err
	}
	c.limits.MaxAttempts = max(c.limits.MaxAttempts, settings.MaxAttempts)
	return nil
}
