package rolectl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/internal/directory"
)

// Parameters of calls to engines.
const (
	engineTimeout      = 800 * time.Millisecond // less than tickInterval: an unresponsive engine must not delay ticks
	idleConnTimeout    = 10 * time.Second
	maxConcurrentPolls = 32
	maxReplyBytes      = 4 << 10
)

// States of engines in the directory's view.
const (
	stateGone      = "gone"
	stateInService = "in"
)

// engineReport is the body of GET /role; see docs/engine-roles.md.
type engineReport struct {
	rolechange.Report
	Slots       int     `json:"slots"`
	Queue       int     `json:"queue"`
	MemoryUsed  float64 `json:"memory"`
	Tokens      float64 `json:"tokens"`
	BusySeconds float64 `json:"busy_s"`
}

// poll requests the reports of all engines with a prefill or decode role, and records which engines
// do not answer. It returns when all calls have ended.
func (l *leader) poll(ctx context.Context, engines []directory.Engine) {
	var mu sync.Mutex
	var group sync.WaitGroup
	running := make(chan struct{}, maxConcurrentPolls)
	now, previous := time.Now(), l.unresponsiveSince
	// New maps drop the engines that are no longer listed.
	l.unresponsiveSince, l.reports = map[string]time.Time{}, map[string]*engineReport{}
	for _, e := range engines {
		if _, planned := roles.ParseRole(e.Role); !planned || e.State == stateGone {
			continue
		}
		running <- struct{}{}
		group.Go(func() {
			defer func() { <-running }()
			r, _, err := l.callEngine(ctx, http.MethodGet, e.Address, nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				l.reports[e.ID] = r
				return
			}
			since, unresponsive := previous[e.ID]
			if !unresponsive {
				since = now
			}
			l.unresponsiveSince[e.ID] = since
		})
	}
	group.Wait()
}

// callEngine sends a request to an engine's /role. The returned status is 0 if there was no response.
func (l *leader) callEngine(ctx context.Context, method, addr string, body []byte) (*engineReport, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/role", bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, 0, err
	}
	var r engineReport
	if resp.StatusCode == http.StatusNotFound {
		return nil, resp.StatusCode, fmt.Errorf("engine at %s does not support role changes", addr)
	}
	if err := jsoniter.Unmarshal(raw, &r); err != nil || r.Role == "" {
		return nil, resp.StatusCode, fmt.Errorf("engine at %s: malformed report: %w", addr, err)
	}
	return &r, resp.StatusCode, nil
}

// engineCommand is the body of PUT /role; see docs/engine-roles.md.
type engineCommand struct {
	Command      rolechange.Command `json:"command"`
	Role         string             `json:"role"`
	FencingToken uint64             `json:"fence"`
}

// sendCommand sends a command to an engine and stores the reply for the next tick.
func (l *leader) sendCommand(ctx context.Context, a rolechange.Action) {
	if !l.leaseValid() {
		return
	}
	body, err := jsoniter.Marshal(engineCommand{Command: a.Command, Role: a.Record.To, FencingToken: l.lease.FencingToken})
	if err != nil {
		return
	}
	_, status, err := l.callEngine(ctx, http.MethodPut, a.Record.Addr, body)
	switch {
	case status == http.StatusOK:
		l.replies[a.Record.Engine] = rolechange.Accepted
	case status == http.StatusConflict:
		l.replies[a.Record.Engine] = rolechange.Fenced
	case status != 0:
		l.replies[a.Record.Engine] = rolechange.Refused
	default:
		l.opt.Log.Info("engine command failed", "engine", a.Record.Engine, "command", string(a.Command), "cause", err)
	}
}
