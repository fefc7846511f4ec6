package core

import (
	"context"
	"time"

	"wellgw/decide/ejection"
	"wellgw/routing"
)

// ejectionAnswer is what the core's goroutine says of a call on an engine.
type ejectionAnswer struct {
	names []string
	ok    bool
}

// Eject takes an operator's call on an engine: out for maint-on, else maint-off.
// It returns the names out by hand afterwards, and false for a name that was
// never listed (nothing changes then) or if ctx ends first.
func (c *Core) Eject(ctx context.Context, name string, out bool) (names []string, ok bool) {
	a := query(ctx, c, func() ejectionAnswer {
		ch, ok := c.ejections.SetEjected(name, out, c.now())
		if ok {
			c.showEjections(ch)
		}
		return ejectionAnswer{c.ejections.Names(), ok}
	})
	return a.names, a.ok
}

// SetEjected makes names the whole set of engines out by hand, as another process of
// this gateway has written it.
func (c *Core) SetEjected(names []string) {
	c.post(func() { c.showEjections(c.ejections.Replace(names, c.now())) })
}

// Ejected returns the names of the engines out by hand.
func (c *Core) Ejected() []string {
	return query(context.Background(), c, func() []string { return c.ejections.Names() })
}

// now is the module's clock.
func (c *Core) now() routing.Time { return time.Since(c.origin) }

// showEjections shows the module the engines whose ejection began or ended.
func (c *Core) showEjections(ch ejection.Change) {
	ev := routing.EngineList{Scope: routing.EngineListDelta}
	for _, names := range [][]string{ch.Ejected, ch.Restored} {
		for _, n := range names {
			if m, ok := c.members[n]; ok {
				ev.Engines = append(ev.Engines, c.ejections.Effective(m.EngineInfo))
			}
		}
	}
	c.setReady()
	if len(ev.Engines) > 0 {
		for _, n := range ch.Ejected {
			c.log.Info("engine out by hand", "engine", n)
		}
		for _, n := range ch.Restored {
			c.log.Info("engine back by hand", "engine", n)
		}
		c.tell(ev)
	}
}

// setReady tells whether some engine may be sent to.
func (c *Core) setReady() {
	on := false
	for _, m := range c.members {
		on = on || m.Phase == routing.PhaseActive && !c.ejections.Ejected(m.Name)
	}
	c.ready.Store(on)
}

// Reconfigure gives the module new classes and attempts. Requests in hand keep what
// they came with. An error names the setting at fault; nothing changes then.
func (c *Core) Reconfigure(ctx context.Context, set routing.Settings) error {
	err := query(ctx, c, func() *error {
		err := c.router.Reconfigure(set.Classes, set.MaxAttempts)
		if err == nil {
			c.fig.MaxAttempts = max(c.fig.MaxAttempts, set.MaxAttempts) // a backstop: the module holds each request to its own
		}
		return &err
	})
	if err == nil {
		return ctx.Err()
	}
	return *err
}
