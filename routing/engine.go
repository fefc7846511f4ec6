package routing

// engine is what this router knows of an engine. Each part is a type of its own, which only its own
// methods change.
type engine struct {
	EngineInfo
	kind   *Kind
	usable bool // active on the engine list, with a known kind and zone

	workload                    // this router's own work there
	cache     prefixCache       // what it is believed to have cached
	report    engineReport      // its latest load report
	probe     probeState        // the latest probe
	backlog   backlogEstimate   // what other routers have queued there
	pace      paceEstimate      // its speed against its peers
	failures  failureRecord     // its failures, and whether it is ejected
	backoffs  rejectionBackoffs // which requests it has lately rejected
	slowStart slowStartSends    // what was sent to it lately
}

func newEngine(name string) *engine {
	return &engine{
		EngineInfo: EngineInfo{Name: name}, cache: newPrefixCache(), pace: newPaceEstimate(),
		backoffs: rejectionBackoffs{map[string]Time{}},
	}
}

// restarted forgets what a new start of the engine undoes.
func (e *engine) restarted() {
	e.cache, e.pace, e.failures = newPrefixCache(), newPaceEstimate(), failureRecord{}
}

func (e *engine) role() Role {
	if e.kind == nil {
		return RoleNone
	}
	return e.kind.Role
}
