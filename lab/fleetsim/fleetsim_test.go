package fleetsim

import (
	"reflect"
	"testing"
)

func TestSameSeedSameFigures(t *testing.T) {
	for seed := range uint64(3) {
		a, b := Play(Draw(seed), Module, true), Play(Draw(seed), Module, true)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two plays differ", seed)
		}
	}
}

// The module keeps the rules on deployments unlike each other; so do the checkers tell a
// policy that does not: see TestCheckersSee.
func TestModuleKeepsTheRules(t *testing.T) {
	for seed := range uint64(12) {
		if r := Play(Draw(seed), Module, false); len(r.Broken) > 0 || r.Requests < 100 {
			t.Errorf("seed %d: %d requests, broken: %q", seed, r.Requests, r.Broken)
		}
	}
}
