package rolechange

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

const s = time.Second

func record(at Step) Record {
	r := Record{Engine: "e", Addr: "a", From: "read", To: "write", Step: at, FencingToken: 5, Leader: "g1", StartedAt: t0, StepStartedAt: t0}
	if at == Warming || at == Settled {
		r.FlippedAt = t0
	}
	return r
}

func facts(after time.Duration, role string, change func(*Inputs)) Inputs {
	f := Inputs{Now: t0.Add(after), Leader: "g1", FencingToken: 5, Gateways: 3, Confirmed: 1, Listed: true, ListedRole: "read", Report: &Report{Role: role, Running: 2}}
	if role == "" {
		f.Report = nil
	}
	if change != nil {
		change(&f)
	}
	return f
}

func TestSteps(t *testing.T) {
	silent := func(d time.Duration) func(*Inputs) { return func(f *Inputs) { f.UnresponsiveFor = d } }
	refused := func(f *Inputs) { f.Reply = Refused }
	empty := func(f *Inputs) { f.Report = &Report{Role: "read", Draining: true} }
	for name, c := range map[string]struct {
		at    Step
		facts Inputs
		step  Step // "" if the record ends
		tell  Command
		out   Outcome
	}{
		"announced, not all have seen it":      {Announced, facts(s, "read", nil), Announced, NoCommand, InProgress},
		"announced, all have":                  {Announced, facts(s, "read", func(f *Inputs) { f.Confirmed = 3 }), Draining, Drain, InProgress},
		"announced, some never say so":         {Announced, facts(4*s, "read", nil), Draining, Drain, InProgress},
		"announced, the engine dies":           {Announced, facts(7*s, "", silent(7*s)), "", NoCommand, Failed},
		"draining, work runs":                  {Draining, facts(s, "read", nil), Draining, Drain, InProgress},
		"draining, a state is held":            {Draining, facts(s, "read", func(f *Inputs) { f.Report = &Report{Role: "read", Draining: true, HeldStates: 1} }), Draining, Drain, InProgress},
		"draining, empty":                      {Draining, facts(s, "read", empty), Flipping, Flip, InProgress},
		"draining, idle but not told yet":      {Draining, facts(s, "read", func(f *Inputs) { f.Report.Running = 0 }), Draining, Drain, InProgress},
		"draining, it refuses":                 {Draining, facts(s, "read", refused), RollingBack, Cancel, InProgress},
		"draining, it hangs":                   {Draining, facts(30*s, "read", nil), RollingBack, Cancel, InProgress},
		"draining, silent for a moment":        {Draining, facts(s, "", silent(s)), Draining, NoCommand, InProgress},
		"draining, it dies":                    {Draining, facts(9*s, "", silent(7*s)), "", NoCommand, Failed},
		"flipping, not yet":                    {Flipping, facts(s, "read", empty), Flipping, Flip, InProgress},
		"flipping, it has forgotten its drain": {Flipping, facts(s, "read", nil), Draining, Drain, InProgress},
		"flipping, done":                       {Flipping, facts(s, "write", nil), Warming, NoCommand, InProgress},
		"flipping, it refuses":                 {Flipping, facts(s, "read", refused), RollingBack, Cancel, InProgress},
		"flipping, it never does":              {Flipping, facts(5*s, "read", empty), RollingBack, Cancel, InProgress},
		"flipping, silent: it may have":        {Flipping, facts(9*s, "", silent(9*s)), Flipping, NoCommand, InProgress},
		"flipping, gone":                       {Flipping, facts(9*s, "", func(f *Inputs) { f.UnresponsiveFor, f.Listed = 9*s, false }), "", NoCommand, Failed},
		"warming":                              {Warming, facts(s, "write", nil), Warming, NoCommand, InProgress},
		"warming, warm":                        {Warming, facts(14*s, "write", nil), Settled, NoCommand, InProgress},
		"warming, back in its old role":        {Warming, facts(s, "read", nil), "", NoCommand, Failed},
		"settled, not yet listed so":           {Settled, facts(99*s, "write", nil), Settled, NoCommand, InProgress},
		"settled, listed so":                   {Settled, facts(99*s, "write", func(f *Inputs) { f.ListedRole = "write" }), "", NoCommand, Done},
		"settled, back in its old role":        {Settled, facts(99*s, "read", nil), "", NoCommand, Failed},
		"undoing, it still drains":             {RollingBack, facts(s, "read", empty), RollingBack, Cancel, InProgress},
		"undoing, it serves":                   {RollingBack, facts(s, "read", nil), "", NoCommand, RolledBack},
		"undoing, it has flipped after all":    {RollingBack, facts(s, "write", nil), Warming, NoCommand, InProgress},
		"undoing, it hangs":                    {RollingBack, facts(10*s, "read", empty), "", NoCommand, Failed},
		"undoing, it dies":                     {RollingBack, facts(9*s, "", silent(7*s)), "", NoCommand, Failed},
		"it says that it is something else":    {Draining, facts(s, "openai", nil), "", NoCommand, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			a := Next(record(c.at), c.facts, DefaultTimeouts())
			if a.Outcome != c.out || a.Command != c.tell || c.step != "" && a.Record.Step != c.step || a.Write != (c.step != "" && c.step != c.at) || a.LeaseLost || a.Reason == "" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// Whatever step a leader was killed at, the next one takes the record over, goes on
// from it, and the change ends.
func TestLeaderCrashAtEveryStep(t *testing.T) {
	for _, at := range []Step{Announced, Draining, Flipping, Warming, Settled, RollingBack} {
		r, now := record(at), t0.Add(20*s)
		engine := Report{Role: "read", FencingToken: 5, Draining: at == Draining || at == Flipping || at == RollingBack}
		if at == Warming || at == Settled {
			engine.Role = "write"
		}
		outcome, listed := InProgress, "read"
		for n := 0; outcome == InProgress; n++ {
			if n > 100 {
				t.Fatalf("killed at %s: it does not end: %+v", at, r)
			}
			report := engine
			a := Next(r, Inputs{Now: now, Leader: "g2", FencingToken: 6, Gateways: 2, Confirmed: 2, Listed: true, ListedRole: listed, Report: &report}, DefaultTimeouts())
			if n == 0 && (!a.Write || a.Record.FencingToken != 6 || a.Record.Leader != "g2" || a.Command != NoCommand) {
				t.Fatalf("killed at %s: not taken over: %+v", at, a)
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
			t.Errorf("killed at %s: %s", at, outcome)
		}
	}
}

// A leader whose lease has passed to another touches nothing, whichever way it learns.
func TestFormerLeaderStops(t *testing.T) {
	newer := record(Draining)
	newer.FencingToken = 6
	for name, a := range map[string]Action{
		"by the record": Next(newer, facts(s, "read", nil), DefaultTimeouts()),
		"by the engine": Next(record(Draining), facts(s, "read", func(f *Inputs) { f.Report.FencingToken = 6 }), DefaultTimeouts()),
		"by its reply":  Next(record(Draining), facts(s, "read", func(f *Inputs) { f.Reply = Fenced }), DefaultTimeouts()),
	} {
		if !a.LeaseLost || a.Write || a.Command != NoCommand || a.Outcome != InProgress {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// Whatever happens, an engine is told to flip only once it was seen empty, and gateways
// send it nothing between the announcement and its new role.
func TestNoRoleChangeWithRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := record(Announced), t0
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			f := Inputs{Now: now, Leader: "g1", FencingToken: 5, Gateways: 2, Confirmed: rapid.IntRange(0, 2).Draw(t, "seen"), Listed: rapid.Bool().Draw(t, "listed")}
			if rapid.IntRange(0, 3).Draw(t, "answers") > 0 {
				f.Report = &Report{Role: "read", Draining: rapid.Bool().Draw(t, "draining"), Running: rapid.IntRange(0, 1).Draw(t, "running"), HeldStates: rapid.IntRange(0, 1).Draw(t, "held")}
			} else {
				f.UnresponsiveFor = time.Duration(rapid.IntRange(0, 9).Draw(t, "silent")) * s
			}
			a := Next(r, f, DefaultTimeouts())
			if a.Command == Flip && r.Step == Draining && (f.Report.Running > 0 || f.Report.HeldStates > 0 || !f.Report.Draining) {
				t.Fatalf("flipped while it was not empty: %+v", f.Report)
			}
			if hold, role, _ := a.Record.Routing(); a.Outcome == InProgress && (!hold || role != "read") {
				t.Fatalf("gateways may send to it in step %s", a.Record.Step)
			}
			if a.Outcome != InProgress {
				return
			}
			r = a.Record
		}
	})
}

// A leader that was paused, or whose renewals come late, is no longer sure of its lease
// long before another may have it.
func TestLease(t *testing.T) {
	l := NewLease(7, 9*s, t0)
	for i, c := range []struct {
		renewed, at time.Duration
		sure        bool
	}{{0, 2 * s, true}, {0, 3 * s, false}, {4 * s, 6 * s, true}, {s, 6900 * time.Millisecond, true}, {s, 7 * s, false}, {0, time.Hour, false}} {
		l.Renewed(t0.Add(c.renewed))
		if got := l.Valid(t0.Add(c.at)); got != c.sure {
			t.Errorf("step %d: %v", i, got)
		}
	}
}

func TestDecideLock(t *testing.T) {
	for _, c := range []struct {
		holder, mine, gateway string
		want                  LockAction
	}{{"", "", "g1", AcquireLock}, {"", "s1", "g1", AcquireLock}, {"s2", "s1", "g1", SkipLock}, {"s1", "s1", "g1", DestroyOwnSession}, {"", "", "", SkipLock}, {"s2", "", "g1", SkipLock}} {
		if got := DecideLock(c.holder, c.mine, c.gateway); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
