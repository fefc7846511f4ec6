package roster

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// goldenDecisions are hashes over all that this package returns for drawn events, by
// seed. Kinds are hashed as numbers and no Go name is, so that they outlive renames.
var goldenDecisions = map[uint64]uint64{
	0: 0xac12ef3df8155360, 1: 0xe7e1b5a3f93318f, 2: 0x5a3dcf1cd72403, 3: 0x32557559996ed323,
	4: 0xe2894f5f700236cf, 5: 0x96e74aee70fb2938, 6: 0xf1190eee3f14dd7a, 7: 0x2a46e37a006ed595,
}

// goldenServices is the same for the decisions on services and on the number of gateways.
const goldenServices = 0xfa5fc4b493479b39

// noteKinds numbers the texts of log lines, which may change while what they speak of
// does not.
var noteKinds = []string{
	"source removed",
	"source vanished, holding its engines",
	"hold expired, doubted view applied",
	"unlisted engine expired",
	"source doubted, holding last good view",
	"source trusted again",
	"last good view restored",
	"malformed entry, holding engine",
	"mass loss without marks, holding engines",
	"unlisted engine does not answer, removed",
}

func noteKind(t *testing.T, n Event) int {
	t.Helper()
	for i, text := range noteKinds {
		if strings.HasPrefix(n.Message, text) {
			return i
		}
	}
	t.Fatalf("a note of no known kind: %+v", n)
	return -1
}

func stamp(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.UnixNano()
}

// goldenView draws a view: mostly of the engines that are there, with faults of the
// catalog now and then.
func goldenView(r *rand.Rand, index uint64) View {
	v := View{Agent: "one", Index: index}
	if r.IntN(12) == 0 {
		v.Index = index / 2
	}
	share := []float64{0.97, 0.97, 0.97, 0.5, 0}[r.IntN(5)]
	for id := range 9 {
		if r.Float64() >= share {
			continue
		}
		e := Entry{
			ID: fmt.Sprint("e", id), Addr: fmt.Sprint("at", id), Kind: []string{"read", "write"}[id%2], Zone: fmt.Sprint("z", id%3),
			Cell: id % 2, Registered: 1, Index: uint64(r.IntN(4)),
		}
		switch r.IntN(16) {
		case 0:
			e.Mark = Critical
		case 1:
			e.Mark = Maintenance
		case 2:
			e.Addr = fmt.Sprint("at", r.IntN(9))
		case 3:
			e.Registered = uint64(1 + r.IntN(3))
		case 4:
			e.Kind = "both"
		case 5:
			e.Started = t0.Add(time.Duration(r.IntN(100)) * time.Second)
		case 6:
			v.Malformed = append(v.Malformed, e.ID)
			if r.IntN(2) == 0 {
				v.MalformedMarks = map[string]Mark{e.ID: Critical}
			}
			continue
		}
		v.Entries = append(v.Entries, e)
	}
	switch r.IntN(20) {
	case 0:
		v.Leaderless = true
	case 1:
		v.Age = time.Minute
	case 2:
		v.Malformed = append(v.Malformed, "")
	}
	return v
}

// writeOutcome words all that is to be seen of a registry.
func writeOutcome(t *testing.T, w io.Writer, reg *Registry) {
	t.Helper()
	for n, list := range [][]Engine{reg.Changes(), reg.Engines()} {
		for _, e := range list {
			fmt.Fprintf(w, "engine %d %s %s %s %s %d %d %q %d %d %d %s %q\n", n, e.ID, e.Addr, e.Kind, e.Zone, e.Cell, uint8(e.State), e.StateReason,
				stamp(e.Started), stamp(e.LastSeen), uint8(e.Confidence), e.ListedKind, e.Sources)
		}
	}
	var notes []string
	for _, n := range reg.Events() { // sources are gone through in no order
		notes = append(notes, fmt.Sprintf("note %d %s %s %q %d %v", noteKind(t, n), n.Source, n.Engine, string(n.Reason), n.Engines, n.Warn))
	}
	slices.Sort(notes)
	fmt.Fprintln(w, strings.Join(notes, "\n"))
	for _, s := range reg.SourceStatuses() {
		fmt.Fprintf(w, "source %s %q %d %d %d %d\n", s.Source, string(s.DistrustReason), stamp(s.UntrustedSince), stamp(s.LastTrusted), s.Index, s.Engines)
	}
	for _, s := range reg.KnownSources() {
		fmt.Fprintf(w, "known %d %s\n", uint8(s.Origin), s.Name)
	}
}

