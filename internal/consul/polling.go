package consul

import (
	"context"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/roster"
	"wellgw/decide/watch"
)

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

// criticalCheck is one line of /v1/health/state/critical, as far as it is read.
type criticalCheck struct {
	Node        string `json:"Node"`
	CheckID     string `json:"CheckID"`
	ServiceID   string `json:"ServiceID"`
	ServiceName string `json:"ServiceName"`
}
