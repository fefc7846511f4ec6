package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	t0  = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	llm = Source{Catalogue, "llm"}
)

// parseView parses a list of entries. Each is an id, followed by "!" if critical, "~" if in maintenance, ":x"
// for the address x (by default the id) and "@5" for the registration index 5 (by default 1). "?" is a
// malformed entry without an id, "?a" one with the id a, and "?a!" one that is also marked critical.
func parseView(index uint64, text string) View {
	v := View{Agent: "one", Index: index}
	for word := range strings.FieldsSeq(text) {
		if id, bad := strings.CutPrefix(word, "?"); bad {
			id, critical := strings.CutSuffix(id, "!")
			if v.Malformed = append(v.Malformed, id); critical {
				v.MalformedMarks = map[string]Mark{id: Critical}
			}
			continue
		}
		e := Entry{Kind: "openai", Registered: 1}
		word, reg, _ := strings.Cut(word, "@")
		fmt.Sscan(reg, &e.Registered)
		word, addr, _ := strings.Cut(word, ":")
		switch {
		case strings.HasSuffix(word, "!"):
			e.Mark = Critical
		case strings.HasSuffix(word, "~"):
			e.Mark = Maintenance
		}
		e.ID = strings.TrimRight(word, "!~")
		if e.Addr = e.ID; addr != "" {
			e.Addr = addr
		}
		v.Entries = append(v.Entries, e)
	}
	return v
}

// describe formats the engines of a registry as ids with suffixes: "~" for draining, "!" for out of service,
// "?" for suspect, "-" for removed, "/" for an entry that is not confirmed, and "*" for a start within the
// last 14 s.
func describe(reg *Registry, now time.Time) string {
	var words []string
	for _, e := range reg.Engines() {
		word := e.ID + map[State]string{InService: "", Draining: "~", OutOfService: "!", Suspect: "?", Removed: "-"}[e.State]
		if e.Confidence != Confirmed {
			word += "/"
		}
		if now.Sub(e.Started) < 14*time.Second {
			word += "*"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// step is one call to a registry and the description of its engines after it.
type step struct {
	after time.Duration
	apply func(reg *Registry, now time.Time)
	want  string
}

func observeView(index uint64, text string) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) { reg.Observe(now, llm, parseView(index, text)) }
}

func observeUntrusted(index uint64, text string, change func(*View)) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) {
		v := parseView(index, text)
		change(&v)
		reg.Observe(now, llm, v)
	}
}

func leaderless(v *View) { v.Leaderless = true }
func stale(v *View)      { v.Age = time.Minute }

func observeFailure(r Reason) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) { reg.ObserveFailure(now, llm, r) }
}

func observeProbes(p ProbeResult, n int, ids string) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) {
		for range n {
			for id := range strings.FieldsSeq(ids) {
				reg.ObserveProbe(now, id, id, p)
			}
		}
	}
}

func tick(reg *Registry, now time.Time) { reg.Tick(now) }

const s = time.Second

