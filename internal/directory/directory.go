// Package directory connects the sources of engines with the core. It passes their views to
// decide/roster, makes the health probes that it asks for, publishes changes to the core, and
// stores the last good view on disk.
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

// Intervals and limits of the directory's work.
const (
	tickInterval     = 100 * time.Millisecond
	maxProbesPerTick = 32                    // 320 probes a second
	flushInterval    = 20 * time.Millisecond // batches the changes of a flapping catalog
	saveInterval     = time.Second
	maxSnapshotAge   = time.Minute // without changes the file is written for its time stamp
)

// Options configure a directory.
type Options struct {
	Policy roster.Policy
	// Publish passes changed engines to the core. It may block for a moment.
	Publish func(routing.EngineListScope, []core.Endpoint)
	// Probe reports whether an engine at an address answers.
	Probe func(ctx context.Context, addr string) roster.ProbeResult
	// StateFile is the path of the last good view; "" for none.
	StateFile string
	Log       *slog.Logger
}

// Directory owns the registry of engines behind one lock. It is a core.Directory.
type Directory struct {
	opt Options

	mu         sync.Mutex
	registry   *roster.Registry
	pending    map[string]roster.Engine // changes to publish, by id
	lastFlush  time.Time
	unsaved    bool                        // changes since the last snapshot
	probing    map[roster.ProbeTarget]bool // under way
	stats      Stats
	publishing sync.Mutex // keeps messages to the core in order; taken before mu
}

// Stats count the directory's work.
type Stats struct {
	Probes       int `json:"checks"`  // health probes of engines
	Changes      int `json:"changes"` // engines published to the core
	Publications int `json:"tells"`   // messages to the core
	Saves        int `json:"saves"`
}

// New returns a directory. With a state file it starts from the view stored there; a damaged
// file is renamed and logged.
func New(opt Options) *Directory {
	d := &Directory{
		opt: opt, registry: roster.New(opt.Policy), pending: map[string]roster.Engine{}, probing: map[roster.ProbeTarget]bool{},
	}
	if opt.StateFile != "" {
		d.restore()
	}
	return d
}

// With calls do with exclusive access to the registry, then logs its events and publishes its
// changes when they are due.
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

// Flush publishes all pending changes at once.
func (d *Directory) Flush() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	endpoints := make([]core.Endpoint, 0, len(d.pending))
	for _, e := range d.pending {
		endpoints = append(endpoints, endpoint(e))
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

// endpoint returns an engine in the core's form. One that is critical or suspect gets no new
// requests but stays listed: what is known of it still holds if it comes back.
func endpoint(e roster.Engine) core.Endpoint {
	m := core.Endpoint{
		EngineInfo: routing.EngineInfo{Name: e.ID, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Weight: 1},
		Addr:       e.Addr, StartedAt: e.Started,
	}
	switch e.State {
	case roster.InService:
		m.Phase = routing.PhaseActive
	case roster.Removed:
		m.Phase = routing.PhaseRemoved
	default:
		m.Phase = routing.PhaseDraining
	}
	return m
}

// Subscribe does nothing, since changes are always published. It makes a Directory a
// core.Directory.
func (d *Directory) Subscribe() {}

// ConnectionRefused records that an engine refused the connection of an attempt.
func (d *Directory) ConnectionRefused(id, addr string) {
	d.With(func(r *roster.Registry, now time.Time) { r.ObserveProbe(now, id, addr, roster.Refused) })
}

// Run advances the registry's time and makes the probes that are due until ctx ends. It
// returns when its goroutines have ended.
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

// tick advances the registry's time and returns the probes to make. None is made twice at once.
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
		if ctx.Err() == nil { // else the probe was cut short
			r.ObserveProbe(now, p.ID, p.Addr, result)
		}
	})
}
