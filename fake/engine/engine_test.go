package engine

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, o Options, warm bool) (*Fleet, *Engine) {
	t.Helper()
	f := NewFleet()
	t.Cleanup(f.Close)
	e, err := f.Start(o, warm)
	if err != nil {
		t.Fatal(err)
	}
	return f, e
}

func post(t *testing.T, e *Engine, id, text string) (int, string, error) {
	t.Helper()
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","max_tokens":3,"messages":[{"content":"`+text+`"}]}`))
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func TestPrefillAndDecode(t *testing.T) {
	f, prefillEngine := start(t, Options{ID: "r", Role: Read}, true)
	decodeEngine, err := f.Start(Options{ID: "w", Role: Write}, true)
	if err != nil {
		t.Fatal(err)
	}
	if status, _, _ := post(t, decodeEngine, "q1", "order-id o1"); status != http.StatusGone {
		t.Errorf("decode without a held state: status %d", status)
	}
	if status, body, _ := post(t, prefillEngine, "q1", "order-id o1"); status != http.StatusAccepted || !strings.Contains(body, "cached_tokens") {
		t.Errorf("prefill: status %d, body %s", status, body)
	}
	if f.CountHeldStates(0) != 1 {
		t.Error("no state is held after prefill")
	}
	for i, want := range []int{http.StatusOK, http.StatusGone} {
		if status, body, _ := post(t, decodeEngine, "q1", "order-id o1"); status != want || i == 0 && strings.Count(body, `"content"`) != 3 {
			t.Errorf("decode %d: status %d, body %s", i, status, body)
		}
	}
	if got := DuplicateExecutions(f.Attempts(), func(string) bool { return true }); len(got) > 0 || f.CountHeldStates(0) > 0 {
		t.Errorf("duplicate executions %v; held states %d", got, f.CountHeldStates(0))
	}
}

// The checkers must report duplicate executions and attempts in spans without new work.
func TestCheckersReportViolations(t *testing.T) {
	f, e := start(t, Options{ID: "e", Role: OpenAI}, true)
	begin := time.Now()
	for range 2 {
		if status, _, err := post(t, e, "q", "order-id o9 and more"); status != http.StatusOK || err != nil {
			t.Fatal(status, err)
		}
	}
	if got := DuplicateExecutions(f.Attempts(), func(o string) bool { return o == "o9" }); len(got) != 1 {
		t.Errorf("duplicate executions: %v, want 1", got)
	}
	if got := DuplicateExecutions(f.Attempts(), func(string) bool { return false }); len(got) != 0 {
		t.Errorf("duplicate executions of repeatable operations: %v, want none", got)
	}
	if got := AttemptsInSpans(f.Attempts(), []Span{{Engine: "e", From: begin, Reason: "x"}, {Engine: "f", From: begin}}); len(got) != 1 {
		t.Errorf("attempts in spans: %v, want 1", got)
	}
}

func TestCapacityDrainAndOverload(t *testing.T) {
	_, e := start(t, Options{ID: "e", Role: OpenAI, Memory: 10}, true)
	if status, _, _ := post(t, e, "q", strings.Repeat("x", 100)); status != http.StatusTooManyRequests {
		t.Errorf("prompt above the memory: status %d", status)
	}
	e.Drain(true)
	if status, _, _ := post(t, e, "q", ""); status != http.StatusTooManyRequests {
		t.Errorf("draining: status %d", status)
	}
	f, cold := start(t, Options{ID: "c", Role: Both, Slots: 1, WarmUp: time.Hour, OverloadFactor: 0.001}, false)
	if _, _, err := post(t, cold, "q", "x"); err == nil || f.OverloadCrashes() != 1 {
		t.Errorf("overload of a cold engine: error %v, %d crashes", err, f.OverloadCrashes())
	}
	if err := cold.Restart(true); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.Get("http://" + cold.Addr() + "/healthz"); err != nil || resp.StatusCode != http.StatusOK {
		t.Error("the engine is not healthy after a restart")
	}
}

func TestRoleCommands(t *testing.T) {
	f, e := start(t, Options{ID: "e", Role: Read, WarmUp: time.Hour}, true)
	sendCommand := func(command, role string, fence int) int {
		t.Helper()
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+e.Addr()+"/role",
			strings.NewReader(`{"command":"`+command+`","role":"`+role+`","fence":`+strconv.Itoa(fence)+`}`))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if status, _, _ := post(t, e, "q1", "x"); status != http.StatusAccepted {
		t.Fatal(status)
	}
	for i, c := range []struct {
		command, role string
		fence, want   int
	}{
		{"flip", "write", 5, 422}, {"drain", "openai", 5, 422}, {"drain", "write", 5, 200}, {"drain", "write", 5, 200},
		{"flip", "write", 5, 422}, // rejected: a state is held
		{"cancel", "write", 4, 409}, {"cancel", "write", 6, 200}, {"drain", "write", 6, 200},
	} {
		if got := sendCommand(c.command, c.role, c.fence); got != c.want {
			t.Errorf("step %d: status %d, want %d", i, got, c.want)
		}
	}
	if status, _, _ := post(t, e, "q2", "x"); status != http.StatusServiceUnavailable {
		t.Errorf("new request during draining: status %d", status)
	}
	f.releaseState("q1")
	if got := sendCommand("flip", "write", 6); got != 200 || e.CurrentRole() != Write {
		t.Errorf("flip: status %d, role %s", got, e.CurrentRole())
	}
	if got := sendCommand("flip", "write", 6); got != 200 {
		t.Errorf("second flip: status %d", got)
	}
	if err := e.Restart(false); err != nil || e.CurrentRole() != Read {
		t.Errorf("role after a restart: %s, error %v", e.CurrentRole(), err)
	}
}
