// Package directory stands between the sources of engines and the core. It gives
// what sources say to decide/roster, carries out the direct checks that it asks
// for, tells the core of changes, and keeps the last good view on disk.
package directory

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"sync"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/core"
	"wellgw/internal/lastview"
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

func (d *Directory) restore() {
	v, err := lastview.Load(d.opt.StateFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case errors.Is(err, lastview.ErrDamaged):
		aside, moved := lastview.SetAside(d.opt.StateFile, time.Now())
		d.opt.Log.Error("the last good view cannot be used and is set aside", "file", aside, "cause", errors.Join(err, moved))
		return
	case err != nil:
		d.opt.Log.Error("the last good view cannot be read", "file", d.opt.StateFile, "cause", err)
		return
	}
	d.opt.Log.Info("last good view read", "file", d.opt.StateFile, "age", time.Since(v.SavedAt).Round(time.Millisecond).String())
	d.With(func(b *roster.Registry, now time.Time) { b.Restore(now, v.Entries, v.IndexOf()) })
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

// save keeps the last good view as it changes, and its age from time to time.
func (d *Directory) save(ctx context.Context) {
	if d.opt.StateFile == "" {
		return
	}
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	failed, written := false, time.Time{}
	for on := true; on; {
		select {
		case <-ctx.Done():
			on = false
		case <-t.C:
		}
		d.mu.Lock()
		if !d.unsaved && time.Since(written) < time.Minute {
			d.mu.Unlock()
			continue
		}
		d.unsaved = false
		entries, indexes := d.registry.Snapshot()
		d.mu.Unlock()
		v := lastview.View{SavedAt: time.Now(), Entries: entries}
		for src, n := range indexes {
			v.Indexes = append(v.Indexes, lastview.Index{Source: src, Index: n})
		}
		err := lastview.Save(d.opt.StateFile, v)
		written = v.SavedAt
		if err != nil && !failed { // a full disk is no reason to fill the log as well
			d.opt.Log.Error("the last good view is not kept", "file", d.opt.StateFile, "cause", err)
		}
		failed = err != nil
		if err == nil {
			d.mu.Lock()
			d.stats.Saves++
			d.mu.Unlock()
		}
	}
}

// Engine is one line of the present view, for people.
type Engine struct {
	ID         string   `json:"id"`
	Address    string   `json:"address"`
	Role       string   `json:"role"`
	Listed     string   `json:"listed,omitempty"` // the role that its sources state, if it is another
	Zone       string   `json:"zone"`
	Cell       int      `json:"cell"`
	State      string   `json:"state"`
	Why        string   `json:"why,omitempty"`
	Confidence string   `json:"confidence"`
	AgeMS      int64    `json:"age_ms"`          // since a believed view had it
	UpMS       int64    `json:"up_ms,omitempty"` // since its start, if that is known
	Sources    []string `json:"sources"`
}

// Source is the state of one source, for people.
type Source struct {
	Source  string `json:"source"`
	Doubt   string `json:"doubt,omitempty"`
	DoubtMS int64  `json:"doubt_ms,omitempty"`
	AgeMS   int64  `json:"age_ms"` // since a view was believed; -1 if none was
	Index   uint64 `json:"index"`
	Engines int    `json:"engines"`
}

// View is the whole of the present view.
type View struct {
	Engines []Engine `json:"engines"`
	Sources []Source `json:"sources"`
	Stats   Stats    `json:"stats"`
}

// View returns the present view.
func (d *Directory) View() View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	since := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return now.Sub(t).Milliseconds()
	}
	v := View{Stats: d.stats, Engines: []Engine{}, Sources: []Source{}}
	for _, e := range d.registry.Engines() {
		line := Engine{
			ID: e.ID, Address: e.Addr, Role: e.Kind, Zone: e.Zone, Cell: e.Cell, State: e.State.String(), Why: e.Why,
			Confidence: e.Confidence.String(), AgeMS: since(e.LastSeen), Sources: e.Sources,
		}
		if e.ListedKind != e.Kind {
			line.Listed = e.ListedKind
		}
		if !e.Started.IsZero() {
			line.UpMS = max(1, since(e.Started)) // 0 is one that nobody knows
		}
		v.Engines = append(v.Engines, line)
	}
	for _, s := range d.registry.SourceStatuses() {
		line := Source{Source: s.Source, Doubt: string(s.Doubt), AgeMS: since(s.LastTrusted), Index: s.Index, Engines: s.Engines}
		if s.Doubt != roster.Trusted {
			line.DoubtMS = since(s.DoubtedSince)
		}
		v.Sources = append(v.Sources, line)
	}
	return v
}
