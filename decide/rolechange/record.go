package rolechange

import "time"

// Step is the current step of a role change. The values are stored in records.
type Step string

// The steps. Gateways route no new requests to the engine from Announced to Flipping, and in
// RollingBack. In Warming and Settled they route to it in its new role, with a cache that has been
// cold since FlippedAt.
const (
	Announced   Step = "announced" // waits until the gateways have confirmed the record
	Draining    Step = "draining"  // the engine completes its requests of the old role
	Flipping    Step = "flipping"  // the engine receives the command to switch to its new role
	Warming     Step = "warming"   // the engine has its new role, and a cold cache
	Settled     Step = "settled"   // in service; the record remains until the catalogue lists the new role
	RollingBack Step = "undoing"   // the engine receives the command to cancel its drain and keep its old role
)

// Record is a role change as it is stored, in JSON.
type Record struct {
	Engine        string    `json:"engine"`
	Addr          string    `json:"addr"`
	Rack          int       `json:"rack"`
	From          string    `json:"from"`
	To            string    `json:"to"`
	Step          Step      `json:"step"`
	FencingToken  uint64    `json:"fence"` // of the leader that last wrote it
	Leader        string    `json:"owner"`
	StartedAt     time.Time `json:"begun"`
	StepStartedAt time.Time `json:"since"`
	FlippedAt     time.Time `json:"flipped,omitempty"` // when the engine first reported its new role
	Reason        string    `json:"why"`
}

// Routing returns how gateways route to the engine while the record exists: whether they route no
// new requests to it, its role, and since when its cache has been cold in that role.
func (r Record) Routing() (paused bool, role string, coldSince time.Time) {
	switch r.Step {
	case Warming, Settled:
		return false, r.To, r.FlippedAt
	}
	return true, r.From, time.Time{}
}
