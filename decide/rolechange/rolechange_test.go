package rolechange

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

const s = time.Second

func newRecord(at Step) Record {
	r := Record{Engine: "e", Addr: "a", From: "read", To: "write", Step: at, FencingToken: 5, Leader: "g1", StartedAt: t0, StepStartedAt: t0}
	if at == Warming || at == Settled {
		r.FlippedAt = t0
	}
	return r
}

func newInputs(after time.Duration, role string, change func(*Inputs)) Inputs {
	f := Inputs{Now: t0.Add(after), Leader: "g1", FencingToken: 5, Gateways: 3, Confirmed: 1, Listed: true, ListedRole: "read", Report: &Report{Role: role, Running: 2}}
	if role == "" {
		f.Report = nil
	}
	if change != nil {
		change(&f)
	}
	return f
}

func TestNext(t *testing.T) {
	unresponsive := func(d time.Duration) func(*Inputs) { return func(f *Inputs) { f.UnresponsiveFor = d } }
	refused := func(f *Inputs) { f.Reply = Refused }
	empty := func(f *Inputs) { f.Report = &Report{Role: "read", Draining: true} }
	for name, c := range map[string]struct {
		at      Step
		inputs  Inputs
		step    Step // "" if the record is deleted
		command Command
		outcome Outcome
	}{
		"announced, not all gateways confirmed": {Announced, newInputs(s, "read", nil), Announced, NoCommand, InProgress},
		"announced, all gateways confirmed":     {Announced, newInputs(s, "read", func(f *Inputs) { f.Confirmed = 3 }), Draining, Drain, InProgress},
		"announced, confirmation timeout":       {Announced, newInputs(4*s, "read", nil), Draining, Drain, InProgress},
		"announced, engine dead":                {Announced, newInputs(7*s, "", unresponsive(7*s)), "", NoCommand, Failed},
		"draining, requests in flight":          {Draining, newInputs(s, "read", nil), Draining, Drain, InProgress},
		"draining, held state not fetched":      {Draining, newInputs(s, "read", func(f *Inputs) { f.Report = &Report{Role: "read", Draining: true, HeldStates: 1} }), Draining, Drain, InProgress},
		"draining, empty":                       {Draining, newInputs(s, "read", empty), Flipping, Flip, InProgress},
		"draining, idle but no drain reported":  {Draining, newInputs(s, "read", func(f *Inputs) { f.Report.Running = 0 }), Draining, Drain, InProgress},
		"draining, command refused":             {Draining, newInputs(s, "read", refused), RollingBack, Cancel, InProgress},
		"draining, timeout":                     {Draining, newInputs(30*s, "read", nil), RollingBack, Cancel, InProgress},
		"draining, briefly unresponsive":        {Draining, newInputs(s, "", unresponsive(s)), Draining, NoCommand, InProgress},
		"draining, engine dead":                 {Draining, newInputs(9*s, "", unresponsive(7*s)), "", NoCommand, Failed},
		"flipping, old role reported":           {Flipping, newInputs(s, "read", empty), Flipping, Flip, InProgress},
		"flipping, drain lost":                  {Flipping, newInputs(s, "read", nil), Draining, Drain, InProgress},
		"flipping, new role reported":           {Flipping, newInputs(s, "write", nil), Warming, NoCommand, InProgress},
		"flipping, command refused":             {Flipping, newInputs(s, "read", refused), RollingBack, Cancel, InProgress},
		"flipping, timeout":                     {Flipping, newInputs(5*s, "read", empty), RollingBack, Cancel, InProgress},
		"flipping, unresponsive but listed":     {Flipping, newInputs(9*s, "", unresponsive(9*s)), Flipping, NoCommand, InProgress},
		"flipping, unresponsive and not listed": {Flipping, newInputs(9*s, "", func(f *Inputs) { f.UnresponsiveFor, f.Listed = 9*s, false }), "", NoCommand, Failed},
		"warming, still cold":                   {Warming, newInputs(s, "write", nil), Warming, NoCommand, InProgress},
		"warming, warm":                         {Warming, newInputs(14*s, "write", nil), Settled, NoCommand, InProgress},
		"warming, old role reported":            {Warming, newInputs(s, "read", nil), "", NoCommand, Failed},
		"settled, old role listed":              {Settled, newInputs(99*s, "write", nil), Settled, NoCommand, InProgress},
		"settled, new role listed":              {Settled, newInputs(99*s, "write", func(f *Inputs) { f.ListedRole = "write" }), "", NoCommand, Done},
		"settled, old role reported":            {Settled, newInputs(99*s, "read", nil), "", NoCommand, Failed},
		"rolling back, still draining":          {RollingBack, newInputs(s, "read", empty), RollingBack, Cancel, InProgress},
		"rolling back, drain ended":             {RollingBack, newInputs(s, "read", nil), "", NoCommand, RolledBack},
		"rolling back, new role reported":       {RollingBack, newInputs(s, "write", nil), Warming, NoCommand, InProgress},
		"rolling back, timeout":                 {RollingBack, newInputs(10*s, "read", empty), "", NoCommand, Failed},
		"rolling back, engine dead":             {RollingBack, newInputs(9*s, "", unresponsive(7*s)), "", NoCommand, Failed},
		"unknown role reported":                 {Draining, newInputs(s, "openai", nil), "", NoCommand, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			a := Next(newRecord(c.at), c.inputs, DefaultTimeouts())
			if a.Outcome != c.outcome || a.Command != c.command || c.step != "" && a.Record.Step != c.step || a.Write != (c.step != "" && c.step != c.at) || a.LeaseLost || a.Reason == "" {
				t.Errorf("action %+v", a)
			}
		})
	}
}

