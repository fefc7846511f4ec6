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

// leader is the state of one term as the leader. It is for one goroutine.
type leader struct {
	*Controller
	client           *consul.Client
	lease            *lease
	planner          *roles.Planner
	http             *http.Client
	silentSince      map[string]time.Time        // by engine that did not answer the latest poll
	replies          map[string]rolechange.Reply // to commands since the engine's change was last advanced
	reports          map[string]*engineReport    // of the latest poll
	lastDryRunEngine string                      // that was logged
}

// lead carries out changes until the lease is lost or ctx ends.
func (c *Controller) lead(ctx context.Context, client *consul.Client, held *lease) error {
	planner, err := roles.NewPlanner(c.opt.Settings)
	if err != nil {
		return err
	}
	l := &leader{
		Controller: c, client: client, lease: held, planner: planner,
		http:        &http.Client{Timeout: engineTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}},
		silentSince: map[string]time.Time{}, replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{},
	}
	defer l.http.CloseIdleConnections()
	for _, e := range held.value.History {
		l.replay(e)
	}
	c.mu.Lock()
	c.status.IsLeader, c.status.Leader, c.status.FencingToken = true, held.value.Gateway, held.FencingToken
	c.mu.Unlock()
	for ctx.Err() == nil {
		begun := time.Now()
		if err := l.tick(ctx); err != nil {
			return err
		}
		pause.Sleep(ctx, tickInterval-time.Since(begun))
	}
	return ctx.Err()
}

// replay has the planner take into account what an earlier leader did, or this one.
func (l *leader) replay(e HistoryEntry) {
	if e.Outcome != rolechange.InProgress {
		l.planner.ChangeEnded(e.At, e.Engine, e.Outcome == rolechange.Done)
		return
	}
	to, _ := roles.ParseRole(e.To)
	l.planner.ChangeStarted(e.At, roles.Change{Engine: e.Engine, To: to})
}

func (l *leader) leaseValid() bool { return l.lease.Valid(time.Now()) }

// tick does one round: it renews the lease, polls the engines, advances every change by a step at
// most, and plans. An error says that the lease is lost.
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
	return l.plan(ctx, view.Engines, records)
}

// renew renews the lease. It counts from before the call, as the answer may be long on its way.
func (l *leader) renew(ctx context.Context) error {
	requestedAt := time.Now()
	renewed, err := l.client.RenewSession(ctx, l.lease.session)
	if err == nil && !renewed {
		return errLeaseLost
	}
	if err == nil {
		l.lease.Renewed(requestedAt)
	}
	if !l.leaseValid() { // renewals have failed for too long
		return errLeaseLost
	}
	return nil
}

// recordsByAge returns the records of changes, the oldest first, false before the first read.
func (l *leader) recordsByAge() ([]storedRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.SortedFunc(maps.Values(l.records), func(a, b storedRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	return records, l.recordsRead
}

// observe has the planner take in the state of the engines and the traffic.
func (l *leader) observe(engines []directory.Engine, records []storedRecord) {
	now := time.Now()
	changes := make(map[string]*roles.ActiveChange, len(records))
	for _, r := range records {
		hold, role, since := r.Routing()
		changes[r.Engine] = &roles.ActiveChange{RoutingPaused: hold, Role: role, RoleAge: now.Sub(since)}
	}
	var seen []roles.Engine
	for _, e := range engines {
		r := l.reports[e.ID]
		if r == nil {
			continue
		}
		engine, planned := l.opt.Settings.PlannedEngine(roles.Observation{
			ID: e.ID, Rack: e.Cell, InService: e.State == stateInService, Uptime: time.Duration(e.UpMS) * time.Millisecond, Role: r.Role, Slots: r.Slots,
			Running: r.Running, Queue: r.Queue, MemoryUsed: r.Memory, Tokens: r.Tokens, BusySeconds: r.Busy,
			Pinned: l.opt.PinnedEngines[e.ID] || l.opt.PinnedRacks[e.Cell], Change: changes[e.ID],
		})
		if planned {
			seen = append(seen, engine)
		}
	}
	var traffic []roles.Traffic
	for class, t := range l.opt.Traffic() {
		traffic = append(traffic, roles.Traffic{
			Class: class, Requested: float64(t.Requests), PromptTokens: float64(t.PromptTokens), Served: float64(t.Served), ServedPromptTokens: float64(t.ServedPromptTokens), OutputTokens: float64(t.OutputTokens),
		})
	}
	l.planner.Observe(now, seen, traffic)
}
