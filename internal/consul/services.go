package consul

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"wellgw/decide/roster"
)

func source(name string) roster.Source { return roster.Source{Origin: roster.Catalogue, Name: name} }

func (w *watcher) addSource(name string, atStart bool) {
	w.directory.With(func(b *roster.Registry, _ time.Time) { b.AddSource(source(name), atStart) })
}

func (w *watcher) knownServices() []string {
	var names []string
	w.directory.With(func(b *roster.Registry, _ time.Time) {
		for _, s := range b.KnownSources() {
			if s.Origin == roster.Catalogue {
				names = append(names, s.Name)
			}
		}
	})
	return names
}

// withdrawOthers ends what only an older configuration named.
func (w *watcher) withdrawOthers(name string) {
	for _, other := range w.knownServices() {
		if other != name {
			w.directory.With(func(b *roster.Registry, now time.Time) {
				b.RemoveSource(now, source(other), "the configuration names it no more")
			})
		}
	}
}

// watchService follows the health of one service until ctx ends.
func (w *watcher) watchService(ctx context.Context, name string, next func() bool, first func()) {
	params := url.Values{}
	if w.cfg.Tag != "" {
		params.Set("tag", w.cfg.Tag)
	}
	if w.cfg.Filter != "" {
		params.Set("filter", w.cfg.Filter)
	}
	s := w.newQuery("/v1/health/service/"+url.PathEscape(name), params)
	src := source(name)
	w.watch(ctx, s, next, func(a Answer) error {
		v, nodes, err := parseHealth(a.Body, w.zone)
		if err != nil {
			return fmt.Errorf("health of %s: %w", name, err)
		}
		v.Agent, v.Index, v.Leaderless, v.Age = a.Agent, a.Index, !a.KnownLeader, a.LastContact
		w.setNodes(name, nodes)
		doubt := roster.Trusted
		w.directory.With(func(b *roster.Registry, now time.Time) {
			if ctx.Err() == nil {
				doubt = b.Observe(now, src, v)
			}
		})
		if doubt == roster.Trusted {
			first()
		}
		return nil
	}, func() (enough bool) {
		w.directory.With(func(b *roster.Registry, now time.Time) { enough = b.Confirm(now, src) })
		return enough
	}, func(reason roster.Reason) {
		w.directory.With(func(b *roster.Registry, now time.Time) { b.ObserveFailure(now, src, reason) })
	})
}

// setNodes notes on which nodes a service has engines: a mark on a node speaks of all
// of them.
func (w *watcher) setNodes(service string, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks.SetNodes(service, nodes)
}
