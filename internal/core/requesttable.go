package core

import (
	"time"

	"wellgw/routing"
)

// requestTable holds the requests in hand, and knows for how long there have been none. It is owned
// by the core's goroutine.
type requestTable struct {
	byID             map[routing.RequestID]*requestState
	clientRequestIDs map[string]bool
	lastID           routing.RequestID
	lastActive       time.Time // when a request came, or was seen in hand
}

func newRequestTable() requestTable {
	return requestTable{byID: map[routing.RequestID]*requestState{}, clientRequestIDs: map[string]bool{}}
}

func (t *requestTable) len() int { return len(t.byID) }

// newID returns an id for a request. Ids count up and wrap; one that is still in hand is passed
// over, as a stream may outlast any number of others.
func (t *requestTable) newID() routing.RequestID {
	for t.lastID++; t.byID[t.lastID] != nil; t.lastID++ {
	}
	return t.lastID
}

func (t *requestTable) add(request *requestState) {
	t.byID[request.ID], t.clientRequestIDs[request.ClientRequestID] = request, true
	t.lastActive = time.Now()
}

// remove takes a request out, and reports whether it was in hand: one that was never added may
// bear the id of another.
func (t *requestTable) remove(request *requestState) bool {
	if t.byID[request.ID] != request {
		return false
	}
	delete(t.byID, request.ID)
	delete(t.clientRequestIDs, request.ClientRequestID)
	return true
}

// idleFor returns for how long no request has come and none has been seen in hand.
func (t *requestTable) idleFor() time.Duration {
	if t.len() > 0 {
		t.lastActive = time.Now()
	}
	return time.Since(t.lastActive)
}
