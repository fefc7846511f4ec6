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

// The owner's margins.
const (
	engineTimeout      = 800 * time.Millisecond
	maxConcurrentPolls = 32 // engines asked at once
	maxReplyBytes      = 4 << 10
)

// engineReport is the body of GET /role; see docs/engine-roles.md.
type engineReport struct {
	rolechange.Report
	Slots  int     `json:"slots"`
	Queue  int     `json:"queue"`
	Memory float64 `json:"memory"`
	Tokens float64 `json:"tokens"`
	Busy   float64 `json:"busy_s"`
}

// poll asks all engines of either role how they are.
func (h *leader) poll(ctx context.Context, engines []directory.Engine) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	now, silent := time.Now(), h.silentSince
	h.silentSince, h.reports = map[string]time.Time{}, map[string]*engineReport{} // who is gone is forgotten
	for _, e := range engines {
		if _, planned := roles.RoleOf(e.Role); !planned || e.State == "gone" {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r, _, err := h.callEngine(ctx, http.MethodGet, e.Address, nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				h.reports[e.ID] = r
			} else if h.silentSince[e.ID] = silent[e.ID]; h.silentSince[e.ID].IsZero() {
				h.silentSince[e.ID] = now
			}
		})
	}
	group.Wait()
}

func (h *leader) callEngine(ctx context.Context, method, addr string, body []byte) (*engineReport, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/role", bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	resp, err := h.http.Do(req)
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
		return nil, resp.StatusCode, fmt.Errorf("engine at %s never changes its role", addr)
	}
	if err := jsoniter.Unmarshal(raw, &r); err != nil || r.Role == "" {
		return nil, resp.StatusCode, fmt.Errorf("engine at %s: no report: %w", addr, err)
	}
	return &r, resp.StatusCode, nil
}

// sendCommand gives the engine a command and keeps its reply for the next tick.
func (h *leader) sendCommand(ctx context.Context, a rolechange.Action) {
	if !h.leaseValid() {
		return
	}
	body, err := jsoniter.Marshal(map[string]any{"command": string(a.Command), "role": a.Record.To, "fence": h.lease.FencingToken})
	if err != nil {
		return
	}
	_, status, err := h.callEngine(ctx, http.MethodPut, a.Record.Addr, body)
	switch {
	case status == http.StatusOK:
		h.replies[a.Record.Engine] = rolechange.Accepted
	case status == http.StatusConflict:
		h.replies[a.Record.Engine] = rolechange.Fenced
	case status != 0:
		h.replies[a.Record.Engine] = rolechange.Refused
	default:
		h.opt.Log.Info("an engine was not told", "engine", a.Record.Engine, "command", string(a.Command), "cause", err)
	}
}
