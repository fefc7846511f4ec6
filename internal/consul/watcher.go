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

// Stats count the requests and responses of a watcher.
type Stats struct {
	Agent     string `json:"agent"` // address of the agent that responded last
	Queries   int    `json:"queries"`
	Failed    int    `json:"failed"`
	Bytes     int64  `json:"bytes"`
	Unchanged int    `json:"unchanged"` // responses that equal the previous one
	Services  int    `json:"services"`
	Polling   bool   `json:"rounds"` // services are polled, since there are more of them than watches
}

// watcher watches the services of one configuration.
type watcher struct {
	cfg       config.Consul
	zone      string
	directory *directory.Directory
	client    *Client
	log       *slog.Logger
	policy    roster.Policy
	atStart   bool          // first watcher of the process: listed engines may be older than it
	pollSlots chan struct{} // bounds the polls in flight

	mu          sync.Mutex
	stats       Stats
	mode        *watch.PollingMode
	modeChanged chan struct{} // closed and replaced when the mode changes
	checks      *watch.CheckTracker
	pollNow     map[string]chan struct{} // key: service; a signal triggers an immediate poll
}

// query is a repeated query with its backoff after failures.
type query struct {
	*watch.Query
	path    string
	params  url.Values
	backoff backoff.BackOff
}

func (w *watcher) newQuery(path string, params url.Values) *query {
	limits := watch.DefaultLimits()
	limits.MaxWait, limits.MaxAge = w.cfg.Wait(), w.policy.MaxAge
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = limits.MaxBackoff
	b.InitialInterval = limits.MinPause
	b.Reset()
	return &query{Query: watch.NewQuery(limits), path: path, params: params, backoff: b}
}

// request sends the next request of a query. A poll waits for one of the pollSlots.
func (w *watcher) request(ctx context.Context, q *query, polled bool) (QueryResult, error) {
	if polled {
		select {
		case w.pollSlots <- struct{}{}:
			defer func() { <-w.pollSlots }()
		case <-ctx.Done():
			return QueryResult{}, ctx.Err()
		}
	}
	next := q.Next(polled)
	result, err := w.client.Get(ctx, Query{Path: q.path, Params: q.params, Index: next.Index, Wait: next.Wait, Stale: next.Stale})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Queries++
	w.stats.Bytes += int64(len(result.Body))
	if err != nil {
		w.stats.Failed++
	} else {
		w.stats.Agent = result.Agent
	}
	return result, err
}

// classifyFailure classifies an error and returns the agent's Retry-After, or 0 if there is none.
func classifyFailure(err error) (watch.Failure, time.Duration) {
	var status *StatusError
	switch {
	case errors.Is(err, errNoAgent):
		return watch.NoAgent, 0
	case errors.Is(err, errAgentHung):
		return watch.AgentUnresponsive, 0
	case errors.Is(err, errNotList), errors.Is(err, errTooLong), errors.Is(err, errNoIndex):
		return watch.Malformed, 0
	case errors.As(err, &status) && status.isNoLeader():
		return watch.NoLeader, status.RetryAfter
	case errors.As(err, &status):
		return watch.ErrorStatus, status.RetryAfter
	}
	return watch.Disconnected, 0
}

// handleFailure records the failure of a request, then pauses for its backoff or Retry-After.
func (w *watcher) handleFailure(ctx context.Context, q *query, err error, recordDistrust func(roster.Reason)) {
	failure, retryAfter := classifyFailure(err)
	action := q.RecordFailure(failure, q.backoff.NextBackOff(), retryAfter)
	if ctx.Err() != nil {
		return
	}
	if action.Log {
		w.log.Warn("query failed", "path", q.path, "reason", string(action.Reason), "cause", err)
	}
	if action.Reason != roster.Trusted {
		recordDistrust(action.Reason)
	}
	if action.Pause > 0 {
		w.client.Pause(ctx, action.Pause)
	}
}

// queryHandler contains the callbacks of a watch.
type queryHandler struct {
	// nextPoll waits for the time of the next poll and returns false when the watch ends. It is
	// nil for blocking queries.
	nextPoll func() bool
	// apply processes a response that has changed.
	apply func(QueryResult) error
	// confirmUnchanged records that a response has not changed. If it returns false, the response
	// is applied again.
	confirmUnchanged func() bool
	// recordDistrust records a reason not to trust the source.
	recordDistrust func(roster.Reason)
}

// ignoreDistrust is the recordDistrust callback of queries whose failures affect no source.
func ignoreDistrust(roster.Reason) {}

// watch repeats a query until ctx is done.
func (w *watcher) watch(ctx context.Context, q *query, h queryHandler) {
	polled := h.nextPoll != nil
	for ctx.Err() == nil {
		if polled && !h.nextPoll() {
			return
		}
		result, err := w.request(ctx, q, polled)
		received := time.Now()
		response := watch.Response{Index: result.Index, Checksum: xxhash.Sum64(result.Body), HasLeader: result.KnownLeader, Age: result.LastContact}
		changed := false
		if err == nil {
			changed = q.RecordResponse(response) || !h.confirmUnchanged()
		}
		switch {
		case err != nil:
		case !changed:
			w.mu.Lock()
			w.stats.Unchanged++
			w.mu.Unlock()
		case ctx.Err() == nil: // a service without the tag must not be added again
			err = h.apply(result)
		}
		if err != nil {
			w.handleFailure(ctx, q, err, h.recordDistrust)
			continue
		}
		q.backoff.Reset()
		if wait := q.RecordProcessed(response, changed, time.Since(received)); wait > 0 && !polled {
			pause.Sleep(ctx, wait)
		}
	}
}

// run watches the configured service, or all services with the configured tag, until ctx is done.
// It returns after all its goroutines have ended.
func (w *watcher) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // runs before group.Wait, where a panic would otherwise block and stay unreported
	group.Go(func() { w.client.Run(ctx) })
	if w.cfg.Tag != "" && w.cfg.Service == "" {
		w.watchCatalog(ctx)
		return
	}
	w.addSource(w.cfg.Service, w.atStart)
	removeOthers := sync.OnceFunc(func() { w.removeOtherServices(w.cfg.Service) })
	w.watchService(ctx, w.cfg.Service, nil, removeOthers)
}
