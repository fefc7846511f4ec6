package upstream_test

import "time"

// stage is a point in the course of a request at which a scenario may trigger an event.
type stage string

const (
	stageDialing   stage = "a connection is opened"
	stagePrefill   stage = "a prefill engine has the request"
	stageHeld      stage = "its state is held"
	stagePrefilled stage = "its prefill has been answered"
	stageDecode    stage = "a decode engine has the request"
	stageStream    stage = "its answer has begun"
	stageReleased  stage = "a release has arrived"
)

var stages = []stage{stageDialing, stagePrefill, stageHeld, stagePrefilled, stageDecode, stageStream, stageReleased}

// trigger runs a function once when a request reaches a stage.
type trigger struct {
	id    string // of the request; "" for any
	stage stage
	skip  int // number of matches to skip first
	run   func()
}

// addTrigger adds a trigger.
func (f *simFleet) addTrigger(t trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.triggers = append(f.triggers, &t)
}

// runTriggers runs the triggers of a stage. The caller holds the lock.
func (f *simFleet) runTriggers(id string, at stage) {
	remaining := f.triggers[:0]
	for _, t := range f.triggers {
		matches := t.stage == at && (t.id == "" || t.id == id || id == "")
		switch {
		case matches && t.skip > 0:
			t.skip--
			remaining = append(remaining, t)
		case matches:
			f.logStepLocked("%s: %s", id, at)
			go t.run()
		default:
			remaining = append(remaining, t)
		}
	}
	f.triggers = remaining
}

// processExited records that the gateway's process has exited, and excludes the state that it can't
// release: state at engines that it could not reach, and all state if it was killed.
func (f *simFleet) processExited(killed bool) {
	f.mu.Lock()
	f.logStepLocked("the gateway's process has exited, killed: %v", killed)
	f.exitedAt, f.killed = time.Now(), killed
	for _, r := range f.records {
		if len(r.heldAt) > 0 && (killed || !f.reachable(r)) {
			f.logStepLocked("unreachable at the exit: %v", r.heldAt)
			clear(r.heldAt)
			r.heldSince = time.Time{}
		}
	}
	f.mu.Unlock()
	for _, link := range f.links {
		link.reset()
	}
}

// prefillAfterExit records a prefill that ends after the gateway's process exited, when its state
// can no longer be released. This violates the rules unless the process was killed, as it had to
// wait for the prefill. The caller holds the lock.
func (f *simFleet) prefillAfterExit(id, engine string) {
	f.logStepLocked("%s is prefilled at %s after the exit of the gateway", id, engine)
	if !f.killed {
		f.violations = append(f.violations, id+" was prefilled at "+engine+" after the gateway exited without being killed")
	}
}
