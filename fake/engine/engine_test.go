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

func ask(t *testing.T, e *Engine, id, text string) (int, string, error) {
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

func TestTwoStages(t *testing.T) {
	f, reader := start(t, Options{ID: "r", Role: Read}, true)
	writer, err := f.Start(Options{ID: "w", Role: Write}, true)
	if err != nil {
		t.Fatal(err)
	}
	if status, _, _ := ask(t, writer, "q1", "order-id o1"); status != http.StatusGone {
		t.Errorf("without a state: %d", status)
	}
	if status, body, _ := ask(t, reader, "q1", "order-id o1"); status != http.StatusAccepted || !strings.Contains(body, "cached_tokens") {
		t.Errorf("read: %d %s", status, body)
	}
	if f.CountHeldStates(0) != 1 {
		t.Error("no state is held")
	}
	for i, want := range []int{http.StatusOK, http.StatusGone} {
		if status, body, _ := ask(t, writer, "q1", "order-id o1"); status != want || i == 0 && strings.Count(body, `"content"`) != 3 {
			t.Errorf("write %d: %d %s", i, status, body)
		}
	}
	if got := DuplicateExecutions(f.Attempts(), func(string) bool { return true }); len(got) > 0 || f.CountHeldStates(0) > 0 {
		t.Errorf("ran twice: %v; held %d", got, f.CountHeldStates(0))
	}
}

// What must not happen is seen when it does happen.
func TestTheChecker(t *testing.T) {
	f, e := start(t, Options{ID: "e", Role: OpenAI}, true)
	begun := time.Now()
	for range 2 {
		if status, _, err := ask(t, e, "q", "order-id o9 and more"); status != http.StatusOK || err != nil {
			t.Fatal(status, err)
		}
	}
	if got := DuplicateExecutions(f.Attempts(), func(o string) bool { return o == "o9" }); len(got) != 1 {
		t.Errorf("ran twice: %v", got)
	}
	if got := DuplicateExecutions(f.Attempts(), func(string) bool { return false }); len(got) != 0 {
		t.Errorf("may run twice: %v", got)
	}
	if got := AttemptsInSpans(f.Attempts(), []Span{{Engine: "e", From: begun, Reason: "x"}, {Engine: "f", From: begun}}); len(got) != 1 {
		t.Errorf("work in a span: %v", got)
	}
}

func TestEngineStates(t *testing.T) {
	_, e := start(t, Options{ID: "e", Role: OpenAI, Memory: 10}, true)
	if status, _, _ := ask(t, e, "q", strings.Repeat("x", 100)); status != http.StatusTooManyRequests {
		t.Errorf("without memory: %d", status)
	}
	e.Drain(true)
	if status, _, _ := ask(t, e, "q", ""); status != http.StatusTooManyRequests {
		t.Errorf("draining: %d", status)
	}
	f, cold := start(t, Options{ID: "c", Role: Both, Slots: 1, WarmUp: time.Hour, OverloadFactor: 0.001}, false)
	if _, _, err := ask(t, cold, "q", "x"); err == nil || f.OverloadCrashes() != 1 {
		t.Errorf("pushed: %v, %d fallen", err, f.OverloadCrashes())
	}
	if err := cold.Restart(true); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.Get("http://" + cold.Addr() + "/healthz"); err != nil || resp.StatusCode != http.StatusOK {
		t.Error("it has not come back")
	}
}

func TestRoleCommands(t *testing.T) {
	f, e := start(t, Options{ID: "e", Role: Read, WarmUp: time.Hour}, true)
	tell := func(command, role string, fence int) int {
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
	if status, _, _ := ask(t, e, "q1", "x"); status != http.StatusAccepted {
		t.Fatal(status)
	}
	for i, c := range []struct {
		command, role string
		fence, want   int
	}{
		{"flip", "write", 5, 422}, {"drain", "openai", 5, 422}, {"drain", "write", 5, 200}, {"drain", "write", 5, 200},
		{"flip", "write", 5, 422}, // a state is held
		{"cancel", "write", 4, 409}, {"cancel", "write", 6, 200}, {"drain", "write", 6, 200},
	} {
		if got := tell(c.command, c.role, c.fence); got != c.want {
			t.Errorf("step %d: %d, want %d", i, got, c.want)
		}
	}
	if status, _, _ := ask(t, e, "q2", "x"); status != http.StatusServiceUnavailable {
		t.Errorf("new work in a drain: %d", status)
	}
	f.release("q1")
	if got := tell("flip", "write", 6); got != 200 || e.CurrentRole() != Write {
		t.Errorf("flip: %d, %s", got, e.CurrentRole())
	}
	if got := tell("flip", "write", 6); got != 200 {
		t.Errorf("twice: %d", got)
	}
	if err := e.Restart(false); err != nil || e.CurrentRole() != Read {
		t.Errorf("restarted as %s, %v", e.CurrentRole(), err)
	}
}
