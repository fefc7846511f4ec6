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

// Discovery watches the engines of one configuration at a time, and registers the gateway.
type Discovery struct {
	zone          string
	directory     *directory.Directory
	setGateways   func(int)
	ready         func() bool
	address       func() string
	runWithClient func(context.Context, *Client)
	log           *slog.Logger

	mu            sync.Mutex
	cfg           config.Consul
	client        *Client
	watcher       *watcher
	cancelWatcher context.CancelFunc // ends the running watcher; nil before Run
}

// RosterPolicy returns the registry's policy with the thresholds of a configuration.
func RosterPolicy(cfg config.Consul) roster.Policy {
	p := roster.DefaultPolicy()
	p.HoldTime, p.UnlistedTTL, p.MaxAge = cfg.Hold(), cfg.Unlisted(), cfg.MaxStale()
	return p
}

// Options configure a Discovery.
type Options struct {
	Config      config.Consul
	Zone        string // default for engines without a zone in their Meta
	Directory   *directory.Directory
	SetGateways func(int)   // receives the number of gateways that share the engines, if Register is set
	Ready       func() bool // reports whether this gateway can serve
	// Address returns the address at which this gateway serves, "" before its listener is open.
	// It is registered unless Config.Register sets an address.
	Address func() string
	// RunWithClient, if not nil, runs concurrently with the watcher and uses the same client. It
	// must return when its context is done.
	RunWithClient func(context.Context, *Client)
	Log           *slog.Logger
}

// New returns a Discovery. An error names the setting whose file can't be used.
func New(opt Options) (*Discovery, error) {
	d := &Discovery{
		zone: opt.Zone, directory: opt.Directory, setGateways: opt.SetGateways, ready: opt.Ready, address: opt.Address,
		runWithClient: opt.RunWithClient, log: opt.Log.With("part", "consul"),
	}
	client, err := NewClient(opt.Config, d.log)
	if err != nil {
		return nil, err
	}
	d.cfg, d.client = opt.Config, client
	return d, nil
}

// Reconfigure replaces the configuration immediately and cancels requests in flight. Engines
// stay listed until the new configuration's sources have been observed. An equal configuration
// is a no-op, since changes of the files that it names take effect without it.
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
	if d.cancelWatcher != nil {
		d.cancelWatcher()
	}
	return nil
}

// Run watches Consul until ctx is done. It returns after the gateway has been deregistered and
// all goroutines have ended.
func (d *Discovery) Run(ctx context.Context) {
	key := ""
	for atStart := true; ctx.Err() == nil; atStart = false {
		watcherCtx, cancel := context.WithCancel(ctx)
		w := d.newWatcher(atStart, cancel)
		previousKey := key
		if key = clusterKey(w.cfg); !atStart && key != previousKey {
			w.resetIndexes()
		}
		d.runWatcher(watcherCtx, cancel, w)
	}
}

// newWatcher returns a watcher of the latest configuration. Reconfigure calls cancel to end it.
func (d *Discovery) newWatcher(atStart bool, cancel context.CancelFunc) *watcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher = &watcher{
		cfg: d.cfg, zone: d.zone, directory: d.directory, client: d.client, log: d.log, policy: RosterPolicy(d.cfg), atStart: atStart,
		pollSlots: make(chan struct{}, d.cfg.Watches()), mode: watch.NewPollingMode(d.cfg.Watches()), modeChanged: make(chan struct{}),
		checks: watch.NewCheckTracker(), pollNow: map[string]chan struct{}{},
	}
	d.cancelWatcher = cancel
	return d.watcher
}

// runWatcher runs a watcher, the gateway's registration and runWithClient until ctx is done, and
// returns after all of them have ended.
func (d *Discovery) runWatcher(ctx context.Context, cancel context.CancelFunc, w *watcher) {
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if w.cfg.Register != nil {
		group.Go(func() { d.register(ctx, w) })
		group.Go(func() { d.watchGateways(ctx, w) })
	}
	if d.runWithClient != nil {
		group.Go(func() { d.runWithClient(ctx, w.client) })
	}
	w.run(ctx)
}

// resetIndexes discards the index of each service, since another catalog may have lower ones.
func (w *watcher) resetIndexes() {
	for _, name := range w.knownServices() {
		w.directory.With(func(r *roster.Registry, _ time.Time) { r.ResetIndex(catalogueSource(name)) })
	}
}

// clusterKey identifies a configuration's catalog: two configurations with different keys may see
// different catalogs.
func clusterKey(cfg config.Consul) string {
	name := cfg.Datacenter
	for _, a := range cfg.Agents() {
		name += " " + a
	}
	return name
}

// Stats returns the counts since the configuration was last replaced.
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
