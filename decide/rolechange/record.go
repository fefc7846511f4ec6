package rolechange

import "time"

// Step is how far a change has come. The values are stored in records.
type Step string

// The steps. Gateways route no new requests to the engine from Announced to Flipping, and in
// RollingBack; from Warming on they take it as an engine of its new role, cold since FlippedAt.
const (
	Announced   Step = "announced" // until the gateways have confirmed it
	Draining    Step = "draining"  // the engine completes its requests of the old role
	Flipping    Step = "flipping"  // the engine is told to take its new role
	Warming     Step = "warming"   // the engine has its new role, and a cold cache
	Settled     Step = "settled"   // in service; the record stands until the catalogue says the same
	RollingBack Step = "undoing"   // the engine is to keep its old role
)

// Record is a change as it is stored, in JSON.
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
	FlippedAt     time.Time `json:"flipped,omitempty"` // when the engine was seen in its new role
	Reason        string    `json:"why"`
}

// Routing returns how gateways route to the engine while the record stands: whether they
// hold new requests back, its role, and since when it has been cold in it.
func (r Record) Routing() (hold bool, role string, cold time.Time) {
	switch r.Step {
	case Warming, Settled:
		return false, r.To, r.FlippedAt
	}
	return true, r.From, time.Time{}
}
