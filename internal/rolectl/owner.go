package rolectl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/consul"
	"wellgw/internal/directory"
	"wellgw/internal/pause"
)

// The owner's margins.
const (
	engineTimeout      = 800 * time.Millisecond
	maxConcurrentPolls = 32 // engines asked at once
	maxReplyBytes      = 4 << 10
)

// lease is one holding of the owner's lock.
type lease struct {
	*rolechange.Lease
	session string
	value   lockValue
}

// lockValue is what stands at the lock: it tells the next owner what there was.
type lockValue struct {
	Gateway string         `json:"gateway"`
	History []HistoryEntry `json:"ends"`
}

func (c *Controller) lockKey() string { return c.opt.KeyPrefix + "/owner" }

var errLeaseLost = errors.New("the lease is lost")

// campaign tries to become the owner, and owns while the lease lasts.
func (c *Controller) campaign(ctx context.Context, client *consul.Client) {
	for ctx.Err() == nil {
		l, err := c.acquire(ctx, client)
		if err != nil || l == nil {
			client.Pause(ctx, retryInterval)
			continue
		}
		c.opt.Log.Info("owner of changes of role", "gateway", l.value.Gateway, "fence", l.FencingToken)
		err = c.lead(ctx, client, l)
		c.mu.Lock()
		c.status.IsLeader = false
		c.mu.Unlock()
		c.opt.Log.Info("no longer owner of changes of role", "fence", l.FencingToken, "cause", err)
		bye, done := context.WithTimeout(context.WithoutCancel(ctx), engineTimeout)
		_ = client.EndSession(bye, l.session) // or it ends by itself
		done()
	}
}

// acquire returns the lease if it is to be had, nil if another holds it.
func (c *Controller) acquire(ctx context.Context, client *consul.Client) (*lease, error) {
	before, _, err := client.Read(ctx, c.lockKey())
	if err != nil {
		return nil, err
	}
	var value lockValue
	_ = jsoniter.Unmarshal(before.Value, &value)
	c.mu.Lock()
	c.status.Leader, c.status.FencingToken = value.Gateway, before.LockIndex
	c.status.History = value.History
	c.mu.Unlock()
	gateway := c.opt.GatewayName()
	switch rolechange.DecideLock(before.Session, c.lastSession, gateway) {
	case rolechange.LeaveLock:
		return nil, nil
	case rolechange.EndOwnSession:
		return nil, client.EndSession(ctx, before.Session)
	}
	asked := time.Now()
	l := &lease{value: lockValue{Gateway: gateway, History: value.History}}
	if l.session, err = client.NewSession(ctx, "wellgw roles "+gateway, c.opt.LeaseTTL, lockDelay); err != nil {
		return nil, err
	}
	raw, err := jsoniter.Marshal(l.value)
	if err != nil {
		return nil, err
	}
	got, err := client.Lock(ctx, c.lockKey(), l.session, raw)
	if err == nil && got {
		var now consul.Pair
		if now, _, err = client.Read(ctx, c.lockKey()); err == nil && now.Session == l.session {
			l.Lease, c.lastSession = rolechange.NewLease(now.LockIndex, c.opt.LeaseTTL, asked), l.session
			return l, nil
		}
	}
	_ = client.EndSession(ctx, l.session)
	return nil, err
}

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

// engineReport is the body of GET /role; see docs/engine-roles.md.
type engineReport struct {
	rolechange.Report
	Slots  int     `json:"slots"`
	Queue  int     `json:"queue"`
	Memory float64 `json:"memory"`
	Tokens float64 `json:"tokens"`
	Busy   float64 `json:"busy_s"`
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

// poll asks all engines of either role how they are.
func (h *leader) poll(ctx context.Context, engines []directory.Engine) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	now, silent := time.Now(), h.silentSince
	h.silentSince, h.reports = map[string]time.Time{}, map[string]*engineReport{} // who is gone is forgotten
	for _, e := range engines {
		if _, planned := roles.RoleOf(e.Role); !planned || e.State == "gone" {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r, _, err := h.callEngine(ctx, http.MethodGet, e.Address, nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				h.reports[e.ID] = r
			} else if h.silentSince[e.ID] = silent[e.ID]; h.silentSince[e.ID].IsZero() {
				h.silentSince[e.ID] = now
			}
		})
	}
	group.Wait()
}

