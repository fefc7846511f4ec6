// Package directory stands between the sources of engines and the core. It gives
// what sources say to decide/roster, carries out the direct checks that it asks
// for, tells the core of changes, and keeps the last good view on disk.
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

// The keeper's margins.
const (
	tickInterval     = 100 * time.Millisecond
	maxProbesPerTick = 32                    // direct checks begun at a tick: 320 a second
	flushInterval    = 20 * time.Millisecond // a catalogue that flaps is told of in pieces
	saveInterval     = time.Second
)

// Options are what a keeper is made of.
type Options struct {
	Policy roster.Policy
	// Publish takes what has changed. It may block for a moment.
	Publish func(routing.EngineListScope, []core.Endpoint)
	// Probe looks whether an engine at an address answers.
	Probe func(ctx context.Context, addr string) roster.ProbeResult
	// StateFile is where the last good view is kept; "" for nowhere.
	StateFile string
	Log       *slog.Logger
}

// Directory owns the book of engines.
type Directory struct {
	opt Options

	mu         sync.Mutex
	registry   *roster.Registry
	pending    map[string]roster.Engine
	lastFlush  time.Time
	unsaved    bool // since the last save
	probing    map[roster.Probe]bool
	stats      Stats
	publishing sync.Mutex // keeps what is told in order
}

// Stats count what the keeper has done.
type Stats struct {
	Checks  int `json:"checks"`  // direct checks of engines
	Changes int `json:"changes"` // engines told anew to the core
	Tells   int `json:"tells"`   // in so many messages
	Saves   int `json:"saves"`
}

// New returns a keeper; with a state file, it begins with the view that it holds.
// A damaged file is set aside.
func New(opt Options) *Directory {
	d := &Directory{
		opt: opt, registry: roster.New(opt.Policy), pending: map[string]roster.Engine{}, probing: map[roster.Probe]bool{},
	}
	if opt.StateFile != "" {
		d.restore()
	}
	return d
}

// With has do work on the book, alone, and tells what comes of it.
func (d *Directory) With(do func(b *roster.Registry, now time.Time)) {
	d.mu.Lock()
	now := time.Now()
	do(d.registry, now)
	for _, c := range d.registry.Changes() {
		d.pending[c.ID] = c
		d.unsaved = true
	}
	notes := d.registry.Events()
	due := len(d.pending) > 0 && now.Sub(d.lastFlush) >= flushInterval
	d.mu.Unlock()
	for _, n := range notes {
		d.logEvent(n)
	}
	if due {
		d.flush()
	}
}

func (d *Directory) logEvent(n roster.Event) {
	level := slog.LevelInfo
	if n.Warn {
		level = slog.LevelWarn
	}
	attrs := []any{"engines", n.Engines}
	for _, a := range [][2]string{{"source", n.Source}, {"engine", n.Engine}, {"reason", string(n.Reason)}, {"cause", n.Cause}} {
		if a[1] != "" {
			attrs = append(attrs, a[0], a[1])
		}
	}
	d.opt.Log.Log(context.Background(), level, n.Message, attrs...)
}

// Flush tells the core at once of what has changed.
func (d *Directory) Flush() { d.flush() }

// flush tells the core of all that has changed.
func (d *Directory) flush() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	members := make([]core.Endpoint, 0, len(d.pending))
	for _, e := range d.pending {
		members = append(members, endpoint(e))
	}
	clear(d.pending)
	d.lastFlush = time.Now()
	if len(members) > 0 {
		d.stats.Changes += len(members)
		d.stats.Tells++
	}
	d.mu.Unlock()
	if len(members) > 0 {
		d.opt.Publish(routing.EngineListDelta, members)
	}
}

// endpoint is an engine as the core is told of it. One that is critical or suspect
// gets no new work but keeps its place: what is known of it holds if it comes back.
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

// Subscribe does nothing: changes come by themselves. A keeper is a core.Directory.
func (d *Directory) Subscribe() {}

// ConnectionRefused notes that an engine refused a connection, as an attempt at it has shown.
func (d *Directory) ConnectionRefused(id, addr string) {
	d.With(func(b *roster.Registry, now time.Time) { b.ObserveProbe(now, id, addr, roster.Refused) })
}

// Run lets time pass and makes the checks that are wanted until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { d.save(ctx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		var probes []roster.Probe
		d.With(func(b *roster.Registry, now time.Time) {
			b.Tick(now)
			for _, p := range b.DueProbes(now, maxProbesPerTick) {
				if !d.probing[p] {
					d.probing[p] = true
					d.stats.Checks++
					probes = append(probes, p)
				}
			}
		})
		for _, p := range probes {
			group.Go(func() {
				pulse := d.opt.Probe(ctx, p.Addr)
				d.With(func(b *roster.Registry, now time.Time) {
					delete(d.probing, p)
					if ctx.Err() == nil {
						b.ObserveProbe(now, p.ID, p.Addr, pulse)
					}
				})
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
