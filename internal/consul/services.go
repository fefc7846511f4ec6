package consul

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"wellgw/decide/roster"
)

// source is the registry's source for a service.
func source(name string) roster.Source { return roster.Source{Origin: roster.Catalogue, Name: name} }

func (w *watcher) addSource(name string, atStart bool) {
	w.directory.With(func(r *roster.Registry, _ time.Time) { r.AddSource(source(name), atStart) })
}

// knownServices returns the services of the registry: of the last good view, or an older
// configuration.
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

// removeOtherServices removes the services that only an older configuration named.
func (w *watcher) removeOtherServices(name string) {
	for _, other := range w.knownServices() {
		if other != name {
			w.directory.With(func(r *roster.Registry, now time.Time) {
				r.RemoveSource(now, source(other), "no longer in the configuration")
			})
		}
	}
}

// watchService watches the health of one service until ctx ends. trusted is called after each
// view that is trusted.
func (w *watcher) watchService(ctx context.Context, name string, nextPoll func() bool, trusted func()) {
	params := url.Values{}
	if w.cfg.Tag != "" {
		params.Set("tag", w.cfg.Tag)
	}
	if w.cfg.Filter != "" {
		params.Set("filter", w.cfg.Filter)
	}
	q := w.newQuery("/v1/health/service/"+url.PathEscape(name), params)
	src := source(name)
	apply := func(a QueryResult) error {
		v, nodes, err := parseHealth(a.Body, w.zone)
		if err != nil {
			return fmt.Errorf("health of %s: %w", name, err)
		}
		v.Agent, v.Index, v.Leaderless, v.Age = a.Agent, a.Index, !a.KnownLeader, a.LastContact
		w.setNodes(name, nodes)
		doubt := roster.Trusted
		w.directory.With(func(r *roster.Registry, now time.Time) {
			if ctx.Err() == nil {
				doubt = r.Observe(now, src, v)
			}
		})
		if doubt == roster.Trusted {
			trusted()
		}
		return nil
	}
	confirm := func() (suffices bool) {
		w.directory.With(func(r *roster.Registry, now time.Time) { suffices = r.Confirm(now, src) })
		return suffices
	}
	doubt := func(reason roster.Reason) {
		w.directory.With(func(r *roster.Registry, now time.Time) { r.ObserveFailure(now, src, reason) })
	}
	w.watch(ctx, q, queryHandler{nextPoll: nextPoll, apply: apply, confirm: confirm, doubt: doubt})
}

// setNodes sets the nodes on which a service has engines, all of which a node's check affects.
func (w *watcher) setNodes(service string, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks.SetNodes(service, nodes)
}