func (h *leader) callEngine(ctx context.Context, method, addr string, body []byte) (*engineReport, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/role", bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	resp, err := h.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, 0, err
	}
	var r engineReport
	if resp.StatusCode == http.StatusNotFound {
		return nil, resp.StatusCode, fmt.Errorf("engine at %s never changes its role", addr)
	}
	if err := jsoniter.Unmarshal(raw, &r); err != nil || r.Role == "" {
		return nil, resp.StatusCode, fmt.Errorf("engine at %s: no report: %w", addr, err)
	}
	return &r, resp.StatusCode, nil
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

// advance takes one change a step on.
func (h *leader) advance(ctx context.Context, r storedRecord, engines []directory.Engine) error {
	now := time.Now()
	f := rolechange.Facts{Now: now, Leader: h.lease.value.Gateway, FencingToken: h.lease.FencingToken, Gateways: h.opt.GatewayCount(), Reply: h.replies[r.Engine]}
	for _, e := range engines {
		if e.ID == r.Engine && e.State != "gone" {
			f.Listed, f.ListedRole = true, e.Role
			if e.Listed != "" {
				f.ListedRole = e.Listed
			}
		}
	}
	if report := h.reports[r.Engine]; report != nil {
		f.Report = &report.Report
	} else if since := h.silentSince[r.Engine]; !since.IsZero() {
		f.SilentFor = now.Sub(since)
	}
	if r.Step == rolechange.Announced {
		f.Confirmed = h.countConfirmations(ctx, r.Record)
	}
	a := rolechange.Next(r.Record, f, h.opt.Limits)
	if a.LeaseLost {
		return fmt.Errorf("%w: %s", errLeaseLost, a.Reason)
	}
	delete(h.replies, r.Engine)
	if a.Outcome != rolechange.InProgress {
		return h.finish(ctx, r, a)
	}
	if a.Write {
		// What is not written down is not done: the next owner would not know of it.
		if written, err := h.putRecord(ctx, a.Record, r.modifyIndex); err != nil || !written {
			return err
		}
		if a.Record.Step != r.Step {
			h.notifyStep(r.Record, now, a.Reason)
		}
		h.opt.Log.Info("change of role: "+string(a.Record.Step), "engine", r.Engine, "from", r.From, "to", r.To, "reason", a.Reason, "fence", a.Record.FencingToken)
	}
	if a.Command != rolechange.NoCommand {
		h.sendCommand(ctx, a)
	}
	return nil
}

// notifyStep tells of a step that is over.
func (h *leader) notifyStep(r rolechange.Record, to time.Time, why string) {
	if h.opt.OnStep != nil {
		h.opt.OnStep(r, to, why)
	}
}

// countConfirmations counts the gateways that have said that they hold to a change.
func (h *leader) countConfirmations(ctx context.Context, r rolechange.Record) int {
	pairs, _, err := h.client.List(ctx, h.confirmationPrefix(r.Engine), 0, 0)
	if err != nil {
		return 0
	}
	n := 0
	for _, p := range pairs {
		if string(p.Value) == r.BegunAt.Format(time.RFC3339Nano) {
			n++
		}
	}
	return n
}

// putRecord writes a record that was read at an index, and tells whether that was done. If
// it was not, it is tried again at the next tick from what is then known; an error tells
// that somebody else owns it.
func (h *leader) putRecord(ctx context.Context, r rolechange.Record, modify uint64) (bool, error) {
	raw, err := jsoniter.Marshal(r)
	if err != nil {
		return false, err
	}
	done, err := h.client.Swap(ctx, h.changeKey(r.Engine), raw, modify)
	if err != nil || done {
		return done && err == nil, nil
	}
	return false, h.checkFencing(ctx, r.Engine)
}

// checkFencing finds out why a write was not taken: the view that it was based on may only
// have been old, as the watch brings what this owner wrote itself a moment later.
func (h *leader) checkFencing(ctx context.Context, engine string) error {
	p, there, err := h.client.Read(ctx, h.changeKey(engine))
	if err != nil || !there {
		return nil
	}
	var r rolechange.Record
	if jsoniter.Unmarshal(p.Value, &r) == nil && r.FencingToken > h.lease.FencingToken {
		return fmt.Errorf("%w: a change was written by the owner with fence %d", errLeaseLost, r.FencingToken)
	}
	return nil
}

