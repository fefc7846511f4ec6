package engine

import (
	"io"
	"net/http"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// roleBody is the response body of /role; see docs/engine-roles.md.
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

// RefuseRoleChanges sets whether the engine rejects all role commands.
func (e *Engine) RefuseRoleChanges(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusesRoleChanges = on
}

// ReportRole makes the engine report a role other than its actual one; "" restores the actual one.
func (e *Engine) ReportRole(role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedRole = role
}

// CurrentRole returns the engine's actual role.
func (e *Engine) CurrentRole() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Role
}

// heldStatesAt returns the number of states held at an engine.
func (f *Fleet) heldStatesAt(e *Engine) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.states {
		if s.engine == e {
			n++
		}
	}
	return n
}

// role answers a request to /role: the engine's status or a role command.
func (e *Engine) role(w http.ResponseWriter, r *http.Request) {
	held := e.fleet.heldStatesAt(e)
	status := http.StatusOK
	e.mu.Lock()
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		var c struct {
			Command, Role string
			Fence         uint64
		}
		raw, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if jsoniter.Unmarshal(raw, &c) != nil {
			status = http.StatusBadRequest
			break
		}
		status = e.command(c.Command, c.Role, c.Fence, held)
	default:
		status = http.StatusMethodNotAllowed
	}
	body := roleBody{
		Role: e.Role, Draining: e.roleDraining, Running: e.running + len(e.waiting), Held: held, Fence: e.fencingToken, Started: e.started,
		Slots: e.Slots, Queue: len(e.waiting), Memory: float64(e.memoryUsed) / float64(e.Memory),
		Tokens: e.processedTokens, Busy: e.busyTime.Seconds(),
	}
	if e.reportedRole != "" {
		body.Role = e.reportedRole
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = jsoniter.NewEncoder(w).Encode(body)
}

// command executes one role command and returns the HTTP status. The caller holds e.mu.
func (e *Engine) command(command, role string, fence uint64, held int) int {
	if fence < e.fencingToken {
		return http.StatusConflict
	}
	e.fencingToken = fence
	if e.refusesRoleChanges || role != Read && role != Write || e.Role != Read && e.Role != Write {
		return http.StatusUnprocessableEntity
	}
	switch command {
	case "drain":
		e.roleDraining = e.roleDraining || e.Role != role
	case "flip":
		if e.Role == role {
			return http.StatusOK // the role was changed before
		}
		if !e.roleDraining || e.running+len(e.waiting)+held > 0 {
			return http.StatusUnprocessableEntity
		}
		e.Role, e.roleDraining, e.roleChangedAt = role, false, time.Now()
		e.coldWork, e.prefixCache, e.processedTokens, e.busyTime = nil, map[string]int{}, 0, 0
	case "cancel":
		e.roleDraining = false
	default:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

// SetRole changes the engine's role immediately, without draining or a cold phase. Only an oracle baseline
// can do so; real engines can't.
func (e *Engine) SetRole(role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Role = role
}

// OccupySlots occupies a number of slots permanently.
func (e *Engine) OccupySlots(slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += slots
}
