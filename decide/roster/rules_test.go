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

// list reads "a b! c~ d@5": ids, critical, in maintenance, registered at 5; "?" is
// an entry without an id that made no sense, "?a" one with it, "?a!" one that is critical.
func list(index uint64, text string) View {
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

// say words the engines of a registry: "a b! (c)", with * for one that is
// cold since its latest start, / for one that is held.
func say(reg *Registry, now time.Time) string {
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

// step is one thing that happens to a registry, and its engines after it.
type step struct {
	after time.Duration
	do    func(reg *Registry, now time.Time)
	want  string
}

func view(index uint64, text string) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) { reg.Observe(now, llm, list(index, text)) }
}

func doubted(index uint64, text string, change func(*View)) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) {
		v := list(index, text)
		change(&v)
		reg.Observe(now, llm, v)
	}
}

func leaderless(v *View) { v.Leaderless = true }
func lagging(v *View)    { v.Age = time.Minute }

func fail(r Reason) func(*Registry, time.Time) {
	return func(reg *Registry, now time.Time) { reg.ObserveFailure(now, llm, r) }
}

func probed(p ProbeResult, n int, ids string) func(*Registry, time.Time) {
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
		"a first list tells nothing of starts, a later newcomer is cold": {
			{0, view(1, "a"), "a"}, {s, view(2, "a b"), "a b*"}},
		"marks hold and are lifted": {
			{0, view(1, "a b! c~"), "a b! c~"}, {s / 2, view(2, "a b c"), "a b c"}},
		"one that is deregistered is gone": {
			{0, view(1, "a b c"), "a b c"}, {s, view(2, "a b"), "a b"}, {9 * s, view(3, "a"), "a"}, {9 * s, view(4, ""), ""}},
		"many lost at once are held while they answer": {
			{0, view(1, "a b c"), "a b c"}, {s, view(2, ""), "a/ b/ c/"}, {s, probed(Answered, 3, "a b"), "a/ b/ c/"},
			{s, probed(Refused, 2, "c"), "a/ b/"}, {s, view(3, "a b c"), "a b c*"}, {s, view(4, ""), "a/ b/ c/*"},
			{16 * 60 * s, tick, ""}},
		"losses one after the other are as many": {
			{0, view(1, "a b c"), "a b c"}, {s, view(2, "a b"), "a b"}, {s, view(3, "a"), "a b/"}, {s, view(4, ""), "a/ b/"}},
		"services that each lose their only engine are many too": {
			{0, view(1, "a"), "a"},
			{0, func(reg *Registry, now time.Time) { reg.Observe(now, sources[1], list(1, "b")) }, "a b"},
			{0, func(reg *Registry, now time.Time) { reg.Observe(now, sources[2], list(1, "c")) }, "a b c"},
			{s, func(reg *Registry, now time.Time) { reg.Observe(now, sources[1], list(2, "")) }, "a c"},
			{s, func(reg *Registry, now time.Time) { reg.Observe(now, sources[2], list(2, "")) }, "a c/"}},
		"those marked before may be lost in any number": {
			{0, view(1, "a! b! c~ d"), "a! b! c~ d"}, {s, view(2, "d"), "d"}},
		"an empty list at a lower index is held, then decided by who answers": {
			{0, view(100, "a b c"), "a b c"}, {s, view(3, ""), "a/ b/ c/"}, {s, probed(Answered, 1, "a b c"), "a/ b/ c/"},
			{31 * s, tick, "a/ b/ c/"}, {s, probed(Refused, 2, "b"), "a/ c/"}, {s, view(4, "a@7 c@8"), "a c"}},
		"marks count in a view that is not trusted, lifts do not": {
			{0, view(100, "a b~"), "a b~"}, {s, view(3, "a! b"), "a!/ b~/"}, {31 * s, tick, "a! b"}},
		"a lagging server lifts nothing, adds marks, and one in time puts it right": {
			{0, view(100, "a b!"), "a b!"}, {s, doubted(90, "a~ b", lagging), "a~/ b!/"}, {s, view(100, "a b!"), "a b!"}},
		"no leader holds what is known": {
			{0, view(100, "a b"), "a b"}, {s, doubted(100, "", leaderless), "a/ b/"}, {31 * s, tick, "a/ b/"}, {s, view(101, "a b"), "a b"}},
		"with nothing known a doubted view is the best there is": {
			{0, doubted(9, "a b~", leaderless), "a/ b~/"}, {s, view(10, "a b"), "a b"}},
		"what cannot be read removes nobody": {
			{0, view(1, "a b"), "a b"}, {s, fail(Unreadable), "a/ b/"}, {3600 * s, tick, "a/ b/"}},
		"a mark beside an entry that makes no sense": {
			{0, view(1, "a b c"), "a b c"}, {s, view(2, "a! ?b c"), "a! b/ c"}, {s, view(3, "?"), "a!/ b/ c/"}, {s, view(4, "a! c"), "a! c"}},
		"a mark in an entry that otherwise makes no sense": {
			{0, view(1, "a b c"), "a b c"}, {s, view(2, "a ?b! c"), "a b!/ c"}, {s, doubted(1, "a ?c!", lagging), "a/ b!/ c!/"}},
		"refusals take an engine out of a silent source only after the hold, and never the last": {
			{0, view(1, "a b"), "a b"}, {s, fail(Unreachable), "a/ b/"}, {s, probed(Answered, 1, "a"), "a/ b/"}, {s, probed(Refused, 2, "b"), "a/ b/"},
			{30 * s, probed(Answered, 1, "a"), "a/ b/"}, {0, tick, "a/ b?/"}, {s, probed(Refused, 5, "a"), "a/ b?/"}, {s, probed(Answered, 1, "b"), "a/ b/*"}},
		"silence of all proves nothing": {
			{0, view(1, "a b c"), "a b c"}, {s, view(2, ""), "a/ b/ c/"}, {s, probed(NoAnswer, 9, "a b c"), "a/ b/ c/"},
			{s, probed(Answered, 1, "a"), "a/ b/ c/"}, {s, probed(NoAnswer, 4, "b"), "a/ c/"}},
		"all flap and none refuses: nobody is cold": {
			{0, view(1, "a b"), "a b"}, {s, view(2, "a! b!"), "a! b!"}, {s, probed(Answered, 2, "a b"), "a! b!"}, {4 * s, view(3, "a b"), "a b"}},
		"a flap too short for any check is no restart": {
			{0, view(1, "a"), "a"}, {s, view(2, "a!"), "a!"}, {s / 2, view(3, "a"), "a"}},
		"one that refused while it was critical has restarted": {
			{0, view(1, "a b"), "a b"}, {s, view(2, "a! b"), "a! b"}, {s, probed(Answered, 1, "a"), "a! b"}, {s, probed(Refused, 1, "a"), "a! b"},
			{s, probed(Answered, 1, "a"), "a! b"}, {s, view(3, "a b"), "a* b"}},
		"one whose refusals came before its mark has restarted": {
			{0, view(1, "a b"), "a b"}, {s, probed(Refused, 2, "a"), "a b"}, {s, view(2, "a! b"), "a! b"}, {s / 2, view(3, "a b"), "a* b"}},
		"one that was critical for long and never answered counts as restarted": {
			{0, view(1, "a"), "a"}, {s, view(2, "a!"), "a!"}, {5 * s, probed(NoAnswer, 4, "a"), "a!"}, {s, view(3, "a"), "a*"}},
		"a registration anew is a restart": {
			{0, view(1, "a b"), "a b"}, {s, view(2, "a@2 b"), "a* b"}},
		"registrations of a restored catalog are no restarts": {
			{0, view(100, "a b"), "a b"}, {s, view(3, "a@2 b@3"), "a/ b/"}, {31 * s, tick, "a b"}, {s, view(4, "a@2 b@3"), "a b"}},
		"an engine at another address is another process": {
			{0, view(1, "a b"), "a b"}, {s, view(2, "a:x b"), "a* b"}},
		"another id at an old address takes its place": {
			{0, view(1, "a:x b"), "a b"}, {s, view(2, "a:x b c:x@2"), "a- b c*"}, {s, view(3, "b c:x@2"), "b c*"}},
		"an id that takes the address of another by a later change": {
			{0, view(1, "a:x b:y"), "a b"}, {s, view(2, "a:x b:x@5"), "a- b*"}, {20 * s, view(3, "a:x b:y@5"), "a b*"}},
		"a newcomer of a doubted view comes in once it answers": {
			{0, view(100, "a"), "a"}, {s, view(3, "a b"), "a/"}, {s, probed(Answered, 1, "b"), "a/ b/*"}},
		"an engine that a doubted view has elsewhere moves once nobody listens where it was": {
			{0, view(100, "a b"), "a b"}, {s, view(3, "a:x b~"), "a/ b~/"},
			{s, func(reg *Registry, now time.Time) { reg.ObserveProbe(now, "a", "x", Answered) }, "a/ b~/"},
			{s, probed(Refused, 2, "a"), "a/ b~/"},
			{s, func(reg *Registry, now time.Time) { reg.ObserveProbe(now, "a", "x", Answered) }, "a/* b~/"}},
		"a source that nobody took away": {
			{0, view(1, "a b!"), "a b!"}, {s, func(reg *Registry, now time.Time) { reg.MarkSourceMissing(now, llm) }, "a/"}, {s, probed(Refused, 2, "a"), ""}},
		"a tag taken away during a drain, and given back": {
			{0, view(1, "a~ b"), "a~ b"}, {s, func(reg *Registry, now time.Time) { reg.RemoveSource(now, llm, "tag") }, ""},
			{s, func(reg *Registry, _ time.Time) { reg.AddSource(llm, false) }, ""}, {s, view(5, "a~ b"), "a~* b*"}},
		"another catalog": {
			{0, view(100, "a b c"), "a b c"}, {s, func(reg *Registry, _ time.Time) { reg.ResetIndex(llm) }, "a b c"}, {s, view(3, "a@4 b@5 c@6"), "a b c"}},
	} {
		t.Run(name, func(t *testing.T) {
			reg, now := New(DefaultPolicy()), t0
			known := map[string]Engine{}
			for i, st := range steps {
				now = now.Add(st.after)
				st.do(reg, now)
				if got := say(reg, now); got != st.want {
					t.Fatalf("step %d: %q, want %q", i, got, st.want)
				}
				apply(known, reg.Changes())
				if diff := cmp.Diff(facts(reg.Engines()), facts(values(known))); diff != "" {
					t.Fatalf("step %d: the changes do not add up to the whole (-whole +changes):\n%s", i, diff)
				}
			}
		})
	}
}

