package upstream_test

import "time"

// stage is a point in the course of a request at which a scenario may have something happen.
type stage string

const (
	stageDialing  stage = "a connection is opened"
	stageReading  stage = "a prefill engine has the request"
	stageHeld     stage = "its state is held"
	stageRead     stage = "its read has been answered"
	stageWaiting  stage = "a decode engine has the request"
	stageStream   stage = "its answer has begun"
	stageReleased stage = "a release has arrived"
)

var stages = []stage{stageDialing, stageReading, stageHeld, stageRead, stageWaiting, stageStream, stageReleased}

// trigger runs a function, once, when a request reaches a stage.
type trigger struct {
	id    string // of the request; "" for any
	stage stage
	skip  int // so many times it is passed over
	run   func()
}

// on adds a trigger.
func (f *simFleet) on(t trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.triggers = append(f.triggers, &t)
}

// reached runs the triggers of a stage. The lock is held.
func (f *simFleet) reached(id string, at stage) {
	rest := f.triggers[:0]
	for _, t := range f.triggers {
		met := t.stage == at && (t.id == "" || t.id == id || id == "")
		switch {
		case met && t.skip > 0:
			t.skip--
			rest = append(rest, t)
		case met:
			f.note("%s: %s", id, at)
			go t.run()
		default:
			rest = append(rest, t)
		}
	}
	f.triggers = rest
}

// processEnds records that the gateway's process has ended. What was held out of its reach,
// and what a read leaves that ends afterwards, nobody can release.
func (f *simFleet) processEnds(killed bool) {
	f.mu.Lock()
	f.note("the gateway's process has ended, killed: %v", killed)
	f.ended, f.killed = time.Now(), killed
	for _, r := range f.records {
		if len(r.held) > 0 && (killed || !f.reachable(r)) {
			f.note("out of reach to the end: %v", r.held)
			clear(r.held)
			r.since = time.Time{}
		}
	}
	f.mu.Unlock()
	for _, link := range f.links {
		link.reset()
	}
}

// readAfterEnd records a read that ends once the gateway's process has. It is a fault where
// the process had time left to wait for it. The lock is held.
func (f *simFleet) readAfterEnd(id, engine string) {
	f.note("%s is read at %s once the gateway has ended", id, engine)
	if !f.killed {
		f.broken = append(f.broken, id+" was read at "+engine+" once the gateway had ended of itself")
	}
}
