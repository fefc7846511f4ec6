package core

import (
	"time"

	"wellgw/routing"
)

// requestTable holds the open requests and measures for how long there have been none. It is owned by
// the core's goroutine.
type requestTable struct {
	byID             map[routing.RequestID]*requestState
	clientRequestIDs map[string]int // uses of each id by requests and by lingering attempts
	lastID           routing.RequestID
	lastActive       time.Time // when a request was added, or idleFor last found one open
}

func newRequestTable() requestTable {
	return requestTable{byID: map[routing.RequestID]*requestState{}, clientRequestIDs: map[string]int{}}
}

func (t *requestTable) len() int { return len(t.byID) }

// newID returns an unused id. Ids count up and wrap around; those of open requests are skipped, as a long
// stream may still be open when its id is reached again.
func (t *requestTable) newID() routing.RequestID {
	for t.lastID++; t.byID[t.lastID] != nil; t.lastID++ {
	}
	return t.lastID
}

func (t *requestTable) add(request *requestState) {
	t.byID[request.ID] = request
	t.useClientID(request.ClientRequestID)
	t.lastActive = time.Now()
}

// remove removes a request and reports whether it was in the table. A request that was never added (a
// duplicate) may have the same id as an open one, which stays.
func (t *requestTable) remove(request *requestState) bool {
	if t.byID[request.ID] != request {
		return false
	}
	delete(t.byID, request.ID)
	t.freeClientID(request.ClientRequestID)
	return true
}

// useClientID marks a client request id as in use by one more request or lingering attempt.
func (t *requestTable) useClientID(id string) { t.clientRequestIDs[id]++ }

// freeClientID ends one use of a client request id.
func (t *requestTable) freeClientID(id string) {
	if t.clientRequestIDs[id]--; t.clientRequestIDs[id] <= 0 {
		delete(t.clientRequestIDs, id)
	}
}

// idleFor returns the time since a request was last added or found open by this method.
func (t *requestTable) idleFor() time.Duration {
	if t.len() > 0 {
		t.lastActive = time.Now()
	}
	return time.Since(t.lastActive)
}
