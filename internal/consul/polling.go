package consul

import (
	"context"
	"fmt"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/watch"
)

// pollingMode reports whether services are polled, at which interval, and the channel that is
// closed when the mode changes.
func (w *watcher) pollingMode() (polling bool, interval time.Duration, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode.Polling(), w.mode.Interval(), w.modeChanged
}

// signal sends to a channel with room for one, unless a signal is pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// watchOrPoll watches one service of many until ctx ends: by blocking queries while there are
// few enough services, else by polls, out of turn when a health check has changed.
func (w *watcher) watchOrPoll(ctx context.Context, name string, pollNow <-chan struct{}) {
	due := time.Now() // the first poll is made at once, as fast as slots allow
	for ctx.Err() == nil {
		polling, _, changed := w.pollingMode()
		sub, stop := context.WithCancel(ctx)
		go func() { // ends with sub, at the latest when this round ends
			select {
			case <-sub.Done():
			case <-changed:
				stop()
			}
		}()
		nextPoll := func() bool {
			t := time.NewTimer(time.Until(due))
			defer t.Stop()
			select {
			case <-sub.Done():
				return false
			case <-pollNow:
			case <-t.C:
			}
			_, interval, _ := w.pollingMode()
			due = time.Now().Add(jitter(interval))
			return true
		}
		if !polling {
			nextPoll = nil
		}
		w.watchService(sub, name, nextPoll, func() {})
		stop()
	}
}

// watchChecks watches the failing health checks while services are polled, and has the services
// that a change affects polled at once. One query serves all services, and its response is
// short while most engines are healthy.
func (w *watcher) watchChecks(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		polling, _, changed := w.pollingMode()
		sub, stop := context.WithCancel(ctx)
		if polling {
			q := w.newQuery("/v1/health/state/critical", nil)
			h := queryHandler{apply: w.applyChecks, confirm: func() bool { return true }, doubt: ignore}
			group.Go(func() { w.watch(sub, q, h) })
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		stop()
	}
}

// applyChecks replaces the failing health checks.
func (w *watcher) applyChecks(a QueryResult) error {
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
		if ch := w.pollNow[service]; ch != nil {
			signal(ch)
		}
	}
	return nil
}

// criticalCheck is an element of /v1/health/state/critical, as far as it is read.
type criticalCheck struct {
	Node        string `json:"Node"`
	CheckID     string `json:"CheckID"`
	ServiceID   string `json:"ServiceID"`
	ServiceName string `json:"ServiceName"`
}