// TestLeaderCrashAtEveryStep checks that after a leader is killed at any step, its successor takes
// over the record, continues from that step, and completes the change.
func TestLeaderCrashAtEveryStep(t *testing.T) {
	for _, at := range []Step{Announced, Draining, Flipping, Warming, Settled, RollingBack} {
		r, now := newRecord(at), t0.Add(20*s)
		engine := Report{Role: "read", FencingToken: 5, Draining: at == Draining || at == Flipping || at == RollingBack}
		if at == Warming || at == Settled {
			engine.Role = "write"
		}
		outcome, listed := InProgress, "read"
		for n := 0; outcome == InProgress; n++ {
			if n > 100 {
				t.Fatalf("killed at %s: change not completed after 100 decisions: %+v", at, r)
			}
			report := engine
			a := Next(r, Inputs{Now: now, Leader: "g2", FencingToken: 6, Gateways: 2, Confirmed: 2, Listed: true, ListedRole: listed, Report: &report}, DefaultTimeouts())
			if n == 0 && (!a.Write || a.Record.FencingToken != 6 || a.Record.Leader != "g2" || a.Command != NoCommand) {
				t.Fatalf("killed at %s: record not taken over: %+v", at, a)
			}
			r, outcome = a.Record, a.Outcome
			switch a.Command {
			case Drain:
				engine.Draining, engine.FencingToken = true, 6
			case Flip:
				engine = Report{Role: "write", FencingToken: 6}
			case Cancel:
				engine.Draining, engine.FencingToken = false, 6
			}
			if listed = "read"; r.Step == Settled {
				listed = "write"
			}
			now = now.Add(s)
		}
		if want := map[bool]Outcome{true: RolledBack, false: Done}[at == RollingBack]; outcome != want {
			t.Errorf("killed at %s: outcome %q", at, outcome)
		}
	}
}

// TestLeaderWithOlderTokenTakesNoAction checks that a leader writes and sends nothing once the record,
// the engine's report or the engine's reply shows a higher fencing token.
func TestLeaderWithOlderTokenTakesNoAction(t *testing.T) {
	newer := newRecord(Draining)
	newer.FencingToken = 6
	for name, a := range map[string]Action{
		"token in the record":          Next(newer, newInputs(s, "read", nil), DefaultTimeouts()),
		"token in the engine's report": Next(newRecord(Draining), newInputs(s, "read", func(f *Inputs) { f.Report.FencingToken = 6 }), DefaultTimeouts()),
		"fenced reply":                 Next(newRecord(Draining), newInputs(s, "read", func(f *Inputs) { f.Reply = Fenced }), DefaultTimeouts()),
	} {
		if !a.LeaseLost || a.Write || a.Command != NoCommand || a.Outcome != InProgress {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// TestNoRoleChangeWithRequestsInFlight checks that an engine receives the flip command only after it
// reported that it is empty, and that gateways route no new requests to it between the announcement
// and its new role.
func TestNoRoleChangeWithRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := newRecord(Announced), t0
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			f := Inputs{Now: now, Leader: "g1", FencingToken: 5, Gateways: 2, Confirmed: rapid.IntRange(0, 2).Draw(t, "confirmed"), Listed: rapid.Bool().Draw(t, "listed")}
			if rapid.IntRange(0, 3).Draw(t, "answers") > 0 {
				f.Report = &Report{Role: "read", Draining: rapid.Bool().Draw(t, "draining"), Running: rapid.IntRange(0, 1).Draw(t, "running"), HeldStates: rapid.IntRange(0, 1).Draw(t, "held")}
			} else {
				f.UnresponsiveFor = time.Duration(rapid.IntRange(0, 9).Draw(t, "unresponsive")) * s
			}
			a := Next(r, f, DefaultTimeouts())
			if a.Command == Flip && r.Step == Draining && (f.Report.Running > 0 || f.Report.HeldStates > 0 || !f.Report.Draining) {
				t.Fatalf("flip command sent to an engine that was not empty: %+v", f.Report)
			}
			if paused, role, _ := a.Record.Routing(); a.Outcome == InProgress && (!paused || role != "read") {
				t.Fatalf("gateways route new requests to the engine in step %s", a.Record.Step)
			}
			if a.Outcome != InProgress {
				return
			}
			r = a.Record
		}
	})
}

// TestLease checks that the lease of a leader that was paused, or whose renewals arrive late, is
// invalid well before another gateway can acquire it.
func TestLease(t *testing.T) {
	l := NewLease(7, 9*s, t0)
	for i, c := range []struct {
		renewed, checkedAt time.Duration
		valid              bool
	}{{0, 2 * s, true}, {0, 3 * s, false}, {4 * s, 6 * s, true}, {s, 6900 * time.Millisecond, true}, {s, 7 * s, false}, {0, time.Hour, false}} {
		l.Renewed(t0.Add(c.renewed))
		if got := l.Valid(t0.Add(c.checkedAt)); got != c.valid {
			t.Errorf("step %d: valid is %v, want %v", i, got, c.valid)
		}
	}
}

func TestDecideLock(t *testing.T) {
	for _, c := range []struct {
		holder, own, gateway string
		want                 LockAction
	}{{"", "", "g1", AcquireLock}, {"", "s1", "g1", AcquireLock}, {"s2", "s1", "g1", SkipLock}, {"s1", "s1", "g1", DestroyOwnSession}, {"", "", "", SkipLock}, {"s2", "", "g1", SkipLock}} {
		if got := DecideLock(c.holder, c.own, c.gateway); got != c.want {
			t.Errorf("%+v: got action %v", c, got)
		}
	}
}