func TestRules(t *testing.T) {
	for name, steps := range map[string][]step{
		"an engine in the first view is warm, one added later is cold": {
			{0, observeView(1, "a"), "a"}, {s, observeView(2, "a b"), "a b*"}},
		"marks take effect and are cleared": {
			{0, observeView(1, "a b! c~"), "a b! c~"}, {s / 2, observeView(2, "a b c"), "a b c"}},
		"a deregistered engine is removed": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, "a b"), "a b"}, {9 * s, observeView(3, "a"), "a"}, {9 * s, observeView(4, ""), ""}},
		"engines of a mass loss are retained while they answer probes": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, ""), "a/ b/ c/"}, {s, observeProbes(Answered, 3, "a b"), "a/ b/ c/"},
			{s, observeProbes(Refused, 2, "c"), "a/ b/"}, {s, observeView(3, "a b c"), "a b c*"}, {s, observeView(4, ""), "a/ b/ c/*"},
			{16 * 60 * s, tick, ""}},
		"successive losses add up to a mass loss": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, "a b"), "a b"}, {s, observeView(3, "a"), "a b/"}, {s, observeView(4, ""), "a/ b/"}},
		"services that each lose their only engine add up to a mass loss": {
			{0, observeView(1, "a"), "a"},
			{0, func(reg *Registry, now time.Time) { reg.Observe(now, sources[1], parseView(1, "b")) }, "a b"},
			{0, func(reg *Registry, now time.Time) { reg.Observe(now, sources[2], parseView(1, "c")) }, "a b c"},
			{s, func(reg *Registry, now time.Time) { reg.Observe(now, sources[1], parseView(2, "")) }, "a c"},
			{s, func(reg *Registry, now time.Time) { reg.Observe(now, sources[2], parseView(2, "")) }, "a c/"}},
		"lost engines with marks are no mass loss": {
			{0, observeView(1, "a! b! c~ d"), "a! b! c~ d"}, {s, observeView(2, "d"), "d"}},
		"an empty view at a lower index is deferred, then probes decide": {
			{0, observeView(100, "a b c"), "a b c"}, {s, observeView(3, ""), "a/ b/ c/"}, {s, observeProbes(Answered, 1, "a b c"), "a/ b/ c/"},
			{31 * s, tick, "a/ b/ c/"}, {s, observeProbes(Refused, 2, "b"), "a/ c/"}, {s, observeView(4, "a@7 c@8"), "a c"}},
		"engines lost in a reset of the catalog stay while later views lack them too": {
			{0, observeView(100, "a b c"), "a b c"}, {s, observeView(3, ""), "a/ b/ c/"}, {31 * s, tick, "a/ b/ c/"}, {s, observeView(4, ""), "a/ b/ c/"}, {60 * s, tick, "a/ b/ c/"}},
		"a single outdated view is contradicted by the next one": {
			{0, observeView(100, "a b c"), "a b c"}, {s, observeView(3, "a"), "a/ b/ c/"}, {s, observeView(101, "a b c"), "a b c"}, {9 * s, tick, "a b c"}},
		"after the index went backwards a deregistered engine is removed": {
			{0, observeView(1000, "a b c d~"), "a b c d~"}, {s, observeView(400, "a b c d"), "a/ b/ c/ d~/"}, {s, observeView(401, "a c d"), "a/ b/ c/ d~/"}, {s, tick, "a/ b/ c/ d~/"},
			{s / 2, tick, "a/ c/ d~/"}, {s, observeView(402, "a b c d"), "a/ c/ d~/"}, {25 * s, tick, "a/ c/ d~/"}, {2 * s, tick, "a b* c d"}},
		"a mass loss is confirmed when no view contradicts it": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, ""), "a/ b/ c/"}, {s, tick, "a/ b/ c/"}, {s / 2, tick, ""}},
		"a mass loss is contradicted by the next view": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, ""), "a/ b/ c/"}, {s, observeView(3, "a b c"), "a b c"}, {9 * s, tick, "a b c"}},
		"a mass loss is not confirmed while the source is in doubt": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, ""), "a/ b/ c/"}, {s, observeFailure(Unreachable), "a/ b/ c/"}, {60 * s, tick, "a/ b/ c/"},
			{s, observeView(3, "a"), "a b/ c/"}, {0, tick, "a"}},
		"engines that only untrusted views lack are removed once trusted ones do": {
			{0, observeView(100, "a b c"), "a b c"}, {s, observeUntrusted(90, "a", stale), "a/ b/ c/"}, {31 * s, tick, "a/ b/ c/"}, {60 * s, tick, "a/ b/ c/"},
			{s, observeView(101, "a"), "a b/ c/"}, {s, tick, "a b/ c/"}, {s / 2, tick, "a"}},
		"an untrusted view sets marks and does not clear any": {
			{0, observeView(100, "a b~"), "a b~"}, {s, observeView(3, "a! b"), "a!/ b~/"}, {31 * s, tick, "a! b"}},
		"a stale view sets marks and clears none; the next trusted view replaces all marks": {
			{0, observeView(100, "a b!"), "a b!"}, {s, observeUntrusted(90, "a~ b", stale), "a~/ b!/"}, {s, observeView(100, "a b!"), "a b!"}},
		"a mark from an untrusted view is lifted by a newer trusted view only": {
			{0, observeView(1000, "a b"), "a b"}, {s, observeUntrusted(1010, "a! b~", stale), "a!/ b~/"}, {s / 2, observeView(1005, "a b"), "a! b~"},
			{s / 2, observeView(1010, "a b"), "a! b~"}, {s, observeView(1011, "a b~"), "a* b~"}, {s / 2, observeView(1012, "a b"), "a* b"}},
		"a mark that only a malformed entry of an untrusted view has is lifted likewise": {
			{0, observeView(1000, "a b"), "a b"}, {s, observeUntrusted(1010, "?a! b", leaderless), "a!/ b/"}, {s, observeView(1009, "a b"), "a! b"}, {s / 2, observeView(1011, "a b"), "a* b"}},
		"a mark from an untrusted view is lifted after the hold time if the index stays below": {
			{0, observeView(1000, "a b"), "a b"}, {s, observeUntrusted(9000, "a! b", stale), "a!/ b/"}, {s, observeView(1001, "a b"), "a! b"}, {28 * s, tick, "a! b"}, {s, tick, "a* b"}},
		"a trusted view that has the mark too makes it its own": {
			{0, observeView(1000, "a b"), "a b"}, {s, observeUntrusted(9000, "a! b", stale), "a!/ b/"}, {s, observeView(1001, "a! b"), "a! b"}, {s, observeView(1002, "a b"), "a* b"}},
		"a mark from an untrusted view of another catalog is lifted by any view of this one": {
			{0, observeView(1000, "a b"), "a b"}, {s, observeUntrusted(9000, "a! b", stale), "a!/ b/"},
			{s, func(reg *Registry, now time.Time) { reg.ResetIndex(llm); observeView(7, "a b")(reg, now) }, "a* b"}},
		"without a leader known engines are retained": {
			{0, observeView(100, "a b"), "a b"}, {s, observeUntrusted(100, "", leaderless), "a/ b/"}, {31 * s, tick, "a/ b/"}, {s, observeView(101, "a b"), "a b"}},
		"an empty registry applies an untrusted view": {
			{0, observeUntrusted(9, "a b~", leaderless), "a/ b~/"}, {s, observeView(10, "a b"), "a b"}},
		"an unreadable view removes no engine": {
			{0, observeView(1, "a b"), "a b"}, {s, observeFailure(Unreadable), "a/ b/"}, {3600 * s, tick, "a/ b/"}},
		"an engine with a malformed entry is retained, marks of other entries apply": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, "a! ?b c"), "a! b/ c"}, {s, observeView(3, "?"), "a!/ b/ c/"}, {s, observeView(4, "a! c"), "a! c"}},
		"a mark in a malformed entry takes effect": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, "a ?b! c"), "a b!/ c"}, {s, observeUntrusted(1, "a ?c!", stale), "a/ b!/ c!/"}},
		"refused connections make an engine of an unreachable source suspect after the hold time, never the last one": {
			{0, observeView(1, "a b"), "a b"}, {s, observeFailure(Unreachable), "a/ b/"}, {s, observeProbes(Answered, 1, "a"), "a/ b/"}, {s, observeProbes(Refused, 2, "b"), "a/ b/"},
			{30 * s, observeProbes(Answered, 1, "a"), "a/ b/"}, {0, tick, "a/ b?/"}, {s, observeProbes(Refused, 5, "a"), "a/ b?/"}, {s, observeProbes(Answered, 1, "b"), "a/ b/*"}},
		"unanswered probes of all engines remove none": {
			{0, observeView(1, "a b c"), "a b c"}, {s, observeView(2, ""), "a/ b/ c/"}, {s, observeProbes(NoAnswer, 9, "a b c"), "a/ b/ c/"},
			{s, observeProbes(Answered, 1, "a"), "a/ b/ c/"}, {s, observeProbes(NoAnswer, 4, "b"), "a/ c/"}},
		"flapping checks without a refused connection are no restarts": {
			{0, observeView(1, "a b"), "a b"}, {s, observeView(2, "a! b!"), "a! b!"}, {s, observeProbes(Answered, 2, "a b"), "a! b!"}, {4 * s, observeView(3, "a b"), "a b"}},
		"a flap shorter than the flap time is no restart": {
			{0, observeView(1, "a"), "a"}, {s, observeView(2, "a!"), "a!"}, {s / 2, observeView(3, "a"), "a"}},
		"a connection refused while the engine is critical is a restart": {
			{0, observeView(1, "a b"), "a b"}, {s, observeView(2, "a! b"), "a! b"}, {s, observeProbes(Answered, 1, "a"), "a! b"}, {s, observeProbes(Refused, 1, "a"), "a! b"},
			{s, observeProbes(Answered, 1, "a"), "a! b"}, {s, observeView(3, "a b"), "a* b"}},
		"connections refused before the mark are a restart": {
			{0, observeView(1, "a b"), "a b"}, {s, observeProbes(Refused, 2, "a"), "a b"}, {s, observeView(2, "a! b"), "a! b"}, {s / 2, observeView(3, "a b"), "a* b"}},
		"being critical for long without an answered probe counts as a restart": {
			{0, observeView(1, "a"), "a"}, {s, observeView(2, "a!"), "a!"}, {5 * s, observeProbes(NoAnswer, 4, "a"), "a!"}, {s, observeView(3, "a"), "a*"}},
		"a new registration is a restart": {
			{0, observeView(1, "a b"), "a b"}, {s, observeView(2, "a@2 b"), "a* b"}},
		"new registrations in a restored catalog are no restarts": {
			{0, observeView(100, "a b"), "a b"}, {s, observeView(3, "a@2 b@3"), "a/ b/"}, {31 * s, tick, "a b"}, {s, observeView(4, "a@2 b@3"), "a b"}},
		"a new address is a restart": {
			{0, observeView(1, "a b"), "a b"}, {s, observeView(2, "a:x b"), "a* b"}},
		"a later registration at the same address replaces the engine": {
			{0, observeView(1, "a:x b"), "a b"}, {s, observeView(2, "a:x b c:x@2"), "a- b c*"}, {s, observeView(3, "b c:x@2"), "b c*"}},
		"a later change to the address of another engine replaces that engine": {
			{0, observeView(1, "a:x b:y"), "a b"}, {s, observeView(2, "a:x b:x@5"), "a- b*"}, {20 * s, observeView(3, "a:x b:y@5"), "a b*"}},
		"an engine that only an untrusted view lists is added when it answers a probe": {
			{0, observeView(100, "a"), "a"}, {s, observeView(3, "a b"), "a/"}, {s, observeProbes(Answered, 1, "b"), "a/ b/*"}},
		"an untrusted view changes an address after the old one refuses connections": {
			{0, observeView(100, "a b"), "a b"}, {s, observeView(3, "a:x b~"), "a/ b~/"},
			{s, func(reg *Registry, now time.Time) { reg.ObserveProbe(now, "a", "x", Answered) }, "a/ b~/"},
			{s, observeProbes(Refused, 2, "a"), "a/ b~/"},
			{s, func(reg *Registry, now time.Time) { reg.ObserveProbe(now, "a", "x", Answered) }, "a/* b~/"}},
		"engines of a source missing from the catalog are retained, except marked ones": {
			{0, observeView(1, "a b!"), "a b!"}, {s, func(reg *Registry, now time.Time) { reg.MarkSourceMissing(now, llm) }, "a/"}, {s, observeProbes(Refused, 2, "a"), ""}},
		"engines of a source removed during a drain and added again are cold": {
			{0, observeView(1, "a~ b"), "a~ b"}, {s, func(reg *Registry, now time.Time) { reg.RemoveSource(now, llm, "tag") }, ""},
			{s, func(reg *Registry, _ time.Time) { reg.AddSource(llm, false) }, ""}, {s, observeView(5, "a~ b"), "a~* b*"}},
		"after a reset index, lower indexes and new registrations are trusted": {
			{0, observeView(100, "a b c"), "a b c"}, {s, func(reg *Registry, _ time.Time) { reg.ResetIndex(llm) }, "a b c"}, {s, observeView(3, "a@4 b@5 c@6"), "a b c"}},
	} {
		t.Run(name, func(t *testing.T) {
			reg, now := New(DefaultPolicy()), t0
			applied := map[string]Engine{}
			for i, st := range steps {
				now = now.Add(st.after)
				st.apply(reg, now)
				if got := describe(reg, now); got != st.want {
					t.Fatalf("step %d: engines %q, want %q", i, got, st.want)
				}
				applyChanges(applied, reg.Changes())
				if diff := cmp.Diff(publishedFields(reg.Engines()), publishedFields(values(applied))); diff != "" {
					t.Fatalf("step %d: the changes do not match the engines (-engines +changes):\n%s", i, diff)
				}
			}
		})
	}
}

