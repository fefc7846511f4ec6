package core

import (
	"context"

	"wellgw/decide/ejection"
	"wellgw/routing"
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
	ch, ok := c.ejections.Call(name, out, c.now())
	if ok {
		c.showEjections(ch)
	}
	return ejectionReply{c.ejections.Names(), ok}
}

// SetEjected makes names the whole set of engines out by hand, as another process of
// this gateway has written it.
func (c *Core) SetEjected(names []string) {
	c.post(ejectionsReplaced{names})
}

func (c *Core) replaceEjections(names []string) {
	c.showEjections(c.ejections.Take(names, c.now()))
}

// Ejected returns the names of the engines out by hand.
func (c *Core) Ejected() []string {
	return runQuery(context.Background(), c, func() []string { return c.ejections.Names() })
}

// showEjections shows the module the engines whose ejection began or ended.
func (c *Core) showEjections(ch ejection.Change) {
	ev := routing.EngineList{Scope: routing.EngineListDelta}
	for _, names := range [][]string{ch.Out, ch.Back} {
		for _, n := range names {
			if m, ok := c.members[n]; ok {
				ev.Engines = append(ev.Engines, c.ejections.Show(m.EngineInfo))
			}
		}
	}
	c.setReady()
	if len(ev.Engines) > 0 {
		for _, n := range ch.Out {
			c.log.Info("engine out by hand", "engine", n)
		}
		for _, n := range ch.Back {
			c.log.Info("engine back by hand", "engine", n)
		}
		c.dispatch(ev)
	}
}
