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

// Directory follows Consul, on its own behalf and that of the gateway's own listing.
type Directory struct {
	zone     string
	keeper   *directory.Directory
	gateways func(int)
	ready    func() bool
	address  func() string
	beside   func(context.Context, *Client)
	log      *slog.Logger

	mu    sync.Mutex
	cfg   config.Consul
	next  *Client
	now   *follower
	leave context.CancelFunc // ends what is under way
}

// Policy is the rules' figures as a configuration has them.
func Policy(cfg config.Consul) roster.Policy {
	p := roster.DefaultPolicy()
	p.HoldTime, p.UnlistedTTL, p.MaxAge = cfg.Hold(), cfg.Unlisted(), cfg.MaxStale()
	return p
}

// Options are what a directory is made of.
type Options struct {
	Config   config.Consul
	Zone     string // of engines that state none
	Keeper   *directory.Directory
	Gateways func(int)   // takes how many gateways share the engines; needs Register
	Ready    func() bool // whether this gateway can serve
	// Address is where this gateway serves, once it does; "" before. It is listed if
	// Register gives no other.
	Address func() string
	// Beside works by way of the same client until its context ends; nil for nothing.
	Beside func(context.Context, *Client)
	Log    *slog.Logger
}

// New returns a directory. An error names a file of the configuration that can't
// be used.
func New(opt Options) (*Directory, error) {
	d := &Directory{zone: opt.Zone, keeper: opt.Keeper, gateways: opt.Gateways, ready: opt.Ready, address: opt.Address, beside: opt.Beside, log: opt.Log.With("part", "consul")}
	client, err := NewClient(opt.Config, d.log)
	if err != nil {
		return nil, err
	}
	d.cfg, d.next = opt.Config, client
	return d, nil
}

// Move has the directory go on by another configuration, at once, whatever hangs.
// Engines stay as they were known until the new one has said what holds. The same
// configuration changes nothing: what its files hold is read as it changes.
func (d *Directory) Move(cfg config.Consul) error {
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
	d.cfg, d.next = cfg, client
	if d.leave != nil {
		d.leave()
	}
	return nil
}

// Run follows Consul until ctx ends, and has then taken the gateway off its list.
func (d *Directory) Run(ctx context.Context) {
	cluster := ""
	for first := true; ctx.Err() == nil; first = false {
		sub, leave := context.WithCancel(ctx)
		d.mu.Lock()
		f := &follower{
			cfg: d.cfg, zone: d.zone, keeper: d.keeper, client: d.next, log: d.log, policy: Policy(d.cfg), first: first,
			slots: make(chan struct{}, d.cfg.Watches()), turns: watch.NewPollingMode(d.cfg.Watches()), turned: make(chan struct{}),
			marked: watch.NewCheckTracker(), wake: map[string]chan struct{}{},
		}
		d.now, d.leave = f, leave
		d.mu.Unlock()
		agents := clusterName(f.cfg)
		if !first && agents != cluster { // perhaps of another catalogue
			for _, name := range f.known() {
				f.keeper.With(func(b *roster.Registry, _ time.Time) { b.ResetIndex(source(name)) })
			}
		}
		cluster = agents
		var group sync.WaitGroup
		if f.cfg.Register != nil {
			group.Go(func() { d.register(sub, f) })
			group.Go(func() { d.count(sub, f) })
		}
		if d.beside != nil {
			group.Go(func() { d.beside(sub, f.client) })
		}
		func() {
			defer group.Wait()
			defer leave()
			f.run(sub)
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
func (d *Directory) Stats() Stats {
	d.mu.Lock()
	f := d.now
	d.mu.Unlock()
	if f == nil {
		return Stats{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}
