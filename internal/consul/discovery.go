package consul

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"wellgw/decide/roster"
	"wellgw/decide/watch"
	"wellgw/internal/config"
	"wellgw/internal/directory"
)

// Discovery watches the engines of one configuration at a time and registers the gateway.
type Discovery struct {
	zone        string
	directory   *directory.Directory
	setGateways func(int)
	ready       func() bool
	address     func() string
	runWith     func(context.Context, *Client)
	log         *slog.Logger

	mu      sync.Mutex
	cfg     config.Consul
	client  *Client
	watcher *watcher
	restart context.CancelFunc // cancels the present watcher; nil before Run
}

// RosterPolicy returns the registry's thresholds as a configuration sets them.
func RosterPolicy(cfg config.Consul) roster.Policy {
	p := roster.DefaultPolicy()
	p.HoldTime, p.UnlistedTTL, p.MaxAge = cfg.Hold(), cfg.Unlisted(), cfg.MaxStale()
	return p
}

// Options configure a Discovery.
type Options struct {
	Config      config.Consul
	Zone        string // of engines without one in their Meta
	Directory   *directory.Directory
	SetGateways func(int)   // is called with the number of gateways that share the engines, if Register is set
	Ready       func() bool // reports whether this gateway can serve
	// Address returns where this gateway serves, "" before it does. It is registered if
	// Register sets no other.
	Address func() string
	// RunWithClient runs beside the watcher, with its client, until its context ends; nil for none.
	RunWithClient func(context.Context, *Client)
	Log           *slog.Logger
}

// New returns a Discovery. An error names a file of the configuration that can't be used.
func New(opt Options) (*Discovery, error) {
	d := &Discovery{
		zone: opt.Zone, directory: opt.Directory, setGateways: opt.SetGateways, ready: opt.Ready, address: opt.Address,
		runWith: opt.RunWithClient, log: opt.Log.With("part", "consul"),
	}
	client, err := NewClient(opt.Config, d.log)
	if err != nil {
		return nil, err
	}
	d.cfg, d.client = opt.Config, client
	return d, nil
}

// Reconfigure replaces the configuration at once, whatever requests are under way. Engines
// stay listed until the new configuration's sources have been observed. An equal
// configuration changes nothing: its files are read again as they change.
func (d *Discovery) Reconfigure(cfg config.Consul) error {
	d.mu.Lock()
	same := reflect.DeepEqual(cfg, d.cfg)
	d.mu.Unlock()
	if same {
		return nil
	}
	client, err := NewClient(cfg, d.log)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg, d.client = cfg, client
	if d.restart != nil {
		d.restart()
	}
	return nil
}

// Run watches Consul until ctx ends, and returns when the gateway is deregistered and all that
// was started has ended.
func (d *Discovery) Run(ctx context.Context) {
	cluster := ""
	for atStart := true; ctx.Err() == nil; atStart = false {
		sub, cancel := context.WithCancel(ctx)
		w := d.newWatcher(atStart, cancel)
		previous := cluster
		if cluster = clusterName(w.cfg); !atStart && cluster != previous {
			w.resetIndexes()
		}
		d.runWatcher(sub, cancel, w)
	}
}

// newWatcher makes the watcher of the present configuration, which cancel ends.
func (d *Discovery) newWatcher(atStart bool, cancel context.CancelFunc) *watcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher = &watcher{
		cfg: d.cfg, zone: d.zone, directory: d.directory, client: d.client, log: d.log, policy: RosterPolicy(d.cfg), atStart: atStart,
		slots: make(chan struct{}, d.cfg.Watches()), mode: watch.NewPollingMode(d.cfg.Watches()), modeChanged: make(chan struct{}),
		checks: watch.NewCheckTracker(), pollNow: map[string]chan struct{}{},
	}
	d.restart = cancel
	return d.watcher
}

// runWatcher runs a watcher and what goes with it until ctx ends, and awaits their end.
func (d *Discovery) runWatcher(ctx context.Context, cancel context.CancelFunc, w *watcher) {
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if w.cfg.Register != nil {
		group.Go(func() { d.register(ctx, w) })
		group.Go(func() { d.watchGateways(ctx, w) })
	}
	if d.runWith != nil {
		group.Go(func() { d.runWith(ctx, w.client) })
	}
	w.run(ctx)
}

// resetIndexes prepares the services for views of perhaps another catalog.
func (w *watcher) resetIndexes() {
	for _, name := range w.knownServices() {
		w.directory.With(func(r *roster.Registry, _ time.Time) { r.ResetIndex(source(name)) })
	}
}

// clusterName differs between configurations whose catalogs may differ.
func clusterName(cfg config.Consul) string {
	name := cfg.Datacenter
	for _, a := range cfg.Agents() {
		name += " " + a
	}
	return name
}

// Stats returns the work done since the configuration was last replaced.
func (d *Discovery) Stats() Stats {
	d.mu.Lock()
	w := d.watcher
	d.mu.Unlock()
	if w == nil {
		return Stats{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}
