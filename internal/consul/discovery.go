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

// Discovery follows Consul, on its own behalf and that of the gateway's own listing.
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
	restart context.CancelFunc // ends what is under way
}

// Policy is the rules' figures as a configuration has them.
func Policy(cfg config.Consul) roster.Policy {
	p := roster.DefaultPolicy()
	p.HoldTime, p.UnlistedTTL, p.MaxAge = cfg.Hold(), cfg.Unlisted(), cfg.MaxStale()
	return p
}

// Options are what a directory is made of.
type Options struct {
	Config      config.Consul
	Zone        string // of engines that state none
	Directory   *directory.Directory
	SetGateways func(int)   // takes how many gateways share the engines; needs Register
	Ready       func() bool // whether this gateway can serve
	// Address is where this gateway serves, once it does; "" before. It is listed if
	// Register gives no other.
	Address func() string
	// RunWith works by way of the same client until its context ends; nil for nothing.
	RunWith func(context.Context, *Client)
	Log     *slog.Logger
}

// New returns a directory. An error names a file of the configuration that can't
// be used.
func New(opt Options) (*Discovery, error) {
	d := &Discovery{zone: opt.Zone, directory: opt.Directory, setGateways: opt.SetGateways, ready: opt.Ready, address: opt.Address, runWith: opt.RunWith, log: opt.Log.With("part", "consul")}
	client, err := NewClient(opt.Config, d.log)
	if err != nil {
		return nil, err
	}
	d.cfg, d.client = opt.Config, client
	return d, nil
}

// Reconfigure has the directory go on by another configuration, at once, whatever hangs.
// Engines stay as they were known until the new one has said what holds. The same
// configuration changes nothing: what its files hold is read as it changes.
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

// Run follows Consul until ctx ends, and has then taken the gateway off its list.
func (d *Discovery) Run(ctx context.Context) {
	cluster := ""
	for first := true; ctx.Err() == nil; first = false {
		sub, leave := context.WithCancel(ctx)
		d.mu.Lock()
		w := &watcher{
			cfg: d.cfg, zone: d.zone, directory: d.directory, client: d.client, log: d.log, policy: Policy(d.cfg), atStart: first,
			slots: make(chan struct{}, d.cfg.Watches()), mode: watch.NewPollingMode(d.cfg.Watches()), modeChanged: make(chan struct{}),
			checks: watch.NewCheckTracker(), pollNow: map[string]chan struct{}{},
		}
		d.watcher, d.restart = w, leave
		d.mu.Unlock()
		agents := clusterName(w.cfg)
		if !first && agents != cluster { // perhaps of another catalogue
			for _, name := range w.knownServices() {
				w.directory.With(func(b *roster.Registry, _ time.Time) { b.ResetIndex(source(name)) })
			}
		}
		cluster = agents
		var group sync.WaitGroup
		if w.cfg.Register != nil {
			group.Go(func() { d.register(sub, w) })
			group.Go(func() { d.watchGateways(sub, w) })
		}
		if d.runWith != nil {
			group.Go(func() { d.runWith(sub, w.client) })
		}
		func() {
			defer group.Wait()
			defer leave()
			w.run(sub)
		}()
	}
}

// clusterName tells configurations apart that may speak of different catalogues.
func clusterName(cfg config.Consul) string {
	name := cfg.Datacenter
	for _, a := range cfg.Agents() {
		name += " " + a
	}
	return name
}

// Stats returns what following has cost since the configuration was last read.
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
