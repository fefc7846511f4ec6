package main

import (
	"context"
	"net/http"
	"time"

	"wellgw/internal/clientconn"
	"wellgw/internal/core"
)

// leave goes on serving while clients have yet to notice, then finishes what is in
// hand.
//
// Where clients ask for the rest of a stream, all is served as ever for a while: the
// other gateways of a roll may be away, and clients that find no listener and have
// lost their connection have nowhere to go. Then what waits is given up, and every
// stream is cut off and its state let go. That is not at the last moment: clients
// ask for the rest at once, and by then the next gateway of the roll may be leaving;
// nor is it at the first, when the last one may not be back. Elsewhere a stream must
// not be cut off while its events come, so nothing new is taken after a moment and
// what runs does so for as long as it may.
//
// On an inherited socket the next version takes new clients at once, so nothing
// new is waited for: what is in hand is finished before the kill.
func (g *gateway) leave(ctx context.Context, srv *http.Server, clients *clientconn.Listener, c *core.Core, f front, handed bool) {
	kill := time.Now().Add(timeLeft(g.longest, time.Duration(g.kept.Load())))
	finish, done := ctx, context.CancelFunc(func() {})
	if handed {
		finish, done = context.WithDeadline(ctx, kill)
	} else {
		time.Sleep(acceptAfter)
	}
	if g.resume && !handed {
		for time.Now().Before(kill) && c.Quiet(ctx) < quietFor {
			time.Sleep(quietLook)
		}
		finish, done = context.WithDeadline(ctx, kill)
	}
	defer done()
	if g.endsEarly(handed) { // what the kill would find unanswered has its answer before
		last := time.AfterFunc(time.Until(kill)+beforeKill-lastRefusals, func() { c.Abandon(true) })
		defer last.Stop()
	}
	f.Close()
	if time.Now().After(kill) {
		c.Abandon(false)
		var done context.CancelFunc
		finish, done = context.WithTimeout(ctx, lastAnswers)
		defer done()
	}
	if err := clients.Shutdown(finish); err != nil {
		g.log.Warn("time is up", "cause", err, "counts", c.Counts(ctx))
		c.Abandon(true)
		last, over := context.WithTimeout(ctx, lastWords)
		_ = clients.Shutdown(last)
		over()
		srv.Close()
		release, done := context.WithTimeout(ctx, lastReleases)
		defer done()
		finish = release
	}
	drain, stop := g.drainTime(finish, kill)
	defer stop()
	if err := c.Drain(drain); err != nil {
		g.log.Warn("left before the end of all requests and releases", "cause", err)
	}
	_ = clients.Shutdown(finish) // the last answers are given time to arrive
	g.log.Info("left", "counts", c.Counts(ctx))
}

// drainTime bounds the drain of a gateway by the kill, where one is known to come that it would
// find waiting for releases.
func (g *gateway) drainTime(finish context.Context, kill time.Time) (context.Context, context.CancelFunc) {
	if !g.killed || time.Now().After(kill) {
		return finish, func() {}
	}
	return context.WithDeadline(finish, kill)
}

// endsEarly tells whether what has no answer yet is given up shortly before a kill that is
// known to come, while streams go on to it.
func (g *gateway) endsEarly(handed bool) bool { return g.killed && !g.resume && !handed }

// timeLeft is how long after SIGTERM the gateway may go on, by the longest wait that the
// settings allow: the kill goes by those in force, which may have been read anew.
func timeLeft(first, anew time.Duration) time.Duration {
	if anew > 0 {
		first = min(first, anew)
	}
	return min(first, longestWait) + killAfter - beforeKill
}
