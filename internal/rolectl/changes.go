package rolectl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/directory"
)

// advance advances one change by at most one step. An error means that the lease is lost.
func (l *leader) advance(ctx context.Context, r storedRecord, engines []directory.Engine) error {
	in := l.inputs(ctx, r.Record, engines)
	a := rolechange.Next(r.Record, in, l.opt.Limits)
	if a.LeaseLost {
		return fmt.Errorf("%w: %s", errLeaseLost, a.Reason)
	}
	delete(l.replies, r.Engine)
	if a.Outcome != rolechange.InProgress {
		return l.finish(ctx, r, a)
	}
	if a.Write {
		// The record is written before the engine is commanded, so that the next leader finds every
		// command that may have been sent.
		if written, err := l.putRecord(ctx, a.Record, r.modifyIndex); err != nil || !written {
			return err
		}
		if a.Record.Step != r.Step {
			l.notifyStep(r.Record, in.Now, a.Reason)
		}
		l.logStep(a.Record, a.Reason)
	}
	if a.Command != rolechange.NoCommand {
		l.sendCommand(ctx, a)
	}
	return nil
}

// inputs returns the inputs of the decision on a change's next step.
func (l *leader) inputs(ctx context.Context, r rolechange.Record, engines []directory.Engine) rolechange.Inputs {
	in := rolechange.Inputs{
		Now: time.Now(), Leader: l.lease.value.Gateway, FencingToken: l.lease.FencingToken,
		Gateways: l.opt.GatewayCount(), Reply: l.replies[r.Engine],
	}
	for _, e := range engines {
		if e.ID == r.Engine && e.State != stateGone {
			in.Listed, in.ListedRole = true, cmp.Or(e.ListedRole, e.Role)
		}
	}
	if report := l.reports[r.Engine]; report != nil {
		in.Report = &report.Report
	} else if since := l.unresponsiveSince[r.Engine]; !since.IsZero() {
		in.UnresponsiveFor = in.Now.Sub(since)
	}
	if r.Step == rolechange.Announced {
		in.Confirmed = l.countConfirmations(ctx, r)
	}
	return in
}

func (l *leader) logStep(r rolechange.Record, reason string) {
	l.opt.Log.Info("role change advanced", "step", string(r.Step), "engine", r.Engine, "from", r.From, "to", r.To, "reason", reason, "fencing_token", r.FencingToken)
}

// notifyStep reports the end of a step to OnStep.
func (l *leader) notifyStep(r rolechange.Record, endedAt time.Time, reason string) {
	if l.opt.OnStep != nil {
		l.opt.OnStep(r, endedAt, reason)
	}
}

// countConfirmations counts the gateways that have confirmed a change.
func (l *leader) countConfirmations(ctx context.Context, r rolechange.Record) int {
	pairs, _, err := l.client.List(ctx, l.confirmationPrefix(r.Engine), 0, 0)
	if err != nil {
		return 0
	}
	n := 0
	for _, p := range pairs {
		if string(p.Value) == confirmation(r) {
			n++
		}
	}
	return n
}

// putRecord writes a record if its ModifyIndex in Consul still equals modifyIndex (0 for a new
// record), and reports whether it did. If not, the next tick retries with the records that it
// reads. An error means that the lease is lost.
func (l *leader) putRecord(ctx context.Context, r rolechange.Record, modifyIndex uint64) (bool, error) {
	raw, err := jsoniter.Marshal(r)
	if err != nil {
		return false, err
	}
	written, err := l.client.CompareAndSwap(ctx, l.changeKey(r.Engine), raw, modifyIndex)
	if err != nil || written {
		return written && err == nil, nil
	}
	return false, l.checkFencing(ctx, r.Engine)
}

// checkFencing returns errLeaseLost if a conditional write failed because another leader has
// written the record. Otherwise the failure only means that the local copy of the record was out of
// date: the watch delivers this leader's own writes with a delay.
func (l *leader) checkFencing(ctx context.Context, engine string) error {
	p, found, err := l.client.Read(ctx, l.changeKey(engine))
	if err != nil || !found {
		return nil
	}
	var r rolechange.Record
	if jsoniter.Unmarshal(p.Value, &r) == nil && r.FencingToken > l.lease.FencingToken {
		return fmt.Errorf("%w: a record was written by a leader with fencing token %d", errLeaseLost, r.FencingToken)
	}
	return nil
}

