package rolectl

import (
	"context"
	"fmt"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/internal/directory"
)

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
