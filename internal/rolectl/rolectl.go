// Package rolectl carries out changes of engines' roles. Every gateway watches the records of
// the changes under way in Consul, routes by them and confirms that it does. One gateway, the
// leader, holds a lease on a Consul lock: it plans changes and takes them from step to step. The
// decisions are those of decide/roles and decide/rolechange.
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

// The controller's parameters.
const (
	tickInterval  = time.Second      // between a leader's rounds
	watchWait     = 10 * time.Second // of a blocking query
	retryInterval = time.Second
	lockDelay     = time.Second // Consul's least; fencing tokens guard against a former leader that runs on
	extraHistory  = 20          // entries kept beyond an hour's
)

// Options are what a controller is made of.
type Options struct {
	Directory     *directory.Directory
	Settings      roles.Settings
	Limits        rolechange.Timeouts
	LeaseTTL      time.Duration
	KeyPrefix     string
	GatewayName   func() string                  // unique in the tier; "" while it is not known
	GatewayCount  func() int                     // gateways that share the engines
	Traffic       func() map[string]core.Traffic // of this gateway, by class: a sample of all gateways' traffic
	DryRun        bool
	PinnedEngines map[string]bool // whose roles stay
	PinnedRacks   map[int]bool
	// OnStep is called for each step of a change that has ended, for traces; nil for none.
	OnStep func(r rolechange.Record, to time.Time, why string)
	Log    *slog.Logger
}

// HistoryEntry is the beginning or the end of a change.
type HistoryEntry struct {
	At      time.Time          `json:"at"`
	Engine  string             `json:"engine"`
	To      string             `json:"to"`
	Outcome rolechange.Outcome `json:"outcome"` // "" at its beginning
	Reason  string             `json:"why"`
}

// Status is the present state, for operators.
type Status struct {
	Gateway      string              `json:"gateway"`
	Leader       string              `json:"owner"` // as last read
	IsLeader     bool                `json:"mine"`
	FencingToken uint64              `json:"fence"`
	DryRun       bool                `json:"dry_run"`
	Plan         Plan                `json:"plan"` // empty unless this gateway leads, or has led
	Changes      []rolechange.Record `json:"changes"`
	History      []HistoryEntry      `json:"ends"`
}

// Plan is a leader's latest plan. Pairs are of the prefill and the decode stage, in engines.
type Plan struct {
	At       time.Time      `json:"at"`
	Reason   string         `json:"why"`
	Change   *roles.Change  `json:"change,omitempty"`
	Demand   [2]float64     `json:"demand"`
	Capacity [2]float64     `json:"capacity"`
	Before   roles.Forecast `json:"before"`
	After    roles.Forecast `json:"after"`
}

// storedRecord is a record with its ModifyIndex, by which a write is conditional.
type storedRecord struct {
	rolechange.Record
	modifyIndex uint64
}

// Controller routes by the changes under way and, while it holds the lease, carries them out.
type Controller struct {
	opt         Options
	lastSession string // of the latest lease; of the goroutine in campaign alone

	mu          sync.Mutex
	records     map[string]storedRecord
	recordsRead bool                 // at least once
	confirmed   map[string]time.Time // by engine, when the change began that this gateway has confirmed
	status      Status
}

// New returns a controller. An error names the setting that can't be used.
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

// Run watches changes and campaigns for the lease until ctx ends, and returns when all its
// goroutines have ended.
func (c *Controller) Run(ctx context.Context, client *consul.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { c.watchRecords(ctx, client) })
	c.campaign(ctx, client)
}
