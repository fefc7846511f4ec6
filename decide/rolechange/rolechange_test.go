package rolechange

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

const s = time.Second

func record(at Step) Record {
	r := Record{Engine: "e", Addr: "a", From: "read", To: "write", Step: at, Fence: 5, Owner: "g1", Begun: t0, Since: t0}
	if at == Warming || at == Settled {
		r.Flipped = t0
	}
	return r
}

func facts(after time.Duration, role string, change func(*Facts)) Facts {
	f := Facts{Now: t0.Add(after), Owner: "g1", Fence: 5, Gateways: 3, Seen: 1, Listed: true, ListedAs: "read", Report: &Report{Role: role, Running: 2}}
	if role == "" {
		f.Report = nil
	}
	if change != nil {
		change(&f)
	}
	return f
}

func TestSteps(t *testing.T) {
	silent := func(d time.Duration) func(*Facts) { return func(f *Facts) { f.Silent = d } }
	refused := func(f *Facts) { f.Reply = Refused }
	empty := func(f *Facts) { f.Report = &Report{Role: "read", Draining: true} }
	for name, c := range map[string]struct {
		at    Step
		facts Facts
		step  Step // "" if the record ends
		tell  Command
		out   Outcome
	}{
		"announced, not all have seen it":      {Announced, facts(s, "read", nil), Announced, Say, Going},
		"announced, all have":                  {Announced, facts(s, "read", func(f *Facts) { f.Seen = 3 }), Draining, Drain, Going},
		"announced, some never say so":         {Announced, facts(4*s, "read", nil), Draining, Drain, Going},
		"announced, the engine dies":           {Announced, facts(7*s, "", silent(7*s)), "", Say, Failed},
		"draining, work runs":                  {Draining, facts(s, "read", nil), Draining, Drain, Going},
		"draining, a state is held":            {Draining, facts(s, "read", func(f *Facts) { f.Report = &Report{Role: "read", Draining: true, Held: 1} }), Draining, Drain, Going},
		"draining, empty":                      {Draining, facts(s, "read", empty), Flipping, Flip, Going},
		"draining, idle but not told yet":      {Draining, facts(s, "read", func(f *Facts) { f.Report.Running = 0 }), Draining, Drain, Going},
		"draining, it refuses":                 {Draining, facts(s, "read", refused), Undoing, Cancel, Going},
		"draining, it hangs":                   {Draining, facts(30*s, "read", nil), Undoing, Cancel, Going},
		"draining, silent for a moment":        {Draining, facts(s, "", silent(s)), Draining, Say, Going},
		"draining, it dies":                    {Draining, facts(9*s, "", silent(7*s)), "", Say, Failed},
		"flipping, not yet":                    {Flipping, facts(s, "read", empty), Flipping, Flip, Going},
		"flipping, it has forgotten its drain": {Flipping, facts(s, "read", nil), Draining, Drain, Going},
		"flipping, done":                       {Flipping, facts(s, "write", nil), Warming, Say, Going},
		"flipping, it refuses":                 {Flipping, facts(s, "read", refused), Undoing, Cancel, Going},
		"flipping, it never does":              {Flipping, facts(5*s, "read", empty), Undoing, Cancel, Going},
		"flipping, silent: it may have":        {Flipping, facts(9*s, "", silent(9*s)), Flipping, Say, Going},
		"flipping, gone":                       {Flipping, facts(9*s, "", func(f *Facts) { f.Silent, f.Listed = 9*s, false }), "", Say, Failed},
		"warming":                              {Warming, facts(s, "write", nil), Warming, Say, Going},
		"warming, warm":                        {Warming, facts(14*s, "write", nil), Settled, Say, Going},
		"warming, back in its old role":        {Warming, facts(s, "read", nil), "", Say, Failed},
		"settled, not yet listed so":           {Settled, facts(99*s, "write", nil), Settled, Say, Going},
		"settled, listed so":                   {Settled, facts(99*s, "write", func(f *Facts) { f.ListedAs = "write" }), "", Say, Done},
		"settled, back in its old role":        {Settled, facts(99*s, "read", nil), "", Say, Failed},
		"undoing, it still drains":             {Undoing, facts(s, "read", empty), Undoing, Cancel, Going},
		"undoing, it serves":                   {Undoing, facts(s, "read", nil), "", Say, Undone},
		"undoing, it has flipped after all":    {Undoing, facts(s, "write", nil), Warming, Say, Going},
		"undoing, it hangs":                    {Undoing, facts(10*s, "read", empty), "", Say, Failed},
		"undoing, it dies":                     {Undoing, facts(9*s, "", silent(7*s)), "", Say, Failed},
		"it says that it is something else":    {Draining, facts(s, "openai", nil), "", Say, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			a := Next(record(c.at), c.facts, DefaultLimits())
			if a.Outcome != c.out || a.Tell != c.tell || c.step != "" && a.Record.Step != c.step || a.Write != (c.step != "" && c.step != c.at) || a.Stop || a.Why == "" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// Whatever step an owner was killed at, the next one takes the record over, goes on
// from it, and the change ends.
func TestOwnerCrashAtEveryStep(t *testing.T) {
	for _, at := range []Step{Announced, Draining, Flipping, Warming, Settled, Undoing} {
		r, now := record(at), t0.Add(20*s)
		engine := Report{Role: "read", Fence: 5, Draining: at == Draining || at == Flipping || at == Undoing}
		if at == Warming || at == Settled {
			engine.Role = "write"
		}
		outcome, listed := Going, "read"
		for n := 0; outcome == Going; n++ {
			if n > 100 {
				t.Fatalf("killed at %s: it does not end: %+v", at, r)
			}
			report := engine
			a := Next(r, Facts{Now: now, Owner: "g2", Fence: 6, Gateways: 2, Seen: 2, Listed: true, ListedAs: listed, Report: &report}, DefaultLimits())
			if n == 0 && (!a.Write || a.Record.Fence != 6 || a.Record.Owner != "g2" || a.Tell != Say) {
				t.Fatalf("killed at %s: not taken over: %+v", at, a)
			}
			r, outcome = a.Record, a.Outcome
			switch a.Tell {
			case Drain:
				engine.Draining, engine.Fence = true, 6
			case Flip:
				engine = Report{Role: "write", Fence: 6}
			case Cancel:
				engine.Draining, engine.Fence = false, 6
			}
			if listed = "read"; r.Step == Settled {
				listed = "write"
			}
			now = now.Add(s)
		}
		if want := map[bool]Outcome{true: Undone, false: Done}[at == Undoing]; outcome != want {
			t.Errorf("killed at %s: %s", at, outcome)
		}
	}
}

// An owner whose lease has passed to another touches nothing, whichever way it learns.
func TestFormerOwnerStops(t *testing.T) {
	newer := record(Draining)
	newer.Fence = 6
	for name, a := range map[string]Action{
		"by the record": Next(newer, facts(s, "read", nil), DefaultLimits()),
		"by the engine": Next(record(Draining), facts(s, "read", func(f *Facts) { f.Report.Fence = 6 }), DefaultLimits()),
		"by its reply":  Next(record(Draining), facts(s, "read", func(f *Facts) { f.Reply = Outdated }), DefaultLimits()),
	} {
		if !a.Stop || a.Write || a.Tell != Say || a.Outcome != Going {
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
			f := Facts{Now: now, Owner: "g1", Fence: 5, Gateways: 2, Seen: rapid.IntRange(0, 2).Draw(t, "seen"), Listed: rapid.Bool().Draw(t, "listed")}
			if rapid.IntRange(0, 3).Draw(t, "answers") > 0 {
				f.Report = &Report{Role: "read", Draining: rapid.Bool().Draw(t, "draining"), Running: rapid.IntRange(0, 1).Draw(t, "running"), Held: rapid.IntRange(0, 1).Draw(t, "held")}
			} else {
				f.Silent = time.Duration(rapid.IntRange(0, 9).Draw(t, "silent")) * s
			}
			a := Next(r, f, DefaultLimits())
			if a.Tell == Flip && r.Step == Draining && (f.Report.Running > 0 || f.Report.Held > 0 || !f.Report.Draining) {
				t.Fatalf("flipped while it was not empty: %+v", f.Report)
			}
			if hold, role, _ := a.Record.View(); a.Outcome == Going && (!hold || role != "read") {
				t.Fatalf("gateways may send to it in step %s", a.Record.Step)
			}
			if a.Outcome != Going {
				return
			}
			r = a.Record
		}
	})
}

// An owner that was paused, or whose renewals come late, is no longer sure of its lease
// long before another may have it.
func TestLease(t *testing.T) {
	l := NewLease(7, 9*s, t0)
	for i, c := range []struct {
		renewed, at time.Duration
		sure        bool
	}{{0, 2 * s, true}, {0, 3 * s, false}, {4 * s, 6 * s, true}, {s, 6900 * time.Millisecond, true}, {s, 7 * s, false}, {0, time.Hour, false}} {
		l.Renewed(t0.Add(c.renewed))
		if got := l.Sure(t0.Add(c.at)); got != c.sure {
			t.Errorf("step %d: %v", i, got)
		}
	}
}

func TestBids(t *testing.T) {
	for _, c := range []struct {
		holder, mine, gateway string
		want                  Bid
	}{{"", "", "g1", Take}, {"", "s1", "g1", Take}, {"s2", "s1", "g1", Wait}, {"s1", "s1", "g1", Clear}, {"", "", "", Wait}, {"s2", "", "g1", Wait}} {
		if got := BidFor(c.holder, c.mine, c.gateway); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
