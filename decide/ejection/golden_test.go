package ejection

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"wellgw/internal/golden"
	"wellgw/routing"
)

// recorder adds sets of engines to golden.Recorder.
type recorder struct{ golden.Recorder }

func (r recorder) names(names []string) {
	r.Number(int64(len(names)))
	r.Text(names...)
}

// TestGoldenResults sends drawn events to the set and compares a hash of all its results with the one
// recorded before the code's names were changed.
func TestGoldenResults(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "3801168aaf7f8fee970050c155c4c6dadd6ffa2561f019a36c1753e8df40d5cb",
		2: "dcf709c5e277d1df9d9c4ce008b96c4918dcb076548773c349c8629e3d3cee7f",
		3: "0df44bb8625c4038d491e7b8ccba88c2acfb751da4f53fdab80906ed8850c4e4",
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := goldenRun(seed); got != want {
				t.Errorf("hash %s, want %s", got, want)
			}
		})
	}
}

func goldenRun(seed uint64) string {
	const steps, engines = 20_000, 12
	rng := rand.New(rand.NewPCG(seed, 45))
	rec := recorder{golden.NewRecorder()}
	set := New()
	now := routing.Time(0)
	drawName := func() string { return fmt.Sprint("e", rng.IntN(engines)) }
	for range steps {
		now += routing.Time(rng.IntN(1000))
		kind := rng.IntN(8)
		rec.Number(int64(kind), int64(now))
		switch kind {
		case 0:
			set.Register(drawName())
		case 1, 2, 3:
			change, ok := set.SetEjected(drawName(), rng.IntN(2) == 0, now)
			rec.names(change.Ejected)
			rec.names(change.Restored)
			rec.Flag(ok)
		case 4:
			if rng.IntN(4) > 0 {
				continue
			}
			var names []string
			for range rng.IntN(4) {
				names = append(names, drawName())
			}
			change := set.Replace(names, now)
			rec.names(change.Ejected)
			rec.names(change.Restored)
		case 5, 6:
			phases := []routing.Phase{routing.PhaseActive, routing.PhaseDraining}
			info := set.EffectiveInfo(routing.EngineInfo{
				Name: drawName(), Phase: phases[rng.IntN(len(phases))], StartTime: max(0, now-routing.Time(rng.IntN(5000))),
			})
			rec.names([]string{info.Name})
			rec.Number(int64(info.Phase), int64(info.StartTime))
		case 7:
			name := drawName()
			rec.Flag(set.Registered(name))
			rec.Flag(set.Ejected(name))
			rec.names(set.Names())
		}
	}
	// Register more names than the limit: the oldest are removed first.
	for i := range MaxRegisteredNames + 100 {
		set.Register(fmt.Sprint("n", i))
	}
	for i := range engines {
		rec.Flag(set.Registered(fmt.Sprint("e", i)))
	}
	for i := range 200 {
		rec.Flag(set.Registered(fmt.Sprint("n", i)))
	}
	return rec.Hash()
}