func applyChanges(engines map[string]Engine, changes []Engine) {
	for _, c := range changes {
		if engines[c.ID] = c; c.State == Removed {
			delete(engines, c.ID)
		}
	}
}

func values(m map[string]Engine) []Engine {
	var out []Engine
	for _, e := range m {
		out = append(out, e)
	}
	return out
}

// publishedFields returns the fields that the core uses, by id, without removed engines.
func publishedFields(list []Engine) map[string]string {
	out := map[string]string{}
	for _, e := range list {
		if e.State != Removed {
			out[e.ID] = fmt.Sprint(e.Addr, e.Kind, e.Zone, e.Cell, e.State, e.Started)
		}
	}
	return out
}

func TestReportedStartTakesPrecedence(t *testing.T) {
	reg := New(DefaultPolicy())
	v := parseView(1, "a")
	v.Entries[0].Started = t0.Add(-time.Hour)
	reg.Observe(t0, llm, v)
	down := parseView(2, "a!")
	down.Entries[0].Started = v.Entries[0].Started
	reg.Observe(t0.Add(s), llm, down)
	// Not a restart: a process with a full listen backlog, for example, also refuses connections.
	reg.ObserveProbe(t0.Add(2*s), "a", "a", Refused)
	v.Index = 3
	reg.Observe(t0.Add(9*s), llm, v)
	if got := reg.Engines()[0].Started; !got.Equal(t0.Add(-time.Hour)) {
		t.Errorf("start %v, want the reported one", got)
	}
	v.Index, v.Entries[0].Started = 4, t0.Add(8*s)
	reg.Observe(t0.Add(10*s), llm, v)
	if got := reg.Engines()[0].Started; !got.Equal(t0.Add(8 * s)) {
		t.Errorf("after a restart: start %v, want the newly reported one", got)
	}
}

