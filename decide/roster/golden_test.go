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

// goldenDecisions are hashes over all results of this package for random events, by seed. Enum values are
// hashed as numbers and Go names are not hashed, so that renames don't change the hashes.
var goldenDecisions = map[uint64]uint64{
	0: 0x1522425062524ba8, 1: 0xd91bfb739a499de4, 2: 0xd3a2ea9a1ca44a86, 3: 0x9bb4db08ed2c82bb,
	4: 0x848c3fd2d321fddc, 5: 0xcb42fa4a258fde2d, 6: 0xa56af60e99db999e, 7: 0x63fb628481f96c9,
}

// goldenServices is the hash over the results of ServiceTracker and GatewayCount for random events.
const goldenServices = 0xfa5fc4b493479b39

// eventKinds numbers the messages of events. The hashes contain the number instead of the message, so that a
// message can be reworded, here and in the code, without changing the hashes.
var eventKinds = []string{
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
	"loss confirmed, engine removed",
}

func eventKind(t *testing.T, e Event) int {
	t.Helper()
	for i, text := range eventKinds {
		if strings.HasPrefix(e.Message, text) {
			return i
		}
	}
	t.Fatalf("event of unknown kind: %+v", e)
	return -1
}

func stamp(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.UnixNano()
}

// goldenView generates a random view that usually contains most engines and occasionally has a fault of the
// catalog.
func goldenView(r *rand.Rand, index uint64) View {
	v := View{Agent: "one", Index: index}
	if r.IntN(12) == 0 {
		v.Index = index / 2
	}
	listedFraction := []float64{0.97, 0.97, 0.97, 0.5, 0}[r.IntN(5)]
	for id := range 9 {
		if r.Float64() >= listedFraction {
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

// writeOutcome writes everything that a registry reports to its callers. The text is part of the hashes.
func writeOutcome(t *testing.T, w io.Writer, reg *Registry) {
	t.Helper()
	for n, list := range [][]Engine{reg.Changes(), reg.Engines()} {
		for _, e := range list {
			fmt.Fprintf(w, "engine %d %s %s %s %s %d %d %q %d %d %d %s %q\n", n, e.ID, e.Addr, e.Kind, e.Zone, e.Cell, uint8(e.State), e.StateReason,
				stamp(e.Started), stamp(e.LastSeen), uint8(e.Confidence), e.ListedKind, e.Sources)
		}
	}
	var events []string
	for _, e := range reg.Events() { // sorted below, because sources are visited in random order
		events = append(events, fmt.Sprintf("note %d %s %s %q %d %v", eventKind(t, e), e.Source, e.Engine, string(e.Reason), e.Engines, e.Warn))
	}
	slices.Sort(events)
	fmt.Fprintln(w, strings.Join(events, "\n"))
	for _, s := range reg.SourceStatuses() {
		fmt.Fprintf(w, "source %s %q %d %d %d %d\n", s.Source, string(s.DistrustReason), stamp(s.UntrustedSince), stamp(s.LastTrusted), s.Index, s.Engines)
	}
	for _, s := range reg.KnownSources() {
		fmt.Fprintf(w, "known %d %s\n", uint8(s.Origin), s.Name)
	}
}

// hashRegistryRun applies random events to a registry and returns the hash of the results.
func hashRegistryRun(t *testing.T, seed uint64, steps int) uint64 {
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
				reg.RemoveSource(now, src, "operator")
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
			stored, indexes := reg.Snapshot()
			for _, e := range stored {
				fmt.Fprintf(h, "kept %d %s %s %s %s %s %d %d %d %d %d %d %d %d\n", uint8(e.Source.Origin), e.Source.Name, e.Entry.ID, e.Entry.Addr, e.Entry.Kind,
					e.Entry.Zone, e.Entry.Cell, uint8(e.Entry.Mark), stamp(e.Entry.Started), e.Entry.Registered, e.Entry.Index, stamp(e.FirstListed), stamp(e.LastSeen), stamp(e.Started))
			}
			for _, s := range reg.KnownSources() {
				fmt.Fprintf(h, "index %d\n", indexes[s])
			}
			if r.IntN(3) == 0 {
				reg = New(DefaultPolicy())
				reg.Restore(now, stored, indexes)
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
			if got := hashRegistryRun(t, seed, 3000); got != goldenDecisions[seed] {
				t.Errorf("seed %d: hash %#x, want %#x", seed, got, goldenDecisions[seed])
			}
		})
	}
}

func TestGoldenServicesAndGatewayCount(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 45))
	h := fnv.New64a()
	services, gateways, now := NewServiceTracker(DefaultPolicy(), []string{"s0", "s9"}), NewGatewayCount(2, 10*time.Second), t0
	for index := range uint64(5000) {
		now = now.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
		var tagged, untagged []string
		for n := range 6 {
			switch r.IntN(8) {
			case 0:
			case 1:
				untagged = append(untagged, fmt.Sprint("s", n))
			default:
				tagged = append(tagged, fmt.Sprint("s", n))
			}
		}
		v := goldenView(r, index+20)
		changes := services.Observe(now, v, tagged, untagged)
		fmt.Fprintf(h, "%q %q %q %q\n", string(changes.DistrustReason), changes.Added, changes.Untagged, changes.Missing)
		fmt.Fprintln(h, gateways.Observe(now, r.IntN(6)), gateways.Count(), gateways.Tick(now.Add(time.Second)), gateways.Count())
	}
	if got := h.Sum64(); got != goldenServices {
		t.Errorf("hash %#x, want %#x", got, uint64(goldenServices))
	}
}
