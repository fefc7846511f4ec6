package core

import (
	"context"

	"wellgw/decide/ejection"
)

// ejectionReply is the answer to a command on an engine.
type ejectionReply struct {
	names []string
	ok    bool // the engine has been listed
}

// Eject takes an operator's call on an engine: out for maint-on, else maint-off.
// It returns the names out by hand afterwards, and false for a name that was
// never listed (nothing changes then) or if ctx ends first.
func (c *Core) Eject(ctx context.Context, name string, out bool) (names []string, ok bool) {
	reply := make(chan ejectionReply, 1)
	a := await(ctx, c, ejectionCommanded{name, out, reply}, reply)
	return a.names, a.ok
}

func (c *Core) eject(name string, out bool) ejectionReply {
	ch, ok := c.endpoints.ejections.Call(name, out, c.clock.now())
	if ok {
		c.applyEjections(ch)
	}
	return ejectionReply{c.endpoints.ejections.Names(), ok}
}

// SetEjected makes names the whole set of engines out by hand, as another process of
// this gateway has written it.
func (c *Core) SetEjected(names []string) {
	c.post(ejectionsReplaced{names})
}

func (c *Core) replaceEjections(names []string) {
	c.applyEjections(c.endpoints.ejections.Take(names, c.clock.now()))
}

// Ejected returns the names of the engines out by hand.
func (c *Core) Ejected() []string {
	return runQuery(context.Background(), c, func() []string { return c.endpoints.ejections.Names() })
}

// applyEjections tells the router of engines whose ejection began or ended, and logs them.
func (c *Core) applyEjections(change ejection.Change) {
	list := c.endpoints.ejectionsChanged(change)
	if len(list.Engines) == 0 {
		return
	}
	for _, name := range change.Out {
		c.log.Info("engine out by hand", "engine", name)
	}
	for _, name := range change.Back {
		c.log.Info("engine back by hand", "engine", name)
	}
	c.dispatch(list)
}
