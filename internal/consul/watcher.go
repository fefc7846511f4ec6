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

// Stats count the work of watching.
type Stats struct {
	Agent     string `json:"agent"` // that responded last
	Queries   int    `json:"queries"`
	Failed    int    `json:"failed"`
	Bytes     int64  `json:"bytes"`
	Unchanged int    `json:"unchanged"` // responses without a change
	Services  int    `json:"services"`
	Polling   bool   `json:"rounds"` // services are polled, as there are more than watches
}

// watcher watches the services of one configuration.
type watcher struct {
	cfg       config.Consul
	zone      string
	directory *directory.Directory
	client    *Client
	log       *slog.Logger
	policy    roster.Policy
	atStart   bool          // the gateway has just started: listed engines may have run for long
	slots     chan struct{} // of polls in flight

	mu          sync.Mutex
	stats       Stats
	mode        *watch.PollingMode
	modeChanged chan struct{} // closed when the mode changes
	checks      *watch.CheckTracker
	pollNow     map[string]chan struct{} // by service: a signal polls it out of turn
}

// query is a query that is repeated, with its backoff after failures.
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

// request makes the next request of a query. Polls take a slot, which bounds those in flight.
func (w *watcher) request(ctx context.Context, q *query, polled bool) (QueryResult, error) {
	if polled {
		select {
		case w.slots <- struct{}{}:
			defer func() { <-w.slots }()
		case <-ctx.Done():
			return QueryResult{}, ctx.Err()
		}
	}
	next := q.Next(polled)
	a, err := w.client.Get(ctx, Query{Path: q.path, Params: q.params, Index: next.Index, Wait: next.Wait, Stale: next.Stale})
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

// failureOf classifies an error and returns the agent's Retry-After, 0 without one.
func failureOf(err error) (watch.Failure, time.Duration) {
	var status *StatusError
	switch {
	case errors.Is(err, errNoAgent):
		return watch.NoAgent, 0
	case errors.Is(err, errAgentHung):
		return watch.AgentUnresponsive, 0
	case errors.Is(err, errNotAList), errors.Is(err, errTooLong), errors.Is(err, errNoIndex):
		return watch.Malformed, 0
	case errors.As(err, &status) && status.isNoLeader():
		return watch.NoLeader, status.RetryAfter
	case errors.As(err, &status):
		return watch.ErrorStatus, status.RetryAfter
	}
	return watch.Disconnected, 0
}

// handleFailure records that a request failed, and pauses for as long as is due.
func (w *watcher) handleFailure(ctx context.Context, q *query, err error, doubt func(roster.Reason)) {
	failure, retryAfter := failureOf(err)
	action := q.RecordFailure(failure, q.backoff.NextBackOff(), retryAfter)
	if ctx.Err() != nil {
		return
	}
	if action.Log {
		w.log.Warn("query failed", "path", q.path, "reason", string(action.Reason), "cause", err)
	}
	if action.Reason != roster.Trusted {
		doubt(action.Reason)
	}
	if action.Pause > 0 {
		w.client.Pause(ctx, action.Pause)
	}
}

// queryHandler is what a watch does with the responses of a query.
type queryHandler struct {
	// nextPoll waits until the query is to be polled, false once it is to end. It is nil
	// where requests block.
	nextPoll func() bool
	// apply processes a response that has changed.
	apply func(QueryResult) error
	// confirm records that a response has not changed, and reports whether that suffices.
	confirm func() bool
	// doubt records a reason to doubt the source.
	doubt func(roster.Reason)
}

// ignore is a queryHandler.doubt for queries whose failures change nothing.
func ignore(roster.Reason) {}

// watch repeats a query until ctx ends.
func (w *watcher) watch(ctx context.Context, q *query, h queryHandler) {
	polled := h.nextPoll != nil
	for ctx.Err() == nil {
		if polled && !h.nextPoll() {
			return
		}
		answer, err := w.request(ctx, q, polled)
		received := time.Now()
		response := watch.Response{Index: answer.Index, Checksum: xxhash.Sum64(answer.Body), HasLeader: answer.KnownLeader, Age: answer.LastContact}
		changed := false
		if err == nil {
			changed = q.RecordResponse(response) || !h.confirm()
		}
		switch {
		case err != nil:
		case !changed:
			w.mu.Lock()
			w.stats.Unchanged++
			w.mu.Unlock()
		case ctx.Err() == nil: // a service that has lost its tag must not come back
			err = h.apply(answer)
		}
		if err != nil {
			w.handleFailure(ctx, q, err, h.doubt)
			continue
		}
		q.backoff.Reset()
		if wait := q.RecordProcessed(response, changed, time.Since(received)); wait > 0 && !polled {
			pause.Sleep(ctx, wait)
		}
	}
}

// run watches what the configuration names until ctx ends, and returns when all it started
// has ended.
func (w *watcher) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // before the wait: a panic here must not hang in it and stay unseen
	group.Go(func() { w.client.Run(ctx) })
	if w.cfg.Tag != "" && w.cfg.Service == "" {
		w.watchCatalog(ctx)
		return
	}
	w.addSource(w.cfg.Service, w.atStart)
	removeOthers := sync.OnceFunc(func() { w.removeOtherServices(w.cfg.Service) })
	w.watchService(ctx, w.cfg.Service, nil, removeOthers)
}
