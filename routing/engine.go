package routing

// engine is the state that this router records of one engine. Each component is a type that only its own
// methods modify.
type engine struct {
	EngineInfo
	kind   *EngineKind
	usable bool // active on the engine list, of a known kind and in a configured zone

	workload                          // prefills, answers and held state of this router at the engine
	cache        prefixCache          // estimated contents of its prefix cache
	report       engineReport         // its most recent load report
	probe        probeState           // its most recent probe
	backlog      backlogEstimate      // tokens that other routers have queued there
	latencyRatio latencyRatioEstimate // its time per token relative to its peers
	failures     failureRecord        // its failure rate and outlier ejection
	backoffs     rejectionBackoffs    // rate limit keys that it has recently rejected
	slowStart    slowStartSends       // recent sends, for the slow-start budget
}

func newEngine(name string) *engine {
	return &engine{
		EngineInfo: EngineInfo{Name: name}, cache: newPrefixCache(), latencyRatio: newLatencyRatioEstimate(),
		backoffs: rejectionBackoffs{map[string]Time{}},
	}
}

// resetForRestart discards state that a restart of the engine invalidates.
func (e *engine) resetForRestart() {
	e.cache, e.latencyRatio, e.failures = newPrefixCache(), newLatencyRatioEstimate(), failureRecord{}
}

func (e *engine) role() Role {
	if e.kind == nil {
		return RoleNone
	}
	return e.kind.Role
}
