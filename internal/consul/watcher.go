package consul

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/roster"
	"wellgw/decide/watch"
	"wellgw/internal/config"
	"wellgw/internal/directory"
	"wellgw/internal/pause"
)

// Stats count what following has cost.
type Stats struct {
	Agent     string `json:"agent"` // that answered last
	Queries   int    `json:"queries"`
	Failed    int    `json:"failed"`
	Bytes     int64  `json:"bytes"`
	Unchanged int    `json:"unchanged"` // answers with nothing new in them
	Services  int    `json:"services"`
	Rounds    bool   `json:"rounds"` // services are asked in turn, as there are more than watches
}

// watcher follows one configuration.
type watcher struct {
	cfg       config.Consul
	zone      string
	directory *directory.Directory
	client    *Client
	log       *slog.Logger
	policy    roster.Policy
	atStart   bool // the gateway has just begun: what is listed may have run for long
	slots     chan struct{}

	mu          sync.Mutex
	stats       Stats
	mode        *watch.PollingMode
	modeChanged chan struct{} // closed when the way of asking changes
	checks      *watch.CheckTracker
	pollNow     map[string]chan struct{} // by service
}

// query is one thing that is asked about again and again.
type query struct {
	*watch.Query
	path    string
	params  url.Values
	backoff backoff.BackOff
}

func (w *watcher) newQuery(path string, params url.Values) *query {
	l := watch.DefaultLimits()
	l.MaxWait, l.MaxAge = w.cfg.Wait(), w.policy.MaxAge
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = l.MaxBackoff
	b.InitialInterval = l.MinPause
	b.Reset()
	return &query{Query: watch.NewQuery(l), path: path, params: params, backoff: b}
}