func TestDueProbes(t *testing.T) {
	reg := New(DefaultPolicy())
	reg.Observe(t0, llm, parseView(1, "a b! c d e f g h i"))
	names := func(probes []ProbeTarget) string {
		var ids []string
		for _, p := range probes {
			ids = append(ids, p.ID)
		}
		return strings.Join(ids, " ")
	}
	if got := names(reg.DueProbes(t0.Add(s), 9)); got != "b" {
		t.Errorf("trusted view: %q", got)
	}
	if got := names(reg.DueProbes(t0.Add(s+100*time.Millisecond), 9)); got != "" {
		t.Errorf("within the urgent interval: %q", got)
	}
	reg.Observe(t0.Add(2*s), llm, parseView(2, "a b! c d"))
	if got := names(reg.DueProbes(t0.Add(3*s), 9)); got != "e f g h i b" {
		t.Errorf("after a mass loss: %q", got)
	}
	reg.ObserveFailure(t0.Add(4*s), llm, Unreachable)
	if got := names(reg.DueProbes(t0.Add(4*s), 8)); got != "b e f g h i a c" {
		t.Errorf("untrusted source: %q", got)
	}
	if got := names(reg.DueProbes(t0.Add(4*s+time.Millisecond), 8)); got != "d" {
		t.Errorf("engines beyond the limit: %q", got)
	}
}