func apply(known map[string]Engine, changes []Engine) {
	for _, c := range changes {
		if known[c.ID] = c; c.State == Removed {
			delete(known, c.ID)
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

// facts are what the module is told, without the engines that are gone.
func facts(list []Engine) map[string]string {
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
	v := list(1, "a")
	v.Entries[0].Started = t0.Add(-time.Hour)
	reg.Observe(t0, llm, v)
	down := list(2, "a!")
	down.Entries[0].Started = v.Entries[0].Started
	reg.Observe(t0.Add(s), llm, down)
	reg.ObserveProbe(t0.Add(2*s), "a", "a", Refused) // such as a full backlog
	v.Index = 3
	reg.Observe(t0.Add(9*s), llm, v)
	if got := reg.Engines()[0].Started; !got.Equal(t0.Add(-time.Hour)) {
		t.Errorf("started %v", got)
	}
	v.Index, v.Entries[0].Started = 4, t0.Add(8*s)
	reg.Observe(t0.Add(10*s), llm, v)
	if got := reg.Engines()[0].Started; !got.Equal(t0.Add(8 * s)) {
		t.Errorf("after a restart: started %v", got)
	}
}

func TestEnginesToCheck(t *testing.T) {
	reg := New(DefaultPolicy())
	reg.Observe(t0, llm, list(1, "a b! c d e f g h i"))
	names := func(probes []ProbeTarget) string {
		var ids []string
		for _, p := range probes {
			ids = append(ids, p.ID)
		}
		return strings.Join(ids, " ")
	}
	if got := names(reg.DueProbes(t0.Add(s), 9)); got != "b" {
		t.Errorf("all well: %q", got)
	}
	if got := names(reg.DueProbes(t0.Add(s+100*time.Millisecond), 9)); got != "" {
		t.Errorf("too soon: %q", got)
	}
	reg.Observe(t0.Add(2*s), llm, list(2, "a b! c d"))
	if got := names(reg.DueProbes(t0.Add(3*s), 9)); got != "e f g h i b" {
		t.Errorf("many lost: %q", got)
	}
	reg.ObserveFailure(t0.Add(4*s), llm, Unreachable)
	if got := names(reg.DueProbes(t0.Add(4*s), 8)); got != "b e f g h i a c" {
		t.Errorf("in doubt: %q", got)
	}
	if got := names(reg.DueProbes(t0.Add(4*s+time.Millisecond), 8)); got != "d" {
		t.Errorf("the rest: %q", got)
	}
}

// A gateway that starts while the catalog is away serves from disk, marks
// honoured, and trusts what then comes.
func TestRestore(t *testing.T) {
	reg := New(DefaultPolicy())
	reg.Observe(t0, llm, list(100, "a b! c d"))
	reg.Observe(t0.Add(s), llm, list(101, "a b! c d@9"))
	kept, indexes := reg.Snapshot()
	reg = New(DefaultPolicy())
	now := t0.Add(5 * s)
	reg.Restore(now, kept, indexes)
	if got := say(reg, now); got != "a/ b!/ c/ d/*" {
		t.Errorf("restored: %q", got)
	}
	reg.Observe(now, llm, list(3, ""))
	if got := say(reg, now); got != "a/ b!/ c/ d/*" {
		t.Errorf("after an empty list at a lower index: %q", got)
	}
	reg.Observe(now, llm, list(102, "a b c d@9"))
	if got := say(reg, now.Add(20*s)); got != "a b c d" {
		t.Errorf("after a view that is trusted: %q", got)
	}
	old := New(DefaultPolicy())
	now = t0.Add(time.Hour)
	old.Restore(now, kept, indexes)
	old.Observe(now, llm, list(900, "x"))
	if got := say(old, now); got != "x*" {
		t.Errorf("entries of an hour ago outlive a view that is trusted: %q", got)
	}
}

func TestGatewayCount(t *testing.T) {
	p, now := NewGatewayCount(2, 10*s), t0
	for i, c := range []struct {
		after   time.Duration
		seen    int
		changed bool
		want    int
	}{
		{0, 0, false, 2}, {s, 4, true, 4}, {s, 1, false, 4}, {s, 3, false, 4}, {s, 4, false, 4},
		{s, 2, false, 4}, {9 * s, 1, false, 4}, {s, 1, true, 2}, {s, 1, false, 2}, {10 * s, 1, true, 1},
	} {
		now = now.Add(c.after)
		if got := p.Observe(now, c.seen); got != c.changed || p.Count() != c.want {
			t.Errorf("step %d: %v, %d", i, got, p.Count())
		}
	}
}

func TestEvents(t *testing.T) {
	reg := New(DefaultPolicy())
	reg.Observe(t0, llm, list(100, "a b c"))
	reg.Observe(t0.Add(s), llm, list(3, ""))
	reg.Observe(t0.Add(2*s), llm, list(3, ""))
	notes := reg.Events()
	if len(notes) != 1 || notes[0].Reason != IndexRegressed || notes[0].Engines != 3 || !notes[0].Warn || len(reg.Events()) > 0 {
		t.Errorf("%+v", notes)
	}
	h := reg.SourceStatuses()
	if len(h) != 1 || h[0].DistrustReason != IndexRegressed || h[0].Index != 100 || !h[0].UntrustedSince.Equal(t0.Add(s)) || !slices.Equal([]string{"service llm"}, reg.Engines()[0].Sources) {
		t.Errorf("%+v", h)
	}
}

func TestServiceTracker(t *testing.T) {
	names := strings.Fields
	v := NewServiceTracker(DefaultPolicy(), []string{"old"})
	for i, c := range []struct {
		at             time.Duration
		view           View
		tagged, others string
		want           ServiceChanges
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
		if diff := cmp.Diff(c.want, v.Observe(t0.Add(c.at), c.view, names(c.tagged), names(c.others))); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
	}
}

// BenchmarkObserve takes in a view of 15 engines of which one has flapped, among
// 3,000 in 200 services.
func BenchmarkObserve(b *testing.B) {
	registry := New(DefaultPolicy())
	var views [200][2]View
	for svc := range views {
		for turn := range 2 {
			v := View{Index: uint64(turn + 1)}
			for i := range 15 {
				e := Entry{ID: fmt.Sprint("e", svc, "-", i), Addr: fmt.Sprint(svc, ":", i), Kind: "k", Registered: 1}
				if i == 7 && turn == 1 {
					e.Mark = Critical
				}
				v.Entries = append(v.Entries, e)
			}
			views[svc][turn] = v
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

// A change of role holds an engine, then makes it one of its new role, cold since then,
// whatever its sources and its own start time say; when the catalog says the same,
// nothing is lost.
func TestOverrides(t *testing.T) {
	reg := New(DefaultPolicy())
	v := list(1, "a b!")
	v.Entries[0].Started = t0.Add(-time.Hour)
	reg.Observe(t0, llm, v)
	now := t0.Add(s)
	at := func(step string, state State, kind string, cold bool) {
		t.Helper()
		e := reg.Engines()[0]
		if e.State != state || e.Kind != kind || e.ListedKind != v.Entries[0].Kind || now.Sub(e.Started) < time.Minute != cold {
			t.Errorf("%s: %+v", step, e)
		}
	}
	reg.SetOverrides(now, map[string]Override{"a": {Drain: true, StateReason: "changing"}, "b": {Drain: true}, "gone": {Drain: true}})
	at("held", Draining, "openai", false)
	if e := reg.Engines()[1]; e.State != OutOfService {
		t.Errorf("a mark is hidden by an override: %+v", e)
	}
	reg.SetOverrides(now, map[string]Override{"a": {Kind: "write", Started: now}})
	at("flipped", InService, "write", true)
	v.Index, v.Entries[0].Kind = 2, "write"
	reg.Observe(now, llm, v)
	reg.SetOverrides(now, nil)
	at("listed so", InService, "write", true)
	now = now.Add(time.Hour)
	at("later", InService, "write", false)
}
