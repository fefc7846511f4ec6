// Package directory connects the sources of engines with the core. It passes their views to the
// registry in decide/roster, sends the health probes that the registry requests, publishes changes
// to the core, and stores the last good view on disk.
package directory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/core"
	"wellgw/routing"
)

// Intervals and limits of the directory.
const (
	tickInterval     = 100 * time.Millisecond
	maxProbesPerTick = 32                    // 320 probes per second
	flushInterval    = 20 * time.Millisecond // between publications; batches the changes of a flapping catalog
	saveInterval     = time.Second
	maxSnapshotAge   = time.Minute // older files are rewritten without changes, for their time stamp
)

// Options configure a directory.
type Options struct {
	Policy roster.Policy
	// Publish passes changed engines to the core. It may block briefly.
	Publish func(routing.EngineListScope, []core.Endpoint)
	// Probe sends a health probe to an engine's address.
	Probe func(ctx context.Context, addr string) roster.ProbeResult
	// StateFile is the path of the last good view; "" disables it.
	StateFile string
	Log       *slog.Logger
}

// Directory owns the registry of engines and guards it with a mutex. It implements core.Directory.
type Directory struct {
	opt Options

	mu         sync.Mutex
	registry   *roster.Registry
	pending    map[string]roster.Engine // unpublished changes; key: engine ID
	lastFlush  time.Time
	unsaved    bool                        // whether there are changes since the last snapshot
	probing    map[roster.ProbeTarget]bool // probes in flight
	stats      Stats
	publishing sync.Mutex // serializes publications, so that they stay in order; locked before mu
}

// Stats count the operations of a directory.
type Stats struct {
	Probes       int `json:"checks"`  // health probes of engines
	Changes      int `json:"changes"` // engines published to the core
	Publications int `json:"tells"`   // calls of Options.Publish
	Saves        int `json:"saves"`   // successful writes of the state file
}

// New returns a directory. If a state file exists, the directory starts from the view in it; a
// damaged file is renamed and logged.
func New(opt Options) *Directory {
	d := &Directory{
		opt: opt, registry: roster.New(opt.Policy), pending: map[string]roster.Engine{}, probing: map[roster.ProbeTarget]bool{},
	}
	if opt.StateFile != "" {
		d.restore()
	}
	return d
}

// With calls do with exclusive access to the registry. It then logs the registry's events, and
// publishes its changes unless the last publication was less than flushInterval ago.
func (d *Directory) With(do func(r *roster.Registry, now time.Time)) {
	d.mu.Lock()
	now := time.Now()
	do(d.registry, now)
	for _, c := range d.registry.Changes() {
		d.pending[c.ID] = c
		d.unsaved = true
	}
	events := d.registry.Events()
	due := len(d.pending) > 0 && now.Sub(d.lastFlush) >= flushInterval
	d.mu.Unlock()
	for _, e := range events {
		d.logEvent(e)
	}
	if due {
		d.Flush()
	}
}

func (d *Directory) logEvent(e roster.Event) {
	level := slog.LevelInfo
	if e.Warn {
		level = slog.LevelWarn
	}
	attrs := []slog.Attr{slog.Int("engines", e.Engines)}
	for _, attr := range []slog.Attr{
		slog.String("source", e.Source), slog.String("engine", e.Engine), slog.String("reason", string(e.Reason)), slog.String("cause", e.Cause),
	} {
		if attr.Value.String() != "" {
			attrs = append(attrs, attr)
		}
	}
	d.opt.Log.LogAttrs(context.Background(), level, e.Message, attrs...)
}

// Flush publishes all pending changes immediately.
func (d *Directory) Flush() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	endpoints := make([]core.Endpoint, 0, len(d.pending))
	for _, e := range d.pending {
		endpoints = append(endpoints, newEndpoint(e))
	}
	clear(d.pending)
	d.lastFlush = time.Now()
	if len(endpoints) > 0 {
		d.stats.Changes += len(endpoints)
		d.stats.Publications++
	}
	d.mu.Unlock()
	if len(endpoints) > 0 {
		d.opt.Publish(routing.EngineListDelta, endpoints)
	}
}

// newEndpoint converts an engine to the core's type. A critical or suspect engine gets no new
// requests but stays listed, so that its state in the core is still there after a recovery.
func newEndpoint(e roster.Engine) core.Endpoint {
	endpoint := core.Endpoint{
		EngineInfo: routing.EngineInfo{Name: e.ID, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Weight: 1},
		Addr:       e.Addr, StartedAt: e.Started,
	}
	switch e.State {
	case roster.InService:
		endpoint.Phase = routing.PhaseActive
	case roster.Removed:
		endpoint.Phase = routing.PhaseRemoved
	default:
		endpoint.Phase = routing.PhaseDraining
	}
	return endpoint
}

// Subscribe does nothing, since changes are always published. core.Directory requires it.
func (d *Directory) Subscribe() {}

// ConnectionRefused records that an engine refused the connection for an attempt.
func (d *Directory) ConnectionRefused(id, addr string) {
	d.With(func(r *roster.Registry, now time.Time) { r.ObserveProbe(now, id, addr, roster.Refused) })
}

// Run advances the registry's time, sends due probes and saves snapshots until ctx is done. It
// returns after its goroutines have ended.
func (d *Directory) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { d.save(ctx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		for _, p := range d.tick() {
			group.Go(func() { d.probe(ctx, p) })
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// tick advances the registry's time and returns the due probes, except those already in flight.
func (d *Directory) tick() (probes []roster.ProbeTarget) {
	d.With(func(r *roster.Registry, now time.Time) {
		r.Tick(now)
		for _, p := range r.DueProbes(now, maxProbesPerTick) {
			if !d.probing[p] {
				d.probing[p] = true
				d.stats.Probes++
				probes = append(probes, p)
			}
		}
	})
	return probes
}

func (d *Directory) probe(ctx context.Context, p roster.ProbeTarget) {
	result := d.opt.Probe(ctx, p.Addr)
	d.With(func(r *roster.Registry, now time.Time) {
		delete(d.probing, p)
		if ctx.Err() == nil { // otherwise the probe was canceled
			r.ObserveProbe(now, p.ID, p.Addr, result)
		}
	})
}
