package consul

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wellgw/decide/roster"
)

// watchCatalog follows which services carry the tag, and each of these.
func (w *watcher) watchCatalog(ctx context.Context) {
	set := roster.NewServiceTracker(w.policy, w.knownServices())
	stops := map[string]context.CancelFunc{}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	begin := func(name string, atStart bool) {
		if stops[name] != nil {
			return
		}
		sub, stop := context.WithCancel(ctx)
		stops[name] = stop
		w.addSource(name, atStart)
		wake := make(chan struct{}, 1)
		w.mu.Lock()
		w.pollNow[name] = wake
		w.mu.Unlock()
		group.Go(func() { w.watchOrPoll(sub, name, wake) })
	}
	group.Go(func() { w.watchChecks(ctx) })
	atStart := w.atStart
	before := w.knownServices() // of the last good view, or an older configuration
	w.setServices(len(before))
	for _, name := range before {
		begin(name, atStart)
	}
	doubted := false
	take := func(a Answer) error {
		tagged, others, err := parseServices(a.Body, w.cfg.Tag)
		if err != nil {
			return fmt.Errorf("%w: %w", errNotAList, err)
		}
		v := roster.View{Index: a.Index, Leaderless: !a.KnownLeader, Age: a.LastContact}
		plan := set.Observe(time.Now(), v, tagged, others)
		if plan.Doubt != roster.Trusted {
			w.log.Warn("the catalogue is in doubt", "reason", string(plan.Doubt), "services", len(tagged))
		}
		w.setServices(len(stops) + len(plan.Added) - len(plan.Untagged) - len(plan.Vanished))
		for _, name := range plan.Added {
			begin(name, atStart)
		}
		end := func(name string) {
			if stop := stops[name]; stop != nil {
				stop()
				delete(stops, name)
			}
			w.mu.Lock()
			delete(w.pollNow, name)
			w.checks.SetNodes(name, nil)
			w.mu.Unlock()
		}
		for _, name := range plan.Untagged {
			end(name)
			w.directory.With(func(b *roster.Registry, now time.Time) { b.RemoveSource(now, source(name), "it lost the tag") })
		}
		for _, name := range plan.Vanished {
			end(name)
			w.directory.With(func(b *roster.Registry, now time.Time) { b.SourceVanished(now, source(name)) })
		}
		atStart, doubted = false, plan.Doubt != roster.Trusted
		return nil
	}
	w.watch(ctx, w.newQuery("/v1/catalog/services", nil), nil, take, func() bool { return !doubted }, func(roster.Reason) {})
}

// setServices notes how many services there are, which decides how they are asked.
func (w *watcher) setServices(services int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Services = services
	if !w.mode.SetServices(services) {
		return
	}
	w.stats.Rounds = w.mode.Polling()
	w.log.Info("services are followed", "in_rounds", w.mode.Polling(), "services", services, "watches", w.cfg.Watches())
	close(w.modeChanged)
	w.modeChanged = make(chan struct{})
}