// A gateway that starts while the catalog is unavailable uses the last good view from disk, including its
// marks, and replaces it by the first trusted view.
func TestRestore(t *testing.T) {
	reg := New(DefaultPolicy())
	reg.Observe(t0, llm, parseView(100, "a b! c d"))
	reg.Observe(t0.Add(s), llm, parseView(101, "a b! c d@9"))
	stored, indexes := reg.Snapshot()
	reg = New(DefaultPolicy())
	now := t0.Add(5 * s)
	reg.Restore(now, stored, indexes)
	if got := describe(reg, now); got != "a/ b!/ c/ d/*" {
		t.Errorf("restored: %q", got)
	}
	reg.Observe(now, llm, parseView(3, ""))
	if got := describe(reg, now); got != "a/ b!/ c/ d/*" {
		t.Errorf("after an empty view at a lower index: %q", got)
	}
	reg.Observe(now, llm, parseView(102, "a b c d@9"))
	if got := describe(reg, now.Add(20*s)); got != "a b c d" {
		t.Errorf("after a trusted view: %q", got)
	}
	old := New(DefaultPolicy())
	now = t0.Add(time.Hour)
	old.Restore(now, stored, indexes)
	old.Observe(now, llm, parseView(900, "x"))
	if got := describe(old, now); got != "x*" {
		t.Errorf("engines after a trusted view, with entries restored after an hour: %q", got)
	}
}

