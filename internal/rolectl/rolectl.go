// Package rolectl carries out changes of engines' roles. Every gateway watches the records of the
// active changes in Consul, applies them to its routing and confirms that. One gateway, the leader,
// has a lease on a Consul lock: it plans changes and advances them step by step. Planning is
// implemented in decide/roles, the steps of a change in decide/rolechange.
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

// Parameters of the controller.
const (
	tickInterval        = time.Second      // between two ticks of the leader
	watchWait           = 10 * time.Second // wait time of a blocking query
	retryInterval       = time.Second
	lockDelay           = time.Second // Consul's minimum; fencing tokens reject commands of a former leader
	extraHistoryEntries = 20          // history entries kept in addition to those of one hour
)

// Options configure a controller.
type Options struct {
	Directory     *directory.Directory
	Settings      roles.Settings
	Limits        rolechange.Timeouts
	LeaseTTL      time.Duration
	KeyPrefix     string
	GatewayName   func() string                  // unique in the tier; "" until the name is determined
	GatewayCount  func() int                     // number of gateways that share the engines
	Traffic       func() map[string]core.Traffic // by class; this gateway's, as a sample of all gateways'
	DryRun        bool
	PinnedEngines map[string]bool // engines whose roles must not change
	PinnedRacks   map[int]bool    // racks whose engines' roles must not change
	// OnStep is called at the end of each step of a change, for traces; it may be nil.
	OnStep func(r rolechange.Record, endedAt time.Time, reason string)
	Log    *slog.Logger
}

// HistoryEntry is the start or the end of a change.
type HistoryEntry struct {
	At      time.Time          `json:"at"`
	Engine  string             `json:"engine"`
	To      string             `json:"to"`
	Outcome rolechange.Outcome `json:"outcome"` // "" for the start
	Reason  string             `json:"why"`
}

// Status is the state of the controller, for operators.
type Status struct {
	Gateway      string              `json:"gateway"`
	Leader       string              `json:"owner"` // as last read from the lock
	IsLeader     bool                `json:"mine"`
	FencingToken uint64              `json:"fence"`
	DryRun       bool                `json:"dry_run"`
	Plan         Plan                `json:"plan"` // empty if this gateway has never led
	Changes      []rolechange.Record `json:"changes"`
	History      []HistoryEntry      `json:"ends"`
}

// Plan is a leader's latest plan. The two values of Demand and Capacity are those of the prefill and
// the decode role, in engines.
type Plan struct {
	At       time.Time      `json:"at"`
	Reason   string         `json:"why"`
	Change   *roles.Change  `json:"change,omitempty"`
	Demand   [2]float64     `json:"demand"`
	Capacity [2]float64     `json:"capacity"`
	Before   roles.Forecast `json:"before"`
	After    roles.Forecast `json:"after"`
}

// storedRecord is a record with its ModifyIndex, on which writes are conditional.
type storedRecord struct {
	rolechange.Record
	modifyIndex uint64
}

// Controller applies active changes to routing and, while it has the lease, plans and advances them.
type Controller struct {
	opt         Options
	lastSession string // session of the latest lease; owned by the goroutine in campaign

	mu          sync.Mutex
	records     map[string]storedRecord
	recordsRead bool                 // whether records have been read at least once
	confirmed   map[string]time.Time // by engine: start time of the change that this gateway has confirmed
	status      Status
}

// New returns a controller. An error contains the name of the invalid setting.
func New(opt Options) (*Controller, error) {
	if _, err := roles.NewPlanner(opt.Settings); err != nil {
		return nil, fmt.Errorf("roles.%w", err)
	}
	opt.Log = opt.Log.With("part", "roles")
	return &Controller{opt: opt, records: map[string]storedRecord{}, confirmed: map[string]time.Time{}, status: Status{DryRun: opt.DryRun}}, nil
}

// Status returns the state of the controller.
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

// Run watches changes and campaigns for the lease until ctx ends. It returns when all its goroutines
// have ended.
func (c *Controller) Run(ctx context.Context, client *consul.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() { c.watchRecords(ctx, client) })
	c.campaign(ctx, client)
}
