package consul

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

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
