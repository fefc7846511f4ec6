package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/watch"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/fetch"
	"wellgw/routing"
)

// The watch's margins. A line comes every 2 s at least.
const (
	heartbeatInterval     = 2 * time.Second
	queuedResponseTimeout = 4500 * time.Millisecond // for an answer where calls wait in turn
	maxListBytes          = 4 << 20
	maxDeparted           = 256 // engines that have left are remembered; more would grow with the days
)

// Watch follows discovery and tells the core what it learns.
type Watch struct {
	publish     func(routing.EngineListScope, []core.Endpoint)
	log         *slog.Logger
	roster      *Roster
	subscribed  chan struct{} // a Subscribe; nil where changes come by themselves
	addrChanged chan struct{} // the address has changed
	timing      watch.Timing
	client      *http.Client

	mu           sync.Mutex
	addr         string
	cancelStream context.CancelFunc // ends the watch under way
}

// NewWatch returns a watch on discovery's address. If asked is true it begins
// only with the first Subscribe. Sends must end so long after a drain was announced as grace
// says, and what a discovery that was away has to announce counts as announced from when it is back.
func NewWatch(addr string, asked bool, grace time.Duration, tell func(routing.EngineListScope, []core.Endpoint), log *slog.Logger) *Watch {
	w := &Watch{addr: addr, publish: tell, log: log, roster: NewRoster(), addrChanged: make(chan struct{}, 1), timing: watch.TimingFor(grace, heartbeatInterval)}
	if asked {
		w.subscribed = make(chan struct{}, 1)
		w.timing.ResponseTimeout = queuedResponseTimeout
	}
	w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: w.timing.ResponseTimeout}}
	return w
}

// Subscribe asks for changes from now on.
func (w *Watch) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default: // one is under way, or none is needed
	}
}

// SetAddress has the watch go on at another address. What is known stays, drains above
// all: the new address is asked for what came after it.
func (w *Watch) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	if w.cancelStream != nil {
		w.cancelStream()
	}
	select {
	case w.addrChanged <- struct{}{}:
	default:
	}
}

// newBackoff returns the waits between calls after failures: growing, and drawn at
// random about their mean. A fleet of gateways started or refused together must
// not call again together: in step, their calls would keep an overbooked discovery
// overbooked, and fixed pauses of a second did exactly that.
func newBackoff(p watch.Timing) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = p.InitialBackoff, p.MaxBackoff, p.Jitter
	b.Multiplier = 2
	b.Reset()
	return b
}

// Run starts from the list as last held and follows the watch until ctx ends.
func (w *Watch) Run(ctx context.Context, known config.List) {
	w.publish(routing.EngineListStale, w.roster.Apply(known))
	wait := newBackoff(w.timing)
	for ctx.Err() == nil {
		if w.subscribed != nil {
			select {
			case <-ctx.Done():
				return
			case <-w.subscribed:
			}
		}
		lines, err := w.stream(ctx)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("watch ended", "lines", lines, "cause", err)
		if lines == 0 && w.subscribed == nil {
			// An overbooked discovery refuses watches for long while it still answers
			// short calls: the whole list holds nothing open.
			if err := w.fetchList(ctx); err != nil {
				w.log.Warn("list failed", "cause", err)
			}
		}
		if w.subscribed != nil {
			w.publish(routing.EngineListFailed, nil)
		}
		if lines > 0 {
			wait.Reset()
		}
		select {
		case <-ctx.Done():
		case <-w.addrChanged:
			wait.Reset()
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// fetchList asks once for the whole list and tells what changed.
func (w *Watch) fetchList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timing.ResponseTimeout)
	defer cancel()
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	var l config.List
	if err := fetch.JSON(ctx, w.client, "http://"+addr+"/v1/servers", maxListBytes, &l); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if changed := w.roster.Apply(l); len(changed) > 0 {
		w.publish(routing.EngineListDelta, changed)
	}
	return nil
}

// stream reads one watch to its end and returns how many lists it brought.
func (w *Watch) stream(ctx context.Context) (lines int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(max(w.timing.IdleTimeout, w.timing.ResponseTimeout), cancel)
	defer silence.Stop()
	w.mu.Lock()
	addr := w.addr
	w.cancelStream = cancel
	w.mu.Unlock()
	url := fmt.Sprintf("http://%s/v1/servers?watch=1&after=%d", addr, w.roster.Revision())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("watch: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("watch: %w", fetch.StatusError{Code: resp.StatusCode})
	}
	from := &listReader{from: resp.Body, idle: silence, idleTimeout: w.timing.IdleTimeout}
	for lists := jsoniter.NewDecoder(from); ; {
		from.remaining = maxListBytes
		var l config.List
		if err := lists.Decode(&l); errors.Is(err, io.EOF) {
			return lines, io.EOF
		} else if err != nil {
			return lines, fmt.Errorf("watch: %w", err)
		}
		lines++
		// The roster has worked out who is gone, so changes say all there is.
		if changed := w.roster.Apply(l); len(changed) > 0 || lines == 1 {
			w.publish(routing.EngineListDelta, changed)
		}
	}
}

// listReader reads a watch. All that comes, an empty line too, is a sign of life.
type listReader struct {
	from        io.Reader
	idle        *time.Timer
	idleTimeout time.Duration
	remaining   int // bytes that the list under way may still have
}

func (h *listReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, fetch.ErrTooLong
	}
	n, err := h.from.Read(p[:min(len(p), h.remaining)])
	if n > 0 {
		h.idle.Reset(h.idleTimeout)
		h.remaining -= n
	}
	return n, err
}
