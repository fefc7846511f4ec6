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

// advance takes one change on by a step at most. An error says that the lease is lost.
func (l *leader) advance(ctx context.Context, r storedRecord, engines []directory.Engine) error {
	f := l.facts(ctx, r.Record, engines)
	a := rolechange.Next(r.Record, f, l.opt.Limits)
	if a.LeaseLost {
		return fmt.Errorf("%w: %s", errLeaseLost, a.Reason)
	}
	delete(l.replies, r.Engine)
	if a.Outcome != rolechange.InProgress {
		return l.finish(ctx, r, a)
	}
	if a.Write {
		// The record is written before the engine is told: the next leader must know of all that was done.
		if written, err := l.putRecord(ctx, a.Record, r.modifyIndex); err != nil || !written {
			return err
		}
		if a.Record.Step != r.Step {
			l.notifyStep(r.Record, f.Now, a.Reason)
		}
		l.logStep(a.Record, a.Reason)
	}
	if a.Command != rolechange.NoCommand {
		l.sendCommand(ctx, a)
	}
	return nil
}

// facts returns what is known for the decision on a change's next step.
func (l *leader) facts(ctx context.Context, r rolechange.Record, engines []directory.Engine) rolechange.Inputs {
	f := rolechange.Inputs{
		Now: time.Now(), Leader: l.lease.value.Gateway, FencingToken: l.lease.FencingToken,
		Gateways: l.opt.GatewayCount(), Reply: l.replies[r.Engine],
	}
	for _, e := range engines {
		if e.ID == r.Engine && e.State != stateGone {
			f.Listed, f.ListedRole = true, cmp.Or(e.ListedRole, e.Role)
		}
	}
	if report := l.reports[r.Engine]; report != nil {
		f.Report = &report.Report
	} else if since := l.silentSince[r.Engine]; !since.IsZero() {
		f.UnresponsiveFor = f.Now.Sub(since)
	}
	if r.Step == rolechange.Announced {
		f.Confirmed = l.countConfirmations(ctx, r)
	}
	return f
}

func (l *leader) logStep(r rolechange.Record, reason string) {
	l.opt.Log.Info("role change advanced", "step", string(r.Step), "engine", r.Engine, "from", r.From, "to", r.To, "reason", reason, "fencing_token", r.FencingToken)
}

// notifyStep reports a step that has ended.
func (l *leader) notifyStep(r rolechange.Record, to time.Time, reason string) {
	if l.opt.OnStep != nil {
		l.opt.OnStep(r, to, reason)
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

// putRecord writes a record if its ModifyIndex is still the one given, 0 for a new record, and
// tells whether it did. If not, the next tick tries again from the records as they are then; an
// error says that the lease is lost.
func (l *leader) putRecord(ctx context.Context, r rolechange.Record, modify uint64) (bool, error) {
	raw, err := jsoniter.Marshal(r)
	if err != nil {
		return false, err
	}
	done, err := l.client.CompareAndSwap(ctx, l.changeKey(r.Engine), raw, modify)
	if err != nil || done {
		return done && err == nil, nil
	}
	return false, l.checkFencing(ctx, r.Engine)
}

// checkFencing returns errLeaseLost if a conditional write failed because another leader has
// written the record. Otherwise the record that was read was only old: the watch brings this
// leader's own writes with a delay.
func (l *leader) checkFencing(ctx context.Context, engine string) error {
	p, found, err := l.client.Read(ctx, l.changeKey(engine))
	if err != nil || !found {
		return nil
	}
	var r rolechange.Record
	if jsoniter.Unmarshal(p.Value, &r) == nil && r.FencingToken > l.lease.FencingToken {
		return fmt.Errorf("%w: a change was written by the owner with fence %d", errLeaseLost, r.FencingToken)
	}
	return nil
}

// finish deletes the record of a change that has ended. One that can't be deleted now is tried
// again at the next tick.
func (l *leader) finish(ctx context.Context, r storedRecord, a rolechange.Action) error {
	done, err := l.client.CompareAndDelete(ctx, l.changeKey(r.Engine), r.modifyIndex)
	if err != nil {
		return nil
	}
	if !done {
		return l.checkFencing(ctx, r.Engine)
	}
	_ = l.client.DeletePrefix(ctx, l.confirmationPrefix(r.Engine))
	l.notifyStep(r.Record, time.Now(), a.Reason)
	l.opt.Log.Info("role change ended", "engine", r.Engine, "to", r.To, "outcome", string(a.Outcome), "reason", a.Reason)
	return l.recordHistory(ctx, HistoryEntry{At: time.Now(), Engine: r.Engine, To: r.To, Outcome: a.Outcome, Reason: a.Reason})
}

// recordHistory adds an entry to the lock's value, where the next leader finds it.
func (l *leader) recordHistory(ctx context.Context, e HistoryEntry) error {
	l.replay(e)
	l.lease.value.History = append(l.lease.value.History, e)
	// The planner's limit is by the hour, and each change has two entries.
	limit := 2*l.opt.Settings.MaxPerHour + extraHistory
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

// plan makes a plan and begins the change that it wants, if any.
func (l *leader) plan(ctx context.Context, engines []directory.Engine, records []storedRecord) error {
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
	at := slices.IndexFunc(engines, func(e directory.Engine) bool { return e.ID == p.Change.Engine })
	if at < 0 {
		return nil
	}
	return l.begin(ctx, now, p, engines[at], records)
}

// begin writes the record of a new change of an engine.
func (l *leader) begin(ctx context.Context, now time.Time, p roles.Plan, e directory.Engine, records []storedRecord) error {
	modify := uint64(0)
	for _, r := range records {
		if r.Engine == e.ID { // settled, and to change again before the catalogue has followed
			modify = r.modifyIndex
		}
	}
	if !l.leaseValid() {
		return errLeaseLost
	}
	r := rolechange.Record{
		Engine: e.ID, Addr: e.Address, Rack: e.Cell, From: p.Change.From.String(), To: p.Change.To.String(), Step: rolechange.Announced,
		FencingToken: l.lease.FencingToken, Leader: l.lease.value.Gateway, StartedAt: now.UTC(), StepStartedAt: now.UTC(), Reason: p.Reason,
	}
	if written, err := l.putRecord(ctx, r, modify); err != nil || !written {
		return err
	}
	l.logStep(r, p.Reason)
	return l.recordHistory(ctx, HistoryEntry{At: now, Engine: r.Engine, To: r.To, Reason: p.Reason})
}
