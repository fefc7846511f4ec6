// Package rolectl carries out changes of engines' roles. Every gateway follows the
// changes that are under way, holds to them and says so; the one that holds the lease
// plans them and takes them from step to step. What is decided is decided in
// decide/roles and decide/rolechange.
package rolectl

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/decide/roster"
	"wellgw/internal/consul"
	"wellgw/internal/core"
	"wellgw/internal/directory"
	"wellgw/internal/pause"
)

// The controller's margins.
const (
	tickEvery = time.Second
	watchWait = 10 * time.Second
	retryIn   = time.Second
	lockDelay = time.Second // fences guard against an owner that comes back
	keepEnds  = 20          // that are remembered beyond an hour's
)

// Options are what a controller is made of.
type Options struct {
	Keeper   *directory.Directory
	Settings roles.Settings
	Limits   rolechange.Limits
	Lease    time.Duration
	Prefix   string
	Gateway  func() string                  // this gateway's name among all; "" while it is not known
	Gateways func() int                     // how many share the engines
	Traffic  func() map[string]core.Traffic // at this gateway: it stands for all
	DryRun   bool
	Engines  map[string]bool // pinned
	Racks    map[int]bool    // pinned
	// Step is told of each step of a change that is over; nil for nothing.
	Step func(r rolechange.Record, to time.Time, why string)
	Log  *slog.Logger
}

// End is a change that has ended, or one that was begun.
type End struct {
	At      time.Time          `json:"at"`
	Engine  string             `json:"engine"`
	To      string             `json:"to"`
	Outcome rolechange.Outcome `json:"outcome"` // "" = begun
	Why     string             `json:"why"`
}

// Status is the present state, for people.
type Status struct {
	Gateway string              `json:"gateway"`
	Owner   string              `json:"owner"` // who holds the lease, as far as is known
	Mine    bool                `json:"mine"`
	Fence   uint64              `json:"fence"`
	DryRun  bool                `json:"dry_run"`
	Plan    Plan                `json:"plan"` // the owner's latest
	Changes []rolechange.Record `json:"changes"`
	Ends    []End               `json:"ends"`
}

// Plan is the owner's latest plan.
type Plan struct {
	At       time.Time      `json:"at"`
	Why      string         `json:"why"`
	Change   *roles.Change  `json:"change,omitempty"`
	Demand   [2]float64     `json:"demand"`
	Capacity [2]float64     `json:"capacity"`
	Before   roles.Forecast `json:"before"`
	After    roles.Forecast `json:"after"`
}

// kept is a record with the index at which it was read.
type kept struct {
	rolechange.Record
	modify uint64
}

// Controller follows and, while it holds the lease, carries out changes.
type Controller struct {
	opt  Options
	held string // the session of the latest lease; contend's alone

	mu      sync.Mutex
	records map[string]kept
	known   bool // the records have been read
	said    map[string]time.Time
	status  Status
}

// New returns a controller; an error names a setting that can't be used.
func New(opt Options) (*Controller, error) {
	if _, err := roles.NewPlanner(opt.Settings); err != nil {
		return nil, fmt.Errorf("roles.%w", err)
	}
	opt.Log = opt.Log.With("part", "roles")
	return &Controller{opt: opt, records: map[string]kept{}, said: map[string]time.Time{}, status: Status{DryRun: opt.DryRun}}, nil
}

// Status returns the present state.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.status
	s.Gateway = c.opt.Gateway()
	s.Changes = []rolechange.Record{}
	for _, r := range c.records {
		s.Changes = append(s.Changes, r.Record)
	}
	s.Ends = append([]End{}, c.status.Ends...)
	return s
}

// Run follows and owns by way of a client until ctx ends.
func (c *Controller) Run(ctx context.Context, client *consul.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { c.follow(ctx, client) })
	c.contend(ctx, client)
}

func (c *Controller) changeKey(engine string) string { return c.opt.Prefix + "/change/" + engine }
func (c *Controller) seenKey(engine string) string   { return c.opt.Prefix + "/seen/" + engine + "/" }

// follow holds this gateway to the changes that are under way. While they can't be read
// it holds to what it knows.
func (c *Controller) follow(ctx context.Context, client *consul.Client) {
	index := uint64(0)
	for ctx.Err() == nil {
		pairs, next, err := client.List(ctx, c.opt.Prefix+"/change/", index, watchWait)
		if err != nil {
			index = 0
			client.Pause(ctx, retryIn)
			continue
		}
		if next < index || next == 0 {
			next = 0
		}
		if same := index != 0 && next == index; !same {
			c.take(ctx, client, pairs)
		}
		if index = next; index == 0 {
			pause.Sleep(ctx, retryIn)
		}
	}
}

// take takes the changes in, has the core told, and says so.
func (c *Controller) take(ctx context.Context, client *consul.Client, pairs []consul.Pair) {
	records, over := map[string]kept{}, map[string]roster.Override{}
	for _, p := range pairs {
		var r rolechange.Record
		if err := jsoniter.Unmarshal(p.Value, &r); err != nil || c.changeKey(r.Engine) != p.Key {
			c.opt.Log.Warn("a change that makes no sense is passed over", "key", p.Key, "cause", err)
			continue
		}
		records[r.Engine] = kept{r, p.ModifyIndex}
		hold, role, cold := r.View()
		over[r.Engine] = roster.Override{Hold: hold, Kind: role, Started: cold, Why: "changes from " + r.From + " to " + r.To + ": " + string(r.Step)}
	}
	c.opt.Keeper.With(func(b *roster.Registry, now time.Time) { b.Override(now, over) })
	c.opt.Keeper.Flush()
	c.mu.Lock()
	c.records, c.known = records, true
	var say []rolechange.Record
	for id := range c.said {
		if _, on := records[id]; !on {
			delete(c.said, id)
		}
	}
	for id, r := range records {
		if !c.said[id].Equal(r.Begun) {
			say = append(say, r.Record)
		}
	}
	c.mu.Unlock()
	gateway := c.opt.Gateway()
	for _, r := range say {
		c.opt.Log.Info("a change of role is held to", "engine", r.Engine, "from", r.From, "to", r.To, "step", string(r.Step))
		if gateway == "" || client.Write(ctx, c.seenKey(r.Engine)+gateway, []byte(r.Begun.Format(time.RFC3339Nano))) != nil {
			continue // the owner waits no longer than it has to
		}
		c.mu.Lock()
		c.said[r.Engine] = r.Begun
		c.mu.Unlock()
	}
}
