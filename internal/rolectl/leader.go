package rolectl

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/consul"
	"wellgw/internal/directory"
	"wellgw/internal/pause"
)

// leader is the state of one term as leader. It is not safe for concurrent use.
type leader struct {
	*Controller
	client            *consul.Client
	lease             *lease
	planner           *roles.Planner
	http              *http.Client
	unresponsiveSince map[string]time.Time        // by engine: start of the first failed poll in a row
	replies           map[string]rolechange.Reply // by engine: reply to the command of its latest step
	reports           map[string]*engineReport    // by engine: report of the latest poll
	lastDryRunEngine  string                      // engine of the planned change that a dry run last logged
}

// lead plans and advances changes until the lease is lost or ctx ends.
func (c *Controller) lead(ctx context.Context, client *consul.Client, acquired *lease) error {
	planner, err := roles.NewPlanner(c.opt.Settings)
	if err != nil {
		return err
	}
	l := &leader{
		Controller: c, client: client, lease: acquired, planner: planner,
		http:              &http.Client{Timeout: engineTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}},
		unresponsiveSince: map[string]time.Time{}, replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{},
	}
	defer l.http.CloseIdleConnections()
	for _, e := range acquired.value.History {
		l.replay(e)
	}
	c.mu.Lock()
	c.status.IsLeader, c.status.Leader, c.status.FencingToken = true, acquired.value.Gateway, acquired.FencingToken
	c.mu.Unlock()
	for ctx.Err() == nil {
		started := time.Now()
		if err := l.tick(ctx); err != nil {
			return err
		}
		pause.Sleep(ctx, tickInterval-time.Since(started))
	}
	return ctx.Err()
}

// replay informs the planner of the start or the end of a change, by this leader or an earlier one.
func (l *leader) replay(e HistoryEntry) {
	if e.Outcome != rolechange.InProgress {
		l.planner.ChangeEnded(e.At, e.Engine, e.Outcome == rolechange.Done)
		return
	}
	to, _ := roles.ParseRole(e.To)
	l.planner.ChangeStarted(e.At, roles.Change{Engine: e.Engine, To: to})
}

func (l *leader) leaseValid() bool { return l.lease.Valid(time.Now()) }

// tick renews the lease, polls the engines, advances each change by at most one step, and plans the
// next change. An error means that the lease is lost.
func (l *leader) tick(ctx context.Context) error {
	if err := l.renew(ctx); err != nil {
		return err
	}
	view := l.opt.Directory.View()
	l.poll(ctx, view.Engines)
	records, known := l.recordsByAge()
	if !known {
		return nil
	}
	l.observe(view.Engines, records)
	for _, r := range records {
		if !l.leaseValid() {
			return errLeaseLost
		}
		if err := l.advance(ctx, r, view.Engines); err != nil {
			return err
		}
	}
	return l.planChange(ctx, view.Engines, records)
}

// renew renews the lease. The lease's duration is measured from before the call, because Consul may
// have renewed the session long before its response arrives.
func (l *leader) renew(ctx context.Context) error {
	requestedAt := time.Now()
	renewed, err := l.client.RenewSession(ctx, l.lease.session)
	if err == nil && !renewed {
		return errLeaseLost
	}
	if err == nil {
		l.lease.Renewed(requestedAt)
	}
	if !l.leaseValid() { // renewals have failed for the whole duration of the lease
		return errLeaseLost
	}
	return nil
}

// recordsByAge returns the records of changes, oldest first. It returns false if they have not been
// read yet.
func (l *leader) recordsByAge() ([]storedRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.SortedFunc(maps.Values(l.records), func(a, b storedRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	return records, l.recordsRead
}

// observe passes the state of the engines and the traffic to the planner.
func (l *leader) observe(engines []directory.Engine, records []storedRecord) {
	now := time.Now()
	changes := make(map[string]*roles.ActiveChange, len(records))
	for _, r := range records {
		paused, role, since := r.Routing()
		changes[r.Engine] = &roles.ActiveChange{RoutingPaused: paused, Role: role, RoleAge: now.Sub(since)}
	}
	var observed []roles.Engine
	for _, e := range engines {
		r := l.reports[e.ID]
		if r == nil {
			continue
		}
		engine, planned := l.opt.Settings.PlannedEngine(roles.Observation{
			ID: e.ID, Rack: e.Cell, InService: e.State == stateInService, Uptime: time.Duration(e.UpMS) * time.Millisecond, Role: r.Role, Slots: r.Slots,
			Running: r.Running, Queue: r.Queue, MemoryUsed: r.MemoryUsed, Tokens: r.Tokens, BusySeconds: r.BusySeconds,
			Pinned: l.opt.PinnedEngines[e.ID] || l.opt.PinnedRacks[e.Cell], Change: changes[e.ID],
		})
		if planned {
			observed = append(observed, engine)
		}
	}
	var traffic []roles.Traffic
	for class, t := range l.opt.Traffic() {
		traffic = append(traffic, roles.Traffic{
			Class: class, Requested: float64(t.Requests), PromptTokens: float64(t.PromptTokens), Served: float64(t.Served), ServedPromptTokens: float64(t.ServedPromptTokens), OutputTokens: float64(t.OutputTokens),
		})
	}
	l.planner.Observe(now, observed, traffic)
}
