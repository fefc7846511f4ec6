package fleetsim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"runtime"
	"testing"

	"wellgw/routing"
)

// recorder hashes what a gateway's router does. All gateways of a play share one hash, so that
// the order between them counts, too.
type recorder struct {
	Decider
	number int
	hash   hash.Hash
	sends  *int
	t      *testing.T
}

func (r recorder) Handle(now routing.Time, ev routing.Event) []routing.Action {
	actions := r.Decider.Handle(now, ev)
	for _, a := range actions {
		r.record(now, a)
	}
	return actions
}

// record hashes one action: the gateway, the time, the number of its kind, and its fields in order.
func (r recorder) record(now routing.Time, action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		*r.sends++
		r.put(now, 1, a.Engine, int64(a.ID), int64(a.Timeout))
	case routing.Reject:
		quota := int64(0)
		if a.OverQuota {
			quota = 1
		}
		r.put(now, 2, "", int64(a.ID), int64(a.RetryAfter), quota)
	case routing.Fail:
		r.put(now, 3, "", int64(a.ID))
	case routing.CancelAttempt:
		r.put(now, 4, "", int64(a.ID), int64(a.Attempt))
	case routing.Release:
		r.put(now, 5, "", int64(a.ID))
	case routing.SetTimer:
		r.put(now, 6, a.Name, int64(a.After))
	case routing.Probe:
		r.put(now, 7, a.Engine)
	case routing.Subscribe:
		r.put(now, 8, "")
	default:
		r.t.Fatalf("an action of a kind with no number: %v", action)
	}
}

func (r recorder) put(now routing.Time, kind int64, name string, values ...int64) {
	b := binary.BigEndian.AppendUint64(nil, uint64(r.number))
	for _, v := range append([]int64{int64(now), kind, int64(len(name))}, values...) {
		b = binary.BigEndian.AppendUint64(b, uint64(v))
	}
	r.hash.Write(append(b, name...))
}

// The hashes are of every action of all routers of a play, in order. They pin today's decisions:
// a change of shape or of names leaves them as they are; one that is meant to decide otherwise
// replaces them and says so. Kinds of actions are hashed as numbers, so that no Go name is in
// them. They hold for amd64, where no floating-point operations are fused.
func TestActionsAreAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the hashes are of amd64")
	}
	fleet := func(gateways int) func(uint64) *Deployment {
		return func(seed uint64) *Deployment { return Fleet(seed, gateways) }
	}
	for _, c := range []struct {
		name  string
		draw  func(seed uint64) *Deployment
		seed  uint64
		long  bool // left out of the short run
		sends int  // at least; a play of nothing pins nothing
		want  string
	}{
		{"a few engines", Draw, 0, false, 500, "23b1e429d3f9c052"},
		{"a few engines", Draw, 1, false, 500, "d35d427a94f4b046"},
		{"a few engines", Draw, 2, false, 500, "04007a06b768a4de"},
		{"a few engines", Draw, 3, true, 500, "5cc8600ca231e117"},
		{"a few engines", Draw, 4, true, 500, "6f6f45413d3f2d46"},
		{"a few engines", Draw, 5, true, 500, "3d10c9b932197bd5"},
		{"a fleet of 6 gateways", fleet(6), 1, true, 500, "751d79ecb9b487ed"},
		{"a fleet of 6 gateways", fleet(6), 2, true, 500, "cec18656b534ae42"},
		{"a fleet of 60 gateways", fleet(60), 1, true, 500, "17efe40cc8ca6641"},
	} {
		t.Run(fmt.Sprint(c.name, "/", c.seed), func(t *testing.T) {
			if c.long {
				long(t)
			}
			t.Parallel()
			sum, sends, routers := sha256.New(), 0, 0
			d := c.draw(c.seed)
			r := Play(d, func(set routing.Settings, seed uint64) Decider {
				routers++
				return recorder{Module(set, seed), routers, sum, &sends, t}
			}, false)
			got := hex.EncodeToString(sum.Sum(nil)[:8])
			t.Logf("%d requests, %d sends, %d troubles", r.Requests, sends, len(d.Troubles))
			if sends < c.sends || routers != len(d.Gateways) || len(d.Troubles) == 0 {
				t.Errorf("%d sends by %d routers in %d troubles", sends, routers, len(d.Troubles))
			}
			if got != c.want {
				t.Errorf("actions hash to %s, recorded are %s", got, c.want)
			}
		})
	}
}
