package rolectl

import (
	"context"
	"net/http"
	"slices"
	"time"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/consul"
	"wellgw/internal/directory"
	"wellgw/internal/pause"
)

// leader is the owner's work while it holds one lease.
type leader struct {
	*Controller
	client           *consul.Client
	lease            *lease
	planner          *roles.Planner
	http             *http.Client
	silentSince      map[string]time.Time // since when an engine has not answered
	replies          map[string]rolechange.Reply
	reports          map[string]*engineReport
	lastDryRunEngine string
}

// lead carries out changes until the lease is lost or ctx ends.
func (c *Controller) lead(ctx context.Context, client *consul.Client, l *lease) error {
	planner, err := roles.NewPlanner(c.opt.Settings)
	if err != nil {
		return err
	}
	h := &leader{
		Controller: c, client: client, lease: l, planner: planner,
		http:        &http.Client{Timeout: engineTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}},
		silentSince: map[string]time.Time{}, replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{},
	}
	defer h.http.CloseIdleConnections()
	for _, e := range l.value.History { // what the last owner did counts
		h.replay(e)
	}
	c.mu.Lock()
	c.status.IsLeader, c.status.Leader, c.status.FencingToken = true, l.value.Gateway, l.FencingToken
	c.mu.Unlock()
	for ctx.Err() == nil {
		begun := time.Now()
		if err := h.tick(ctx); err != nil {
			return err
		}
		pause.Sleep(ctx, tickInterval-time.Since(begun))
	}
	return ctx.Err()
}

// replay tells the planner what was done.
func (h *leader) replay(e HistoryEntry) {
	if e.Outcome != rolechange.InProgress {
		h.planner.Ended(e.At, e.Engine, e.Outcome == rolechange.Done)
		return
	}
	to, _ := roles.RoleOf(e.To)
	h.planner.Begun(e.At, roles.Change{Engine: e.Engine, To: to})
}

func (h *leader) leaseValid() bool { return h.lease.Valid(time.Now()) }

func (h *leader) tick(ctx context.Context) error {
	// Renewed before the work, and counted from before the call.
	asked := time.Now()
	if kept, err := h.client.RenewSession(ctx, h.lease.session); err == nil && !kept {
		return errLeaseLost
	} else if err == nil {
		h.lease.Renewed(asked)
	}
	if !h.leaseValid() {
		return errLeaseLost
	}
	view := h.opt.Keeper.View()
	h.poll(ctx, view.Engines)
	h.mu.Lock()
	known := h.recordsRead
	records := make([]storedRecord, 0, len(h.records))
	for _, r := range h.records {
		records = append(records, r)
	}
	h.mu.Unlock()
	if !known {
		return nil
	}
	slices.SortFunc(records, func(a, b storedRecord) int { return a.BegunAt.Compare(b.BegunAt) })
	h.observe(view.Engines, records)
	for _, r := range records {
		if !h.leaseValid() {
			return errLeaseLost
		}
		if err := h.advance(ctx, r, view.Engines); err != nil {
			return err
		}
	}
	return h.plan(ctx, view.Engines, records)
}

// observe tells the planner how the engines are and what is asked.
func (h *leader) observe(engines []directory.Engine, records []storedRecord) {
	now := time.Now()
	changes := make(map[string]*roles.ActiveChange, len(records))
	for _, r := range records {
		hold, role, since := r.EngineView()
		changes[r.Engine] = &roles.ActiveChange{Hold: hold, Role: role, RoleFor: now.Sub(since)}
	}
	var seen []roles.Engine
	for _, e := range engines {
		r := h.reports[e.ID]
		if r == nil {
			continue
		}
		engine, part := h.opt.Settings.Assess(roles.Observation{
			ID: e.ID, Rack: e.Cell, InService: e.State == "in", UpFor: time.Duration(e.UpMS) * time.Millisecond, Role: r.Role, Slots: r.Slots,
			Running: r.Running, Queue: r.Queue, MemoryUsed: r.Memory, Tokens: r.Tokens, BusySeconds: r.Busy,
			Pinned: h.opt.PinnedEngines[e.ID] || h.opt.PinnedRacks[e.Cell], Change: changes[e.ID],
		})
		if part {
			seen = append(seen, engine)
		}
	}
	var traffic []roles.Traffic
	for class, t := range h.opt.Traffic() {
		traffic = append(traffic, roles.Traffic{
			Class: class, Requested: float64(t.Asked), PromptTokens: float64(t.Prompt), Served: float64(t.Served), ServedPromptTokens: float64(t.ServedPrompt), OutputTokens: float64(t.Output),
		})
	}
	h.planner.Observe(now, seen, traffic)
}
