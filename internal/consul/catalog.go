package consul

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wellgw/decide/roster"
)

// catalogWatch watches the services that carry the tag, each in a separate goroutine.
type catalogWatch struct {
	*watcher
	tracker *roster.ServiceTracker
	cancels map[string]context.CancelFunc // key: service; ends its watch
	group   sync.WaitGroup
	// initial is true from the start of the gateway until the first view is applied: the engines of
	// services that are added meanwhile may have been running before the gateway.
	initial   bool
	untrusted bool // whether the latest view was untrusted
}

// watchCatalog watches the catalog and the services in it that carry the tag, until ctx is done.
// It returns after all its goroutines have ended.
func (w *watcher) watchCatalog(ctx context.Context) {
	c := &catalogWatch{
		watcher: w, tracker: roster.NewServiceTracker(w.policy, w.knownServices()), cancels: map[string]context.CancelFunc{}, initial: w.atStart,
	}
	defer c.group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.group.Go(func() { w.watchChecks(ctx) })
	known := w.knownServices()
	w.setServiceCount(len(known))
	for _, name := range known {
		c.startWatch(ctx, name)
	}
	w.watch(ctx, w.newQuery("/v1/catalog/services", nil), queryHandler{
		apply:            func(result QueryResult) error { return c.apply(ctx, result) },
		confirmUnchanged: func() bool { return !c.untrusted },
		recordDistrust:   ignoreDistrust,
	})
}

// apply starts and ends the watches of services according to a view of the catalog.
func (c *catalogWatch) apply(ctx context.Context, result QueryResult) error {
	tagged, untagged, err := parseServices(result.Body, c.cfg.Tag)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotList, err)
	}
	view := roster.View{Index: result.Index, Leaderless: !result.KnownLeader, Age: result.LastContact}
	changes := c.tracker.Observe(time.Now(), view, tagged, untagged)
	if changes.DistrustReason != roster.Trusted {
		c.log.Warn("catalog doubted", "reason", string(changes.DistrustReason), "services", len(tagged))
	}
	c.setServiceCount(len(c.cancels) + len(changes.Added) - len(changes.Untagged) - len(changes.Missing))
	for _, name := range changes.Added {
		c.startWatch(ctx, name)
	}
	for _, name := range changes.Untagged {
		c.endWatch(name)
		c.directory.With(func(r *roster.Registry, now time.Time) { r.RemoveSource(now, catalogueSource(name), "tag removed") })
	}
	for _, name := range changes.Missing {
		c.endWatch(name)
		c.directory.With(func(r *roster.Registry, now time.Time) { r.MarkSourceMissing(now, catalogueSource(name)) })
	}
	c.initial, c.untrusted = false, changes.DistrustReason != roster.Trusted
	return nil
}

// startWatch starts the watch of a service, unless one is running.
func (c *catalogWatch) startWatch(ctx context.Context, name string) {
	if c.cancels[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	c.cancels[name] = cancel
	c.addSource(name, c.initial)
	pollNow := make(chan struct{}, 1)
	c.mu.Lock()
	c.pollNow[name] = pollNow
	c.mu.Unlock()
	c.group.Go(func() { c.watchOrPoll(ctx, name, pollNow) })
}

// endWatch cancels the watch of a service; its goroutine ends asynchronously.
func (c *catalogWatch) endWatch(name string) {
	if cancel := c.cancels[name]; cancel != nil {
		cancel()
		delete(c.cancels, name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pollNow, name)
	c.checks.SetNodes(name, nil)
}

// setServiceCount sets the number of services, which decides between blocking queries and polls.
func (w *watcher) setServiceCount(services int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Services = services
	if !w.mode.SetServices(services) {
		return
	}
	w.stats.Polling = w.mode.Polling()
	w.log.Info("watch mode changed", "polling", w.mode.Polling(), "services", services, "watches", w.cfg.Watches())
	close(w.modeChanged)
	w.modeChanged = make(chan struct{})
}
