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

// follower follows one configuration.
type follower struct {
	cfg    config.Consul
	zone   string
	keeper *directory.Directory
	client *Client
	log    *slog.Logger
	policy roster.Policy
	first  bool // the gateway has just begun: what is listed may have run for long
	slots  chan struct{}

	mu     sync.Mutex
	stats  Stats
	turns  *watch.PollingMode
	turned chan struct{} // closed when the way of asking changes
	marked *watch.CheckTracker
	wake   map[string]chan struct{} // by service
}

// subject is one thing that is asked about again and again.
type subject struct {
	*watch.Query
	path   string
	params url.Values
	retry  backoff.BackOff
}

func (f *follower) subject(path string, params url.Values) *subject {
	l := watch.DefaultLimits()
	l.MaxWait, l.MaxAge = f.cfg.Wait(), f.policy.MaxAge
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = l.MaxBackoff
	b.InitialInterval = l.MinPause
	b.Reset()
	return &subject{Query: watch.NewQuery(l), path: path, params: params, retry: b}
}

// ask makes one query. Those in turn take a slot: only so many are open at once.
func (f *follower) ask(ctx context.Context, s *subject, inTurn bool) (Answer, error) {
	if inTurn {
		select {
		case f.slots <- struct{}{}:
			defer func() { <-f.slots }()
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
	q := s.Next(inTurn)
	a, err := f.client.Get(ctx, Query{Path: s.path, Params: s.params, Index: q.Index, Wait: q.Wait, Stale: q.Stale})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Queries++
	f.stats.Bytes += int64(len(a.Body))
	if err != nil {
		f.stats.Failed++
	} else {
		f.stats.Agent = a.Agent
	}
	return a, err
}

// failureOf reads an error, and the wait that the agent asked for.
func failureOf(err error) (watch.Failure, time.Duration) {
	var status *StatusError
	switch {
	case errors.Is(err, errNone):
		return watch.NoAgent, 0
	case errors.Is(err, errHung):
		return watch.AgentHung, 0
	case errors.Is(err, errNoList), errors.Is(err, errBig), errors.Is(err, errIndex):
		return watch.Malformed, 0
	case errors.As(err, &status) && status.noLeader():
		return watch.NoLeader, status.RetryAfter
	case errors.As(err, &status):
		return watch.ErrorStatus, status.RetryAfter
	}
	return watch.Disconnected, 0
}

// fail notes that a query failed, and waits as long as is due.
func (f *follower) fail(ctx context.Context, s *subject, err error, tell func(roster.Reason)) {
	failure, hint := failureOf(err)
	v := s.Failed(failure, s.retry.NextBackOff(), hint)
	if ctx.Err() != nil {
		return
	}
	if v.Log {
		f.log.Warn("query failed", "path", s.path, "reason", string(v.Reason), "cause", err)
	}
	if v.Reason != roster.Trusted {
		tell(v.Reason)
	}
	if v.Pause > 0 {
		f.client.Pause(ctx, v.Pause)
	}
}

// follow asks about a subject until ctx ends and gives what is new to take. next waits
// for the subject's turn; it is nil where queries block. same tells whether an answer
// without news may be passed over.
func (f *follower) follow(ctx context.Context, s *subject, next func() bool, take func(Answer) error, same func() bool, failed func(roster.Reason)) {
	for ctx.Err() == nil {
		if next != nil && !next() {
			return
		}
		a, err := f.ask(ctx, s, next != nil)
		begun := time.Now()
		answer := watch.Response{Index: a.Index, Checksum: xxhash.Sum64(a.Body), HasLeader: a.KnownLeader, Age: a.LastContact}
		news := false
		if err == nil {
			news = s.Responded(answer) || !same()
		}
		switch {
		case err != nil:
		case !news:
			f.mu.Lock()
			f.stats.Unchanged++
			f.mu.Unlock()
		case ctx.Err() == nil: // a service that has lost its tag must not come back
			err = take(a)
		}
		if err != nil {
			f.fail(ctx, s, err, failed)
			continue
		}
		s.retry.Reset()
		if wait := s.Processed(answer, news, time.Since(begun)); wait > 0 && next == nil {
			pause.Sleep(ctx, wait)
		}
	}
}

// run follows the configuration until ctx ends.
func (f *follower) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // before the wait, lest a fault here should leave the rest running, and nothing said
	group.Go(func() { f.client.Run(ctx) })
	if f.cfg.Tag != "" && f.cfg.Service == "" {
		f.catalogue(ctx)
		return
	}
	f.join(f.cfg.Service, f.first)
	only := sync.OnceFunc(func() { f.withdrawOthers(f.cfg.Service) })
	f.service(ctx, f.cfg.Service, nil, only)
}

func source(name string) roster.Source { return roster.Source{Origin: roster.Catalogue, Name: name} }

func (f *follower) join(name string, atStart bool) {
	f.keeper.With(func(b *roster.Registry, _ time.Time) { b.AddSource(source(name), atStart) })
}

func (f *follower) known() []string {
	var names []string
	f.keeper.With(func(b *roster.Registry, _ time.Time) {
		for _, s := range b.KnownSources() {
			if s.Origin == roster.Catalogue {
				names = append(names, s.Name)
			}
		}
	})
	return names
}

// withdrawOthers ends what only an older configuration named.
func (f *follower) withdrawOthers(name string) {
	for _, other := range f.known() {
		if other != name {
			f.keeper.With(func(b *roster.Registry, now time.Time) {
				b.RemoveSource(now, source(other), "the configuration names it no more")
			})
		}
	}
}

// service follows the health of one service until ctx ends.
func (f *follower) service(ctx context.Context, name string, next func() bool, first func()) {
	params := url.Values{}
	if f.cfg.Tag != "" {
		params.Set("tag", f.cfg.Tag)
	}
	if f.cfg.Filter != "" {
		params.Set("filter", f.cfg.Filter)
	}
	s := f.subject("/v1/health/service/"+url.PathEscape(name), params)
	src := source(name)
	f.follow(ctx, s, next, func(a Answer) error {
		v, nodes, err := parseHealth(a.Body, f.zone)
		if err != nil {
			return fmt.Errorf("health of %s: %w", name, err)
		}
		v.Agent, v.Index, v.Leaderless, v.Age = a.Agent, a.Index, !a.KnownLeader, a.LastContact
		f.noteNodes(name, nodes)
		doubt := roster.Trusted
		f.keeper.With(func(b *roster.Registry, now time.Time) {
			if ctx.Err() == nil {
				doubt = b.Observe(now, src, v)
			}
		})
		if doubt == roster.Trusted {
			first()
		}
		return nil
	}, func() (enough bool) {
		f.keeper.With(func(b *roster.Registry, now time.Time) { enough = b.Confirm(now, src) })
		return enough
	}, func(reason roster.Reason) {
		f.keeper.With(func(b *roster.Registry, now time.Time) { b.ObserveFailure(now, src, reason) })
	})
}

// noteNodes notes on which nodes a service has engines: a mark on a node speaks of all
// of them.
func (f *follower) noteNodes(service string, nodes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marked.SetNodes(service, nodes)
}

// catalogue follows which services carry the tag, and each of these.
func (f *follower) catalogue(ctx context.Context) {
	set := roster.NewServiceTracker(f.policy, f.known())
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
		f.join(name, atStart)
		wake := make(chan struct{}, 1)
		f.mu.Lock()
		f.wake[name] = wake
		f.mu.Unlock()
		group.Go(func() { f.inTurn(sub, name, wake) })
	}
	group.Go(func() { f.marks(ctx) })
	atStart := f.first
	before := f.known() // of the last good view, or an older configuration
	f.crowd(len(before))
	for _, name := range before {
		begin(name, atStart)
	}
	doubted := false
	take := func(a Answer) error {
		tagged, others, err := parseServices(a.Body, f.cfg.Tag)
		if err != nil {
			return fmt.Errorf("%w: %w", errNoList, err)
		}
		v := roster.View{Index: a.Index, Leaderless: !a.KnownLeader, Age: a.LastContact}
		plan := set.Observe(time.Now(), v, tagged, others)
		if plan.Doubt != roster.Trusted {
			f.log.Warn("the catalogue is in doubt", "reason", string(plan.Doubt), "services", len(tagged))
		}
		f.crowd(len(stops) + len(plan.Added) - len(plan.Untagged) - len(plan.Vanished))
		for _, name := range plan.Added {
			begin(name, atStart)
		}
		end := func(name string) {
			if stop := stops[name]; stop != nil {
				stop()
				delete(stops, name)
			}
			f.mu.Lock()
			delete(f.wake, name)
			f.marked.SetNodes(name, nil)
			f.mu.Unlock()
		}
		for _, name := range plan.Untagged {
			end(name)
			f.keeper.With(func(b *roster.Registry, now time.Time) { b.RemoveSource(now, source(name), "it lost the tag") })
		}
		for _, name := range plan.Vanished {
			end(name)
			f.keeper.With(func(b *roster.Registry, now time.Time) { b.SourceVanished(now, source(name)) })
		}
		atStart, doubted = false, plan.Doubt != roster.Trusted
		return nil
	}
	f.follow(ctx, f.subject("/v1/catalog/services", nil), nil, take, func() bool { return !doubted }, func(roster.Reason) {})
}

