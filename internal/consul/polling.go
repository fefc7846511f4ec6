package consul

import (
	"context"
	"fmt"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/watch"
)

// pollingMode reports whether services are polled, the polling interval, and a channel that is
// closed when the mode changes.
func (w *watcher) pollingMode() (polling bool, interval time.Duration, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode.Polling(), w.mode.Interval(), w.modeChanged
}

// signal sends to a channel of capacity 1, unless a signal is pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// watchOrPoll watches one of the tagged services until ctx is done. It uses blocking queries while
// the number of services permits, see watch.PollingMode. Otherwise it polls at the mode's interval,
// and immediately on a signal in pollNow.
func (w *watcher) watchOrPoll(ctx context.Context, name string, pollNow <-chan struct{}) {
	nextPollTime := time.Now() // the first poll waits only for a slot
	for ctx.Err() == nil {
		polling, _, changed := w.pollingMode()
		modeCtx, stop := context.WithCancel(ctx)
		go func() { // ends with modeCtx, at the latest at the end of this iteration
			select {
			case <-modeCtx.Done():
			case <-changed:
				stop()
			}
		}()
		nextPoll := func() bool {
			t := time.NewTimer(time.Until(nextPollTime))
			defer t.Stop()
			select {
			case <-modeCtx.Done():
				return false
			case <-pollNow:
			case <-t.C:
			}
			_, interval, _ := w.pollingMode()
			nextPollTime = time.Now().Add(jitter(interval))
			return true
		}
		if !polling {
			nextPoll = nil
		}
		w.watchService(modeCtx, name, nextPoll, func() {})
		stop()
	}
}

// watchChecks watches the failing health checks while services are polled, and triggers an
// immediate poll of the services that a change affects. One query covers all services, and its
// response is short while most engines are healthy.
func (w *watcher) watchChecks(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		polling, _, changed := w.pollingMode()
		modeCtx, stop := context.WithCancel(ctx)
		if polling {
			q := w.newQuery("/v1/health/state/critical", nil)
			h := queryHandler{apply: w.applyChecks, confirmUnchanged: func() bool { return true }, recordDistrust: ignoreDistrust}
			group.Go(func() { w.watch(modeCtx, q, h) })
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		stop()
	}
}

// applyChecks replaces the set of failing health checks.
func (w *watcher) applyChecks(result QueryResult) error {
	var list []criticalCheck
	if err := jsoniter.Unmarshal(result.Body, &list); err != nil {
		return fmt.Errorf("critical checks: %w: %w", errNotList, err)
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

// criticalCheck is an element of /v1/health/state/critical, with only the fields in use.
type criticalCheck struct {
	Node        string `json:"Node"`
	CheckID     string `json:"CheckID"`
	ServiceID   string `json:"ServiceID"`
	ServiceName string `json:"ServiceName"`
}
