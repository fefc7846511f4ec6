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

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/consul"
	"wellgw/internal/core"
	"wellgw/internal/directory"
)

// The controller's margins.
const (
	tickInterval  = time.Second
	watchWait     = 10 * time.Second
	retryInterval = time.Second
	lockDelay     = time.Second // fences guard against an owner that comes back
	extraHistory  = 20          // that are remembered beyond an hour's
)

// Options are what a controller is made of.
type Options struct {
	Keeper        *directory.Keeper
	Settings      roles.Settings
	Limits        rolechange.Limits
	LeaseTTL      time.Duration
	KeyPrefix     string
	GatewayName   func() string                  // this gateway's name among all; "" while it is not known
	GatewayCount  func() int                     // how many share the engines
	Traffic       func() map[string]core.Traffic // at this gateway: it stands for all
	DryRun        bool
	PinnedEngines map[string]bool // pinned
	PinnedRacks   map[int]bool    // pinned
	// OnStep is told of each step of a change that is over; nil for nothing.
	OnStep func(r rolechange.Record, to time.Time, why string)
	Log    *slog.Logger
}

// HistoryEntry is a change that has ended, or one that was begun.
type HistoryEntry struct {
	At      time.Time          `json:"at"`
	Engine  string             `json:"engine"`
	To      string             `json:"to"`
	Outcome rolechange.Outcome `json:"outcome"` // "" = begun
	Reason  string             `json:"why"`
}

// Status is the present state, for people.
type Status struct {
	Gateway      string              `json:"gateway"`
	Leader       string              `json:"owner"` // who holds the lease, as far as is known
	IsLeader     bool                `json:"mine"`
	FencingToken uint64              `json:"fence"`
	DryRun       bool                `json:"dry_run"`
	Plan         Plan                `json:"plan"` // the owner's latest
	Changes      []rolechange.Record `json:"changes"`
	History      []HistoryEntry      `json:"ends"`
}

// Plan is the owner's latest plan.
type Plan struct {
	At       time.Time      `json:"at"`
	Reason   string         `json:"why"`
	Change   *roles.Change  `json:"change,omitempty"`
	Demand   [2]float64     `json:"demand"`
	Capacity [2]float64     `json:"capacity"`
	Before   roles.Forecast `json:"before"`
	After    roles.Forecast `json:"after"`
}

// storedRecord is a record with the index at which it was read.
type storedRecord struct {
	rolechange.Record
	modifyIndex uint64
}

// Controller follows and, while it holds the lease, carries out changes.
type Controller struct {
	opt         Options
	lastSession string // the session of the latest lease; contend's alone

	mu          sync.Mutex
	records     map[string]storedRecord
	recordsRead bool // the records have been read
	confirmed   map[string]time.Time
	status      Status
}

// New returns a controller; an error names a setting that can't be used.
func New(opt Options) (*Controller, error) {
	if _, err := roles.NewPlanner(opt.Settings); err != nil {
		return nil, fmt.Errorf("roles.%w", err)
	}
	opt.Log = opt.Log.With("part", "roles")
	return &Controller{opt: opt, records: map[string]storedRecord{}, confirmed: map[string]time.Time{}, status: Status{DryRun: opt.DryRun}}, nil
}

// Status returns the present state.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.status
	s.Gateway = c.opt.GatewayName()
	s.Changes = []rolechange.Record{}
	for _, r := range c.records {
		s.Changes = append(s.Changes, r.Record)
	}
	s.History = append([]HistoryEntry{}, c.status.History...)
	return s
}

// Run follows and owns by way of a client until ctx ends.
func (c *Controller) Run(ctx context.Context, client *consul.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { c.watchRecords(ctx, client) })
	c.campaign(ctx, client)
}
