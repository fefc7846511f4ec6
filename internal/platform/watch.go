package platform

import (
	"bytes"
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

// Timeouts and limits of the watch.
const (
	heartbeatInterval     = 2 * time.Second         // discovery sends a line at least this often
	queuedResponseTimeout = 4500 * time.Millisecond // of a discovery that queues requests
	listTimeout           = 4 * time.Second         // from the first byte of a list to its last
	maxListBytes          = 4 << 20
)

// Watch watches discovery's list of engines and publishes changes to the core.
type Watch struct {
	publish     func(routing.EngineListScope, []core.Endpoint)
	log         *slog.Logger
	roster      *Roster
	subscribed  chan struct{} // signaled by Subscribe; nil if streams need no Subscribe
	addrChanged chan struct{} // signaled when the address has changed
	timing      watch.Timing
	client      *http.Client

	mu           sync.Mutex
	addr         string
	cancelStream context.CancelFunc // cancels the current stream; nil before the first
}

// NewWatch returns a watch on discovery at addr. With mustSubscribe each stream starts only after a call
// of Subscribe. grace is the time within which requests to an engine must end after its drain is
// announced; for a drain that is announced while discovery is down, it counts from discovery's recovery.
func NewWatch(addr string, mustSubscribe bool, grace time.Duration, publish func(routing.EngineListScope, []core.Endpoint), log *slog.Logger) *Watch {
	w := &Watch{
		addr: addr, publish: publish, log: log, roster: NewRoster(), addrChanged: make(chan struct{}, 1),
		timing: watch.TimingFor(grace, heartbeatInterval),
	}
	if mustSubscribe {
		w.subscribed = make(chan struct{}, 1)
		w.timing.ResponseTimeout = queuedResponseTimeout
	}
	w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: w.timing.ResponseTimeout}}
	return w
}

// Subscribe allows the next stream to start. It never blocks.
func (w *Watch) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default: // a signal is pending, or none is needed
	}
}

// SetAddress continues the watch at another address. The roster is kept, since losing it would lose
// drains: the new stream requests the changes after the last revision.
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

// newBackoff returns the exponential backoff between streams. Its jitter keeps gateways that were started
// or rejected at the same time from retrying at the same time: synchronised retries, at a fixed interval
// of one second, kept an overloaded discovery overloaded.
func newBackoff(t watch.Timing) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = t.InitialBackoff, t.MaxBackoff, t.Jitter
	b.Multiplier = 2
	b.Reset()
	return b
}

// Run publishes the last known list, then changes until ctx is done.
func (w *Watch) Run(ctx context.Context, known config.EngineList) {
	w.publish(routing.EngineListStale, w.roster.Apply(known))
	retryBackoff := newBackoff(w.timing)
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
			// An overloaded discovery may reject watches for a long time while it still answers short
			// requests, such as that for the complete list.
			if err := w.fetchList(ctx); err != nil {
				w.log.Warn("list failed", "cause", err)
			}
		}
		if w.subscribed != nil {
			w.publish(routing.EngineListFailed, nil)
		}
		if lines > 0 {
			retryBackoff.Reset()
		}
		select {
		case <-ctx.Done():
		case <-w.addrChanged:
			retryBackoff.Reset()
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

// fetchList requests the complete list once and publishes the changes.
func (w *Watch) fetchList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timing.ResponseTimeout)
	defer cancel()
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	var l config.EngineList
	if err := fetch.JSON(ctx, w.client, "http://"+addr+"/v1/servers", maxListBytes, &l); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if changed := w.roster.Apply(l); len(changed) > 0 {
		w.publish(routing.EngineListDelta, changed)
	}
	return nil
}

// stream reads one stream of changes to its end and returns the number of lists that were read.
func (w *Watch) stream(ctx context.Context) (lines int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(max(w.timing.IdleTimeout, w.timing.ResponseTimeout), cancel)
	defer idle.Stop()
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
	return w.readLists(&listReader{from: resp.Body, idle: idle, idleTimeout: w.timing.IdleTimeout})
}

// readLists publishes the changes of each list until the stream ends, and returns the number of lists.
func (w *Watch) readLists(r *listReader) (lines int, err error) {
	for lists := jsoniter.NewDecoder(r); ; {
		r.remaining = maxListBytes
		var l config.EngineList
		if err := lists.Decode(&l); errors.Is(err, io.EOF) {
			return lines, io.EOF
		} else if err != nil {
			return lines, fmt.Errorf("watch: %w", err)
		}
		lines++
		r.endList(lists.Buffered())
		// The roster's changes include the engines that a complete list no longer contains, so a delta
		// is enough. The first list of a stream is published even if it changes nothing.
		if changed := w.roster.Apply(l); len(changed) > 0 || lines == 1 {
			w.publish(routing.EngineListDelta, changed)
		}
	}
}

// listReader reads a stream of lists. Any byte, also that of an empty line, extends the idle timeout, but
// not past the time by which a list that has begun must be complete.
type listReader struct {
	from         io.Reader
	idle         *time.Timer
	idleTimeout  time.Duration
	remaining    int       // bytes until the current list reaches maxListBytes
	listDeadline time.Time // of the list that has begun; zero if none has
}

func (r *listReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, fetch.ErrTooLong
	}
	n, err := r.from.Read(p[:min(len(p), r.remaining)])
	if n > 0 {
		r.remaining -= n
		r.extend(p[:n])
	}
	return n, err
}

// extend extends the idle timeout after the arrival of some bytes.
func (r *listReader) extend(arrived []byte) {
	if r.listDeadline.IsZero() && len(bytes.TrimSpace(arrived)) > 0 {
		r.listDeadline = time.Now().Add(listTimeout)
	}
	timeout := r.idleTimeout
	if !r.listDeadline.IsZero() {
		timeout = min(timeout, time.Until(r.listDeadline))
	}
	r.idle.Reset(timeout)
}

// endList records that a list is complete. rest has the bytes that have arrived after it.
func (r *listReader) endList(rest io.Reader) {
	r.listDeadline = time.Time{}
	if arrived, err := io.ReadAll(rest); err == nil {
		r.extend(arrived)
	}
}
