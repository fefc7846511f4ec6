package openai

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// An answer that lacks a choice, or the answer to a prompt, used to be given as complete, and replayed
// under its key, if the choices that had begun were finished.
func TestAnswerThatLacksChoiceIsTruncated(t *testing.T) {
	choice := func(index int) string {
		return enginetest.Chunk(fmt.Sprintf(`data: {"choices":[{"index":%d,"text":"w","delta":{"content":"w"},"finish_reason":"stop"}]}`+"\n\n", index))
	}
	const done, end = "data: [DONE]\n\n", "0\r\n\r\n"
	answers := map[string]struct {
		text  string
		whole bool
	}{
		"broken after one choice":    {choice(0) + enginetest.Cut, false},
		"ended after one choice":     {choice(0) + end, false},
		"marked after one choice":    {choice(0) + enginetest.Chunk(done) + end, false},
		"broken after both choices":  {choice(1) + choice(0) + enginetest.Cut, true},
		"marked after both choices":  {choice(0) + choice(1) + enginetest.Chunk(done) + end, true},
		"second choice without end":  {choice(0) + strings.Replace(choice(1), `"stop"`, "  null", 1) + end, false},
		"the same choice twice only": {choice(0) + choice(0) + enginetest.Chunk(done) + end, false},
	}
	const messages = `"messages":[{"role":"user","content":"x"}]`
	for kind, c := range map[string]struct {
		path, body string
		streams    bool
	}{
		"chat streamed":      {chatPath, `{"model":"orders","stream":true,"n":2,` + messages + `}`, true},
		"chat":               {chatPath, `{"model":"orders","n":2,` + messages + `}`, false},
		"prompts streamed":   {completionPath, `{"model":"orders","stream":true,"prompt":["x","y"]}`, true},
		"prompts":            {completionPath, `{"model":"orders","prompt":["x","y"]}`, false},
		"one prompt, n of 2": {completionPath, `{"model":"orders","prompt":"x","n":2}`, false},
	} {
		for name, answer := range answers {
			t.Run(kind+", "+name, func(t *testing.T) {
				e := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.StreamHead + answer.text })
				members := []core.Endpoint{{EngineInfo: routing.EngineInfo{Name: "e1", Kind: config.RoleOpenAI, Zone: "a", Weight: 1}, Addr: e.Addr}}
				url, _, _ := serveFrontWithPool(t, operator, members, upstream.Options{})
				status, text, err := postUnderKey(t, url+c.path, c.body)
				switch {
				case answer.whole:
					if status != http.StatusOK || err != nil || c.streams != strings.HasSuffix(text, done) {
						t.Errorf("status %d, %v: %s; want a whole answer", status, err, text)
					}
				case c.streams:
					if !errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(text, done) || !strings.Contains(text, "error") {
						t.Errorf("status %d, %v: %s; want a stream that breaks after an error", status, err, text)
					}
				case status != http.StatusBadGateway:
					t.Errorf("status %d: %s; want an error of status 502", status, text)
				}
				wantRepeat := http.StatusConflict
				if answer.whole {
					wantRepeat = http.StatusOK
				}
				if status, text, _ := postUnderKey(t, url+c.path, c.body); status != wantRepeat {
					t.Errorf("the repeat got status %d: %s; want %d", status, text, wantRepeat)
				}
				if runs := len(e.Calls(http.MethodPost)); runs != 1 {
					t.Errorf("the order ran %d times", runs)
				}
			})
		}
	}
}

// postUnderKey sends an order under an idempotency key, and returns what its client reads.
func postUnderKey(t *testing.T, url, body string) (status int, text string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(keyHeader, "order-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}
