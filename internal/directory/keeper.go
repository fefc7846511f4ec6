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
	tickEvery  = 100 * time.Millisecond
	checkMost  = 32                    // direct checks begun at a tick: 320 a second
	flushEvery = 20 * time.Millisecond // a catalogue that flaps is told of in pieces
	saveEvery  = time.Second
)

// Options are what a keeper is made of.
type Options struct {
	Policy roster.Policy
	// Tell takes what has changed. It may block for a moment.
	Tell func(routing.EngineListScope, []core.Endpoint)
	// Check looks whether an engine at an address answers.
	Check func(ctx context.Context, addr string) roster.ProbeResult
	// StateFile is where the last good view is kept; "" for nowhere.
	StateFile string
	Log       *slog.Logger
}

// Keeper owns the book of engines.
type Keeper struct {
	opt Options

	mu       sync.Mutex
	book     *roster.Registry
	pending  map[string]roster.Engine
	flushed  time.Time
	changed  bool // since the last save
	checking map[roster.Probe]bool
	stats    Stats
	told     sync.Mutex // keeps what is told in order
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
func New(opt Options) *Keeper {
	k := &Keeper{
		opt: opt, book: roster.New(opt.Policy), pending: map[string]roster.Engine{}, checking: map[roster.Probe]bool{},
	}
	if opt.StateFile != "" {
		k.restore()
	}
	return k
}

func (k *Keeper) restore() {
	v, err := lastview.Load(k.opt.StateFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case errors.Is(err, lastview.ErrDamaged):
		aside, moved := lastview.SetAside(k.opt.StateFile, time.Now())
		k.opt.Log.Error("the last good view cannot be used and is set aside", "file", aside, "cause", errors.Join(err, moved))
		return
	case err != nil:
		k.opt.Log.Error("the last good view cannot be read", "file", k.opt.StateFile, "cause", err)
		return
	}
	k.opt.Log.Info("last good view read", "file", k.opt.StateFile, "age", time.Since(v.SavedAt).Round(time.Millisecond).String())
	k.With(func(b *roster.Registry, now time.Time) { b.Restore(now, v.Entries, v.IndexOf()) })
}

// With has do work on the book, alone, and tells what comes of it.
func (k *Keeper) With(do func(b *roster.Registry, now time.Time)) {
	k.mu.Lock()
	now := time.Now()
	do(k.book, now)
	for _, c := range k.book.Changes() {
		k.pending[c.ID] = c
		k.changed = true
	}
	notes := k.book.Events()
	due := len(k.pending) > 0 && now.Sub(k.flushed) >= flushEvery
	k.mu.Unlock()
	for _, n := range notes {
		k.say(n)
	}
	if due {
		k.flush()
	}
}

func (k *Keeper) say(n roster.Event) {
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
	k.opt.Log.Log(context.Background(), level, n.Message, attrs...)
}

// Flush tells the core at once of what has changed.
func (k *Keeper) Flush() { k.flush() }

// flush tells the core of all that has changed.
func (k *Keeper) flush() {
	k.told.Lock()
	defer k.told.Unlock()
	k.mu.Lock()
	members := make([]core.Endpoint, 0, len(k.pending))
	for _, e := range k.pending {
		members = append(members, member(e))
	}
	clear(k.pending)
	k.flushed = time.Now()
	if len(members) > 0 {
		k.stats.Changes += len(members)
		k.stats.Tells++
	}
	k.mu.Unlock()
	if len(members) > 0 {
		k.opt.Tell(routing.EngineListDelta, members)
	}
}

// member is an engine as the core is told of it. One that is critical or suspect
// gets no new work but keeps its place: what is known of it holds if it comes back.
func member(e roster.Engine) core.Endpoint {
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
func (k *Keeper) Subscribe() {}

// Broke notes that an engine refused a connection, as an attempt at it has shown.
func (k *Keeper) Broke(id, addr string) {
	k.With(func(b *roster.Registry, now time.Time) { b.ObserveProbe(now, id, addr, roster.Refused) })
}

// Run lets time pass and makes the checks that are wanted until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { k.save(ctx) })
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var probes []roster.Probe
		k.With(func(b *roster.Registry, now time.Time) {
			b.Tick(now)
			for _, p := range b.DueProbes(now, checkMost) {
				if !k.checking[p] {
					k.checking[p] = true
					k.stats.Checks++
					probes = append(probes, p)
				}
			}
		})
		for _, p := range probes {
			group.Go(func() {
				pulse := k.opt.Check(ctx, p.Addr)
				k.With(func(b *roster.Registry, now time.Time) {
					delete(k.checking, p)
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
func (k *Keeper) save(ctx context.Context) {
	if k.opt.StateFile == "" {
		return
	}
	t := time.NewTicker(saveEvery)
	defer t.Stop()
	failed, written := false, time.Time{}
	for on := true; on; {
		select {
		case <-ctx.Done():
			on = false
		case <-t.C:
		}
		k.mu.Lock()
		if !k.changed && time.Since(written) < time.Minute {
			k.mu.Unlock()
			continue
		}
		k.changed = false
		entries, indexes := k.book.Snapshot()
		k.mu.Unlock()
		v := lastview.View{SavedAt: time.Now(), Entries: entries}
		for src, n := range indexes {
			v.Indexes = append(v.Indexes, lastview.Index{Source: src, Index: n})
		}
		err := lastview.Save(k.opt.StateFile, v)
		written = v.SavedAt
		if err != nil && !failed { // a full disk is no reason to fill the log as well
			k.opt.Log.Error("the last good view is not kept", "file", k.opt.StateFile, "cause", err)
		}
		failed = err != nil
		if err == nil {
			k.mu.Lock()
			k.stats.Saves++
			k.mu.Unlock()
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
func (k *Keeper) View() View {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	since := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return now.Sub(t).Milliseconds()
	}
	v := View{Stats: k.stats, Engines: []Engine{}, Sources: []Source{}}
	for _, e := range k.book.Engines() {
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
	for _, s := range k.book.SourceStatuses() {
		line := Source{Source: s.Source, Doubt: string(s.Doubt), AgeMS: since(s.LastTrusted), Index: s.Index, Engines: s.Engines}
		if s.Doubt != roster.Trusted {
			line.DoubtMS = since(s.DoubtedSince)
		}
		v.Sources = append(v.Sources, line)
	}
	return v
}
