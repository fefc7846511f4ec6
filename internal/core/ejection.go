package core

import (
	"context"
	"log/slog"

	"wellgw/decide/ejection"
)

// ejectionReply is the result of a command on an engine.
type ejectionReply struct {
	ejected []string
	ok      bool // the engine is or was listed
}

// Eject executes an operator's command on an engine: maint-on ejects it, maint-off restores it. It
// returns the engines that are ejected manually afterwards. ok is false for an engine that was never
// listed, in which case nothing changes, or if ctx is done first.
func (c *Core) Eject(ctx context.Context, engine string, eject bool) (ejected []string, ok bool) {
	reply := make(chan ejectionReply, 1)
	answer := await(ctx, c, ejectionCommanded{engine, eject, reply}, reply)
	return answer.ejected, answer.ok
}

func (c *Core) eject(engine string, eject bool) ejectionReply {
	change, ok := c.endpoints.ejections.SetEjected(engine, eject, c.clock.now())
	if ok {
		c.applyEjections(change)
	}
	return ejectionReply{c.endpoints.ejections.Names(), ok}
}

// SetEjected replaces the set of manually ejected engines with one that another process of this gateway
// has written.
func (c *Core) SetEjected(engines []string) { c.post(ejectionsReplaced{engines}) }

func (c *Core) replaceEjections(engines []string) {
	c.applyEjections(c.endpoints.ejections.Replace(engines, c.clock.now()))
}

// Ejected returns the engines that are ejected manually.
func (c *Core) Ejected() []string {
	return runQuery(context.Background(), c, func() []string { return c.endpoints.ejections.Names() })
}

// applyEjections passes changes of ejections to the router and logs them.
func (c *Core) applyEjections(change ejection.Change) {
	list := c.endpoints.ejectionsChanged(change)
	if len(list.Engines) == 0 {
		return
	}
	for _, name := range change.Ejected {
		c.log.Info("engine ejected manually", slog.String("engine", name))
	}
	for _, name := range change.Restored {
		c.log.Info("manual ejection ended", slog.String("engine", name))
	}
	c.dispatch(list)
}