// crowd notes how many services there are, which decides how they are asked.
func (f *follower) crowd(services int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Services = services
	if !f.turns.SetServices(services) {
		return
	}
	f.stats.Rounds = f.turns.Polling()
	f.log.Info("services are followed", "in_rounds", f.turns.Polling(), "services", services, "watches", f.cfg.Watches())
	close(f.turned)
	f.turned = make(chan struct{})
}

// inTurns tells whether services are asked in turn, how long a round is, and what is
// closed when that changes.
func (f *follower) inTurns() (on bool, round time.Duration, turned <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turns.Polling(), f.turns.Interval(), f.turned
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// inTurn follows one service of many: by a watch of its own while there are few enough,
// else by plain queries in rounds, out of turn when a mark has changed.
func (f *follower) inTurn(ctx context.Context, name string, wake <-chan struct{}) {
	due := time.Now() // the first round is asked at once, as fast as slots allow
	for ctx.Err() == nil {
		on, _, turned := f.inTurns()
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
			_, round, _ := f.inTurns()
			due = time.Now().Add(jitter(round))
			return true
		}
		if !on {
			next = nil
		}
		f.service(sub, name, next, func() {})
		stop()
	}
}

// marks watches all checks that fail, while services are asked in turn, and has those
// asked out of turn that a change speaks of. One query stands for all services, and its
// answer is short while most engines are well.
func (f *follower) marks(ctx context.Context) {
	for ctx.Err() == nil {
		on, _, turned := f.inTurns()
		sub, stop := context.WithCancel(ctx)
		if on {
			go f.follow(sub, f.subject("/v1/health/state/critical", nil), nil, f.takeMarks, func() bool { return true }, func(roster.Reason) {})
		}
		select {
		case <-ctx.Done():
		case <-turned:
		}
		stop()
	}
}

func (f *follower) takeMarks(a Answer) error {
	var list []criticalCheck
	if err := jsoniter.Unmarshal(a.Body, &list); err != nil {
		return fmt.Errorf("critical checks: %w: %w", errNoList, err)
	}
	failing := make([]watch.Check, len(list))
	for i, c := range list {
		failing[i] = watch.Check{Node: c.Node, CheckID: c.CheckID, ServiceID: c.ServiceID, Service: c.ServiceName}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range f.marked.Update(failing) {
		if wake := f.wake[service]; wake != nil {
			poke(wake)
		}
	}
	return nil
}