// playRegistry plays drawn events on a registry and returns the hash of what came of them.
func playRegistry(t *testing.T, seed uint64, steps int) uint64 {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 45))
	h := fnv.New64a()
	reg, now, index := New(DefaultPolicy()), t0, uint64(100)
	sources := []Source{{File, ""}, {Catalogue, "x"}, {Catalogue, "y"}}
	for range steps {
		now = now.Add([]time.Duration{0, 20 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 40 * time.Second, 10 * time.Minute}[min(r.IntN(40), 5-min(r.IntN(6), 5))])
		index++
		src := sources[r.IntN(len(sources))]
		engine := r.IntN(9)
		id, addr := fmt.Sprint("e", engine), fmt.Sprint("at", engine)
		switch r.IntN(24) {
		case 0, 1, 2, 3, 4, 5, 6, 7:
			fmt.Fprintf(h, "observed %q\n", string(reg.Observe(now, src, goldenView(r, index))))
		case 8, 9, 10, 11, 12:
			for range 1 + r.IntN(4) {
				reg.ObserveProbe(now, id, addr, []ProbeResult{Answered, Answered, Refused, NoAnswer}[r.IntN(4)])
			}
		case 13, 14:
			reg.Tick(now)
		case 15:
			reg.ObserveFailure(now, src, []Reason{Unreadable, Unreachable, NoLeader}[r.IntN(3)])
		case 16:
			fmt.Fprintf(h, "confirmed %v\n", reg.Confirm(now, src))
		case 17:
			reg.ResetIndex(src)
		case 18:
			reg.ReplaceSource(now, sources[0], goldenView(r, 0))
		case 19:
			if r.IntN(3) == 0 {
				reg.RemoveSource(now, src, "a test says so")
			}
		case 20:
			if r.IntN(3) == 0 {
				reg.MarkSourceMissing(now, src)
			}
		case 21:
			reg.AddSource(src, r.IntN(2) == 0)
		case 22:
			reg.SetOverrides(now, []map[string]Override{
				nil, {id: {Drain: true, StateReason: "changing"}}, {id: {Kind: "write", Started: now.Add(-time.Second)}}, {id: {Drain: true, Kind: "read"}},
			}[r.IntN(4)])
		case 23:
			kept, indexes := reg.Snapshot()
			for _, k := range kept {
				fmt.Fprintf(h, "kept %d %s %s %s %s %s %d %d %d %d %d %d %d %d\n", uint8(k.Source.Origin), k.Source.Name, k.Entry.ID, k.Entry.Addr, k.Entry.Kind,
					k.Entry.Zone, k.Entry.Cell, uint8(k.Entry.Mark), stamp(k.Entry.Started), k.Entry.Registered, k.Entry.Index, stamp(k.FirstListed), stamp(k.LastSeen), stamp(k.Started))
			}
			for _, s := range reg.KnownSources() {
				fmt.Fprintf(h, "index %d\n", indexes[s])
			}
			if r.IntN(3) == 0 {
				reg = New(DefaultPolicy())
				reg.Restore(now, kept, indexes)
			}
		}
		var probes []string
		for _, p := range reg.DueProbes(now, 1000) {
			probes = append(probes, p.ID+" "+p.Addr)
		}
		slices.Sort(probes)
		fmt.Fprintf(h, "wanted %q\n", probes)
		writeOutcome(t, h, reg)
	}
	return h.Sum64()
}

func TestGoldenDecisions(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := playRegistry(t, seed, 3000); got != goldenDecisions[seed] {
				t.Errorf("%d: %#x, want %#x", seed, got, goldenDecisions[seed])
			}
		})
	}
}

func TestGoldenServicesAndGatewayCount(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 45))
	h := fnv.New64a()
	s, p, now := NewServiceTracker(DefaultPolicy(), []string{"s0", "s9"}), NewGatewayCount(2, 10*time.Second), t0
	for index := range uint64(5000) {
		now = now.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
		var tagged, others []string
		for n := range 6 {
			switch r.IntN(8) {
			case 0:
			case 1:
				others = append(others, fmt.Sprint("s", n))
			default:
				tagged = append(tagged, fmt.Sprint("s", n))
			}
		}
		v := goldenView(r, index+20)
		plan := s.Observe(now, v, tagged, others)
		fmt.Fprintf(h, "%q %q %q %q\n", string(plan.DistrustReason), plan.Added, plan.Untagged, plan.Missing)
		fmt.Fprintln(h, p.Observe(now, r.IntN(6)), p.Count(), p.Tick(now.Add(time.Second)), p.Count())
	}
	if got := h.Sum64(); got != goldenServices {
		t.Errorf("%#x, want %#x", got, uint64(goldenServices))
	}
}