func TestGatewayCount(t *testing.T) {
	gateways, now := NewGatewayCount(2, 10*s), t0
	for i, c := range []struct {
		after    time.Duration
		observed int
		changed  bool
		want     int
	}{
		{0, 0, false, 2}, {s, 4, true, 4}, {s, 1, false, 4}, {s, 3, false, 4}, {s, 4, false, 4},
		{s, 2, false, 4}, {9 * s, 1, false, 4}, {s, 1, true, 2}, {s, 1, false, 2}, {10 * s, 1, true, 1},
	} {
		now = now.Add(c.after)
		if got := gateways.Observe(now, c.observed); got != c.changed || gateways.Count() != c.want {
			t.Errorf("step %d: changed %v, count %d", i, got, gateways.Count())
		}
	}
}

func TestEvents(t *testing.T) {
	reg := New(DefaultPolicy())
	reg.Observe(t0, llm, parseView(100, "a b c"))
	reg.Observe(t0.Add(s), llm, parseView(3, ""))
	reg.Observe(t0.Add(2*s), llm, parseView(3, ""))
	events := reg.Events()
	if len(events) != 1 || events[0].Reason != IndexRegressed || events[0].Engines != 3 || !events[0].Warn || len(reg.Events()) > 0 {
		t.Errorf("events %+v", events)
	}
	statuses := reg.SourceStatuses()
	if len(statuses) != 1 || statuses[0].DistrustReason != IndexRegressed || statuses[0].Index != 100 || !statuses[0].UntrustedSince.Equal(t0.Add(s)) || !slices.Equal([]string{"service llm"}, reg.Engines()[0].Sources) {
		t.Errorf("statuses %+v", statuses)
	}
}