// request makes one query. Those in turn take a slot: only so many are open at once.
func (w *watcher) request(ctx context.Context, s *query, inTurn bool) (Answer, error) {
	if inTurn {
		select {
		case w.slots <- struct{}{}:
			defer func() { <-w.slots }()
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
	q := s.Next(inTurn)
	a, err := w.client.Get(ctx, Query{Path: s.path, Params: s.params, Index: q.Index, Wait: q.Wait, Stale: q.Stale})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Queries++
	w.stats.Bytes += int64(len(a.Body))
	if err != nil {
		w.stats.Failed++
	} else {
		w.stats.Agent = a.Agent
	}
	return a, err
}

// failureOf reads an error, and the wait that the agent asked for.
func failureOf(err error) (watch.Failure, time.Duration) {
	var status *StatusError
	switch {
	case errors.Is(err, errNoAgent):
		return watch.NoAgent, 0
	case errors.Is(err, errAgentHung):
		return watch.AgentHung, 0
	case errors.Is(err, errNotAList), errors.Is(err, errTooLong), errors.Is(err, errNoIndex):
		return watch.Malformed, 0
	case errors.As(err, &status) && status.isNoLeader():
		return watch.NoLeader, status.RetryAfter
	case errors.As(err, &status):
		return watch.ErrorStatus, status.RetryAfter
	}
	return watch.Disconnected, 0
}

// handleFailure notes that a query failed, and waits as long as is due.
func (w *watcher) handleFailure(ctx context.Context, s *query, err error, tell func(roster.Reason)) {
	failure, hint := failureOf(err)
	v := s.Failed(failure, s.backoff.NextBackOff(), hint)
	if ctx.Err() != nil {
		return
	}
	if v.Log {
		w.log.Warn("query failed", "path", s.path, "reason", string(v.Reason), "cause", err)
	}
	if v.Reason != roster.Trusted {
		tell(v.Reason)
	}
	if v.Pause > 0 {
		w.client.Pause(ctx, v.Pause)
	}
}

// watch asks about a subject until ctx ends and gives what is new to take. next waits
// for the subject's turn; it is nil where queries block. same tells whether an answer
// without news may be passed over.
func (w *watcher) watch(ctx context.Context, s *query, next func() bool, take func(Answer) error, same func() bool, failed func(roster.Reason)) {
	for ctx.Err() == nil {
		if next != nil && !next() {
			return
		}
		a, err := w.request(ctx, s, next != nil)
		begun := time.Now()
		answer := watch.Response{Index: a.Index, Checksum: xxhash.Sum64(a.Body), HasLeader: a.KnownLeader, Age: a.LastContact}
		news := false
		if err == nil {
			news = s.Responded(answer) || !same()
		}
		switch {
		case err != nil:
		case !news:
			w.mu.Lock()
			w.stats.Unchanged++
			w.mu.Unlock()
		case ctx.Err() == nil: // a service that has lost its tag must not come back
			err = take(a)
		}
		if err != nil {
			w.handleFailure(ctx, s, err, failed)
			continue
		}
		s.backoff.Reset()
		if wait := s.Processed(answer, news, time.Since(begun)); wait > 0 && next == nil {
			pause.Sleep(ctx, wait)
		}
	}
}

// run follows the configuration until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // before the wait, lest a fault here should leave the rest running, and nothing said
	group.Go(func() { w.client.Run(ctx) })
	if w.cfg.Tag != "" && w.cfg.Service == "" {
		w.watchCatalog(ctx)
		return
	}
	w.addSource(w.cfg.Service, w.atStart)
	only := sync.OnceFunc(func() { w.withdrawOthers(w.cfg.Service) })
	w.watchService(ctx, w.cfg.Service, nil, only)
}

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

// pollingMode tells whether services are asked in turn, how long a round is, and what is
// closed when that changes.
func (w *watcher) pollingMode() (on bool, round time.Duration, turned <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode.Polling(), w.mode.Interval(), w.modeChanged
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// watchOrPoll follows one service of many: by a watch of its own while there are few enough,
// else by plain queries in rounds, out of turn when a mark has changed.
func (w *watcher) watchOrPoll(ctx context.Context, name string, wake <-chan struct{}) {
	due := time.Now() // the first round is asked at once, as fast as slots allow
	for ctx.Err() == nil {
		on, _, turned := w.pollingMode()
		sub, stop := context.WithCancel(ctx)
		go func() { // a change of the way ends this one
			select {
			case <-sub.Done():
			case <-turned:
				stop()
			}
		}()
		next := func() bool {
			t := time.NewTimer(time.Until(due))
			defer t.Stop()
			select {
			case <-sub.Done():
				return false
			case <-wake:
			case <-t.C:
			}
			_, round, _ := w.pollingMode()
			due = time.Now().Add(jitter(round))
			return true
		}
		if !on {
			next = nil
		}
		w.watchService(sub, name, next, func() {})
		stop()
	}
}

// watchChecks watches all checks that fail, while services are asked in turn, and has those
// asked out of turn that a change speaks of. One query stands for all services, and its
// answer is short while most engines are well.
func (w *watcher) watchChecks(ctx context.Context) {
	for ctx.Err() == nil {
		on, _, turned := w.pollingMode()
		sub, stop := context.WithCancel(ctx)
		if on {
			go w.watch(sub, w.newQuery("/v1/health/state/critical", nil), nil, w.applyChecks, func() bool { return true }, func(roster.Reason) {})
		}
		select {
		case <-ctx.Done():
		case <-turned:
		}
		stop()
	}
}

func (w *watcher) applyChecks(a Answer) error {
	var list []criticalCheck
	if err := jsoniter.Unmarshal(a.Body, &list); err != nil {
		return fmt.Errorf("critical checks: %w: %w", errNotAList, err)
	}
	failing := make([]watch.Check, len(list))
	for i, c := range list {
		failing[i] = watch.Check{Node: c.Node, CheckID: c.CheckID, ServiceID: c.ServiceID, Service: c.ServiceName}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, service := range w.checks.Update(failing) {
		if wake := w.pollNow[service]; wake != nil {
			signal(wake)
		}
	}
	return nil
}
