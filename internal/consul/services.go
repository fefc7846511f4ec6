package consul

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"wellgw/decide/roster"
)

// catalogueSource returns the registry's source for a service.
func catalogueSource(name string) roster.Source {
	return roster.Source{Origin: roster.Catalogue, Name: name}
}

func (w *watcher) addSource(name string, atStart bool) {
	w.directory.With(func(r *roster.Registry, _ time.Time) { r.AddSource(catalogueSource(name), atStart) })
}

// knownServices returns the services that are sources in the registry, including those from the
// last good view and from a previous configuration.
func (w *watcher) knownServices() []string {
	var names []string
	w.directory.With(func(r *roster.Registry, _ time.Time) {
		for _, s := range r.KnownSources() {
			if s.Origin == roster.Catalogue {
				names = append(names, s.Name)
			}
		}
	})
	return names
}

// removeOtherServices removes the sources of all services except the named one. They stem from a
// previous configuration.
func (w *watcher) removeOtherServices(name string) {
	for _, other := range w.knownServices() {
		if other != name {
			w.directory.With(func(r *roster.Registry, now time.Time) {
				r.RemoveSource(now, catalogueSource(other), "no longer in the configuration")
			})
		}
	}
}

// watchService watches the health of one service until ctx is done, and calls onTrusted after each
// trusted view.
func (w *watcher) watchService(ctx context.Context, name string, nextPoll func() bool, onTrusted func()) {
	params := url.Values{}
	if w.cfg.Tag != "" {
		params.Set("tag", w.cfg.Tag)
	}
	if w.cfg.Filter != "" {
		params.Set("filter", w.cfg.Filter)
	}
	q := w.newQuery("/v1/health/service/"+url.PathEscape(name), params)
	src := catalogueSource(name)
	apply := func(result QueryResult) error {
		view, nodes, err := parseHealth(result.Body, w.zone)
		if err != nil {
			return fmt.Errorf("health of %s: %w", name, err)
		}
		view.Agent, view.Index, view.Leaderless, view.Age = result.Agent, result.Index, !result.KnownLeader, result.LastContact
		w.setNodes(name, nodes)
		distrust := roster.Trusted
		w.directory.With(func(r *roster.Registry, now time.Time) {
			if ctx.Err() == nil {
				distrust = r.Observe(now, src, view)
			}
		})
		if distrust == roster.Trusted {
			onTrusted()
		}
		return nil
	}
	confirmUnchanged := func() (suffices bool) {
		w.directory.With(func(r *roster.Registry, now time.Time) { suffices = r.Confirm(now, src) })
		return suffices
	}
	recordDistrust := func(reason roster.Reason) {
		w.directory.With(func(r *roster.Registry, now time.Time) { r.ObserveFailure(now, src, reason) })
	}
	w.watch(ctx, q, queryHandler{nextPoll: nextPoll, apply: apply, confirmUnchanged: confirmUnchanged, recordDistrust: recordDistrust})
}

// setNodes sets the nodes on which a service has engines. A check of a node affects all engines on
// it.
func (w *watcher) setNodes(service string, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks.SetNodes(service, nodes)
}