func TestServiceTracker(t *testing.T) {
	names := strings.Fields
	tracker := NewServiceTracker(DefaultPolicy(), []string{"old"})
	for i, c := range []struct {
		at               time.Duration
		view             View
		tagged, untagged string
		want             ServiceChanges
	}{
		{0, View{Index: 5, Leaderless: true}, "a", "", ServiceChanges{DistrustReason: NoLeader, Added: names("a")}},
		{s, View{Index: 5}, "a b", "old", ServiceChanges{Added: names("b"), Untagged: names("old")}},
		{2 * s, View{Index: 3}, "", "", ServiceChanges{DistrustReason: IndexRegressed}},
		{3 * s, View{Index: 3}, "c", "a", ServiceChanges{DistrustReason: IndexRegressed, Added: names("c")}},
		{33 * s, View{Index: 3}, "c", "a", ServiceChanges{DistrustReason: IndexRegressed, Untagged: names("a"), Missing: names("b")}},
		{34 * s, View{Index: 4}, "a c", "", ServiceChanges{Added: names("a")}},
		{35 * s, View{Index: 4, Age: time.Hour}, "", "", ServiceChanges{DistrustReason: Stale}},
		{99 * s, View{Index: 6}, "c", "a", ServiceChanges{Untagged: names("a")}},
	} {
		if diff := cmp.Diff(c.want, tracker.Observe(t0.Add(c.at), c.view, names(c.tagged), names(c.untagged))); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
	}
}

// BenchmarkObserve observes a view of 15 engines, one of which has flapped, in a registry of 3,000 engines in
// 200 services.
func BenchmarkObserve(b *testing.B) {
	registry := New(DefaultPolicy())
	var views [200][2]View
	for svc := range views {
		for version := range 2 {
			v := View{Index: uint64(version + 1)}
			for i := range 15 {
				e := Entry{ID: fmt.Sprint("e", svc, "-", i), Addr: fmt.Sprint(svc, ":", i), Kind: "k", Registered: 1}
				if i == 7 && version == 1 {
					e.Mark = Critical
				}
				v.Entries = append(v.Entries, e)
			}
			views[svc][version] = v
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		svc := n % len(views)
		v := views[svc][n/len(views)%2]
		v.Index = uint64(n + 1)
		registry.Observe(t0.Add(time.Duration(n)*time.Millisecond), Source{Catalogue, fmt.Sprint(svc)}, v)
		if n%100 == 0 {
			registry.Changes()
		}
	}
}

// During a role change an engine gets no requests. Then it has the new role with a cold cache, regardless of
// the role that its sources list and the start time that it reports. When the catalog lists the new role and
// the override is removed, role and start stay the same.
func TestOverrides(t *testing.T) {
	reg := New(DefaultPolicy())
	v := parseView(1, "a b!")
	v.Entries[0].Started = t0.Add(-time.Hour)
	reg.Observe(t0, llm, v)
	now := t0.Add(s)
	check := func(step string, state State, kind string, cold bool) {
		t.Helper()
		e := reg.Engines()[0]
		if e.State != state || e.Kind != kind || e.ListedKind != v.Entries[0].Kind || now.Sub(e.Started) < time.Minute != cold {
			t.Errorf("%s: %+v", step, e)
		}
	}
	reg.SetOverrides(now, map[string]Override{"a": {Drain: true, StateReason: "changing"}, "b": {Drain: true}, "unknown": {Drain: true}})
	check("drained", Draining, "openai", false)
	if e := reg.Engines()[1]; e.State != OutOfService {
		t.Errorf("an override hides a mark: %+v", e)
	}
	reg.SetOverrides(now, map[string]Override{"a": {Kind: "write", Started: now}})
	check("role overridden", InService, "write", true)
	v.Index, v.Entries[0].Kind = 2, "write"
	reg.Observe(now, llm, v)
	reg.SetOverrides(now, nil)
	check("new role listed", InService, "write", true)
	now = now.Add(time.Hour)
	check("an hour later", InService, "write", false)
}