// sendCommand gives the engine a command and keeps its reply for the next tick.
func (h *leader) sendCommand(ctx context.Context, a rolechange.Action) {
	if !h.leaseValid() {
		return
	}
	body, err := jsoniter.Marshal(map[string]any{"command": string(a.Command), "role": a.Record.To, "fence": h.lease.FencingToken})
	if err != nil {
		return
	}
	_, status, err := h.callEngine(ctx, http.MethodPut, a.Record.Addr, body)
	switch {
	case status == http.StatusOK:
		h.replies[a.Record.Engine] = rolechange.Accepted
	case status == http.StatusConflict:
		h.replies[a.Record.Engine] = rolechange.Fenced
	case status != 0:
		h.replies[a.Record.Engine] = rolechange.Refused
	default:
		h.opt.Log.Info("an engine was not told", "engine", a.Record.Engine, "command", string(a.Command), "cause", err)
	}
}

// finish deletes a record whose change is over.
func (h *leader) finish(ctx context.Context, r storedRecord, a rolechange.Action) error {
	done, err := h.client.Delete(ctx, h.changeKey(r.Engine), r.modifyIndex)
	if err != nil {
		return nil
	}
	if !done {
		return h.checkFencing(ctx, r.Engine)
	}
	_ = h.client.DeleteBelow(ctx, h.confirmationPrefix(r.Engine))
	h.notifyStep(r.Record, time.Now(), a.Reason)
	h.opt.Log.Info("change of role ended", "engine", r.Engine, "to", r.To, "outcome", string(a.Outcome), "reason", a.Reason)
	return h.recordHistory(ctx, HistoryEntry{At: time.Now(), Engine: r.Engine, To: r.To, Outcome: a.Outcome, Reason: a.Reason})
}

// recordHistory keeps what was done where the next owner finds it.
func (h *leader) recordHistory(ctx context.Context, e HistoryEntry) error {
	h.replay(e)
	h.lease.value.History = append(h.lease.value.History, e)
	// Each change has a beginning and an end: an hour of them has to be known.
	if n, most := len(h.lease.value.History), 2*h.opt.Settings.MaxPerHour+extraHistory; n > most {
		h.lease.value.History = h.lease.value.History[n-most:]
	}
	h.mu.Lock()
	h.status.History = slices.Clone(h.lease.value.History)
	h.mu.Unlock()
	raw, err := jsoniter.Marshal(h.lease.value)
	if err != nil {
		return err
	}
	if held, err := h.client.Lock(ctx, h.lockKey(), h.lease.session, raw); err == nil && !held {
		return errLeaseLost
	}
	return nil
}

// plan begins a change if one is worth it.
func (h *leader) plan(ctx context.Context, engines []directory.Engine, records []storedRecord) error {
	now := time.Now()
	p := h.planner.Plan(now)
	h.mu.Lock()
	h.status.Plan = Plan{At: now, Reason: p.Reason, Change: p.Change, Demand: p.Demand, Capacity: p.Capacity, Before: p.Before, After: p.After}
	h.mu.Unlock()
	if p.Change == nil {
		return nil
	}
	if h.opt.DryRun {
		if h.lastDryRunEngine != p.Change.Engine {
			h.opt.Log.Info("dry run: a change of role would begin", "engine", p.Change.Engine, "from", p.Change.From, "to", p.Change.To, "reason", p.Reason)
		}
		h.lastDryRunEngine = p.Change.Engine
		return nil
	}
	modify := uint64(0)
	for _, r := range records {
		if r.Engine == p.Change.Engine { // settled, and to change again before the catalogue has followed
			modify = r.modifyIndex
		}
	}
	for _, e := range engines {
		if e.ID != p.Change.Engine {
			continue
		}
		if !h.leaseValid() {
			return errLeaseLost
		}
		r := rolechange.Record{
			Engine: e.ID, Addr: e.Address, Rack: e.Cell, From: p.Change.From.String(), To: p.Change.To.String(), Step: rolechange.Announced,
			FencingToken: h.lease.FencingToken, Leader: h.lease.value.Gateway, BegunAt: now.UTC(), StepSince: now.UTC(), Reason: p.Reason,
		}
		if written, err := h.putRecord(ctx, r, modify); err != nil || !written {
			return err
		}
		h.opt.Log.Info("change of role: announced", "engine", r.Engine, "from", r.From, "to", r.To, "reason", p.Reason, "fence", r.FencingToken)
		return h.recordHistory(ctx, HistoryEntry{At: now, Engine: r.Engine, To: r.To, Reason: p.Reason})
	}
	return nil
}
