package consul

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wellgw/decide/roster"
)

// catalogWatch watches the services that carry the tag, each in a goroutine of its own.
type catalogWatch struct {
	*watcher
	tracker *roster.ServiceTracker
	cancels map[string]context.CancelFunc // by service
	group   sync.WaitGroup
	initial bool // services added now may have run since before the gateway started
	doubted bool // the latest view was
}

// watchCatalog watches the catalog and the services in it that carry the tag, until ctx ends.
// It returns when all it started has ended.
func (w *watcher) watchCatalog(ctx context.Context) {
	c := &catalogWatch{
		watcher: w, tracker: roster.NewServiceTracker(w.policy, w.knownServices()), cancels: map[string]context.CancelFunc{}, initial: w.atStart,
	}
	defer c.group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.group.Go(func() { w.watchChecks(ctx) })
	known := w.knownServices()
	w.setServices(len(known))
	for _, name := range known {
		c.add(ctx, name)
	}
	w.watch(ctx, w.newQuery("/v1/catalog/services", nil), queryHandler{
		apply:   func(a QueryResult) error { return c.apply(ctx, a) },
		confirm: func() bool { return !c.doubted },
		doubt:   ignore,
	})
}

// apply starts and ends watches of services by a view of the catalog.
func (c *catalogWatch) apply(ctx context.Context, a QueryResult) error {
	tagged, others, err := parseServices(a.Body, c.cfg.Tag)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotAList, err)
	}
	view := roster.View{Index: a.Index, Leaderless: !a.KnownLeader, Age: a.LastContact}
	changes := c.tracker.Observe(time.Now(), view, tagged, others)
	if changes.DistrustReason != roster.Trusted {
		c.log.Warn("catalog doubted", "reason", string(changes.DistrustReason), "services", len(tagged))
	}
	c.setServices(len(c.cancels) + len(changes.Added) - len(changes.Untagged) - len(changes.Missing))
	for _, name := range changes.Added {
		c.add(ctx, name)
	}
	for _, name := range changes.Untagged {
		c.end(name)
		c.directory.With(func(r *roster.Registry, now time.Time) { r.RemoveSource(now, source(name), "tag removed") })
	}
	for _, name := range changes.Missing {
		c.end(name)
		c.directory.With(func(r *roster.Registry, now time.Time) { r.MarkSourceMissing(now, source(name)) })
	}
	c.initial, c.doubted = false, changes.DistrustReason != roster.Trusted
	return nil
}

// add starts to watch a service, unless it is watched.
func (c *catalogWatch) add(ctx context.Context, name string) {
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

// end ends the watch of a service; its goroutine ends soon after.
func (c *catalogWatch) end(name string) {
	if cancel := c.cancels[name]; cancel != nil {
		cancel()
		delete(c.cancels, name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pollNow, name)
	c.checks.SetNodes(name, nil)
}

// setServices sets the number of services, which decides whether they are polled.
func (w *watcher) setServices(services int) {
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
