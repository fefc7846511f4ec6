package engine

import (
	"io"
	"net/http"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// roleBody is the body of /role; see docs/engine-roles.md.
type roleBody struct {
	Role     string    `json:"role"`
	Draining bool      `json:"draining"`
	Running  int       `json:"running"`
	Held     int       `json:"held"`
	Fence    uint64    `json:"fence"`
	Started  time.Time `json:"started"`
	Slots    int       `json:"slots"`
	Queue    int       `json:"queue"`
	Memory   float64   `json:"memory"`
	Tokens   float64   `json:"tokens"`
	Busy     float64   `json:"busy_s"`
}

// RefuseRoleChanges has the engine turn down every change of its role from now on.
func (e *Engine) RefuseRoleChanges(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuses = on
}

// ReportRole has the engine say that it is of another role than it is; "" ends that.
func (e *Engine) ReportRole(role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lies = role
}

// CurrentRole is what the engine does at present.
func (e *Engine) CurrentRole() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Role
}

// heldAt counts the read states that wait at an engine.
func (f *Fleet) heldAt(e *Engine) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.states {
		if s.at == e {
			n++
		}
	}
	return n
}

func (e *Engine) role(w http.ResponseWriter, r *http.Request) {
	held := e.fleet.heldAt(e)
	status := http.StatusOK
	e.mu.Lock()
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		var c struct {
			Command, Role string
			Fence         uint64
		}
		raw, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if jsoniter.Unmarshal(raw, &c) != nil {
			status = http.StatusBadRequest
			break
		}
		status = e.command(c.Command, c.Role, c.Fence, held)
	default:
		status = http.StatusMethodNotAllowed
	}
	body := roleBody{
		Role: e.Role, Draining: e.changing, Running: e.running + len(e.waiting), Held: held, Fence: e.fence, Started: e.started,
		Slots: e.Slots, Queue: len(e.waiting), Memory: float64(e.memory) / float64(e.Memory),
		Tokens: e.tokens, Busy: e.busy.Seconds(),
	}
	if e.lies != "" {
		body.Role = e.lies
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = jsoniter.NewEncoder(w).Encode(body)
}

// command carries out one command. The lock is held.
func (e *Engine) command(command, role string, fence uint64, held int) int {
	if fence < e.fence {
		return http.StatusConflict
	}
	e.fence = fence
	if e.refuses || role != Read && role != Write || e.Role != Read && e.Role != Write {
		return http.StatusUnprocessableEntity
	}
	switch command {
	case "drain":
		e.changing = e.changing || e.Role != role
	case "flip":
		if e.Role == role {
			return http.StatusOK // done before
		}
		if !e.changing || e.running+len(e.waiting)+held > 0 {
			return http.StatusUnprocessableEntity
		}
		e.Role, e.changing, e.flipped = role, false, time.Now()
		e.work, e.kept, e.tokens, e.busy = nil, map[string]int{}, 0, 0
	case "cancel":
		e.changing = false
	default:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

// SetRole gives the engine another role at once, as only an oracle can: nothing is drained
// and it is warm.
func (e *Engine) SetRole(role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Role = role
}

// OccupySlots takes so many of the engine's slots for work that never ends.
func (e *Engine) OccupySlots(slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += slots
}
