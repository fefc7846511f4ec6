package routing

// engine is what this router knows of an engine. Each part is a type of its own, which only its own
// methods change.
type engine struct {
	EngineInfo
	kind   *EngineKind
	usable bool // active on the engine list, with a known kind and zone

	workload                          // this router's own work there
	cache        prefixCache          // what it is believed to have cached
	report       engineReport         // its latest load report
	probe        probeState           // the latest probe
	backlog      backlogEstimate      // what other routers have queued there
	latencyRatio latencyRatioEstimate // its speed against its peers
	failures     failureRecord        // its failures, and whether it is ejected
	backoffs     rejectionBackoffs    // which requests it has lately rejected
	slowStart    slowStartSends       // what was sent to it lately
}

func newEngine(name string) *engine {
	return &engine{
		EngineInfo: EngineInfo{Name: name}, cache: newPrefixCache(), latencyRatio: newLatencyRatioEstimate(),
		backoffs: rejectionBackoffs{map[string]Time{}},
	}
}

// resetForRestart forgets what a new start of the engine undoes.
func (e *engine) resetForRestart() {
	e.cache, e.latencyRatio, e.failures = newPrefixCache(), newLatencyRatioEstimate(), failureRecord{}
}

func (e *engine) role() Role {
	if e.kind == nil {
		return RoleNone
	}
	return e.kind.Role
}