// finish deletes the record of a change that has ended and adds the outcome to the history. If the
// record can't be deleted, the next tick retries.
func (l *leader) finish(ctx context.Context, r storedRecord, a rolechange.Action) error {
	deleted, err := l.client.CompareAndDelete(ctx, l.changeKey(r.Engine), r.modifyIndex)
	if err != nil {
		return nil
	}
	if !deleted {
		return l.checkFencing(ctx, r.Engine)
	}
	_ = l.client.DeletePrefix(ctx, l.confirmationPrefix(r.Engine))
	l.notifyStep(r.Record, time.Now(), a.Reason)
	l.opt.Log.Info("role change ended", "engine", r.Engine, "to", r.To, "outcome", string(a.Outcome), "reason", a.Reason)
	return l.recordHistory(ctx, HistoryEntry{At: time.Now(), Engine: r.Engine, To: r.To, Outcome: a.Outcome, Reason: a.Reason})
}

// recordHistory adds an entry to the history in the lock's value, from which the next leader reads
// it.
func (l *leader) recordHistory(ctx context.Context, e HistoryEntry) error {
	l.replay(e)
	l.lease.value.History = append(l.lease.value.History, e)
	// The planner limits changes per hour, and each change has two entries.
	limit := 2*l.opt.Settings.MaxPerHour + extraHistoryEntries
	if n := len(l.lease.value.History); n > limit {
		l.lease.value.History = l.lease.value.History[n-limit:]
	}
	l.mu.Lock()
	l.status.History = slices.Clone(l.lease.value.History)
	l.mu.Unlock()
	raw, err := jsoniter.Marshal(l.lease.value)
	if err != nil {
		return err
	}
	if held, err := l.client.AcquireLock(ctx, l.lockKey(), l.lease.session, raw); err == nil && !held {
		return errLeaseLost
	}
	return nil
}

// planChange makes a plan and starts the planned change, if any.
func (l *leader) planChange(ctx context.Context, engines []directory.Engine, records []storedRecord) error {
	now := time.Now()
	p := l.planner.Plan(now)
	l.mu.Lock()
	l.status.Plan = Plan{At: now, Reason: p.Reason, Change: p.Change, Demand: p.Demand, Capacity: p.Capacity, Before: p.WithoutChange, After: p.WithChange}
	l.mu.Unlock()
	if p.Change == nil {
		return nil
	}
	if l.opt.DryRun {
		if l.lastDryRunEngine != p.Change.Engine {
			l.opt.Log.Info("dry run: role change planned", "engine", p.Change.Engine, "from", p.Change.From, "to", p.Change.To, "reason", p.Reason)
		}
		l.lastDryRunEngine = p.Change.Engine
		return nil
	}
	index := slices.IndexFunc(engines, func(e directory.Engine) bool { return e.ID == p.Change.Engine })
	if index < 0 {
		return nil
	}
	return l.startChange(ctx, now, p, engines[index], records)
}

// startChange writes the record of a new change of an engine's role.
func (l *leader) startChange(ctx context.Context, now time.Time, p roles.Plan, e directory.Engine, records []storedRecord) error {
	modifyIndex := uint64(0)
	for _, r := range records {
		if r.Engine == e.ID { // its previous change is settled, but the catalogue does not list the new role yet
			modifyIndex = r.modifyIndex
		}
	}
	if !l.leaseValid() {
		return errLeaseLost
	}
	r := rolechange.Record{
		Engine: e.ID, Addr: e.Address, Rack: e.Cell, From: p.Change.From.String(), To: p.Change.To.String(), Step: rolechange.Announced,
		FencingToken: l.lease.FencingToken, Leader: l.lease.value.Gateway, StartedAt: now.UTC(), StepStartedAt: now.UTC(), Reason: p.Reason,
	}
	if written, err := l.putRecord(ctx, r, modifyIndex); err != nil || !written {
		return err
	}
	l.logStep(r, p.Reason)
	return l.recordHistory(ctx, HistoryEntry{At: now, Engine: r.Engine, To: r.To, Reason: p.Reason})
}
