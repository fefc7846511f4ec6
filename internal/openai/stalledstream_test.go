package openai

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// An engine that stops in the middle of an answer and goes on sending bytes that are no event used
// to hold its client for as long as it sent them, in every form of answer.
func TestStalledAnswerEndsWithError(t *testing.T) {
	const silenceTimeout, interval, patience = 300 * time.Millisecond, 50 * time.Millisecond, 20 * time.Second
	dripped := func(text string) string {
		return strings.Repeat(enginetest.Pause(interval)+enginetest.Chunk(text), int(2*patience/interval)) + enginetest.Hang
	}
	streamed := enginetest.StreamHead + enginetest.Chunk(`data: {"choices":[{"index":0,"text":"w","delta":{"content":"w"},"finish_reason":null}]}`+"\n\n") + dripped(": waiting\n")
	whole := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + enginetest.Chunk("{") + dripped(" ")
	const messages = `"messages":[{"role":"user","content":"x"}]`
	for name, c := range map[string]struct {
		path, body, answer string
		streams            bool
	}{
		"chat streamed":         {chatPath, `{"model":"orders","stream":true,` + messages + `}`, streamed, true},
		"chat in one piece":     {chatPath, `{"model":"orders",` + messages + `}`, streamed, false},
		"completion streamed":   {completionPath, `{"model":"orders","stream":true,"prompt":"x"}`, streamed, true},
		"completion":            {completionPath, `{"model":"orders","prompt":"x"}`, streamed, false},
		"response streamed":     {responsePath, `{"model":"orders","stream":true,"input":"x"}`, streamed, true},
		"response in one piece": {responsePath, `{"model":"orders","input":"x"}`, streamed, false},
		"embedding":             {embeddingPath, `{"model":"parts","input":"x"}`, whole, false},
	} {
		for limit, of := range map[string]struct {
			file string
			pool time.Duration
		}{
			"of all":           {operator, silenceTimeout},
			"of the contracts": {strings.ReplaceAll(operator, `"effect":`, fmt.Sprintf(`"silence_ms": %d, "effect":`, silenceTimeout.Milliseconds())), time.Minute},
		} {
			if c.path == embeddingPath && of.pool != silenceTimeout {
				continue // it has no events
			}
			t.Run(name+", limit "+limit, func(t *testing.T) {
				e := enginetest.NewEngine(t, func(enginetest.Call) string { return c.answer })
				members := []core.Endpoint{{EngineInfo: routing.EngineInfo{Name: "e1", Kind: config.RoleOpenAI, Zone: "a", Weight: 1}, Addr: e.Addr}}
				url, _, _ := serveFrontWithPool(t, of.file, members, upstream.Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute, StreamSilenceTimeout: of.pool})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+c.path, strings.NewReader(c.body))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Authorization", "Bearer k1")
				client := http.Client{Timeout: patience}
				resp, err := client.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				text, err := io.ReadAll(resp.Body)
				errorEvent := strings.Contains(string(text), "error")
				if c.streams && (resp.StatusCode != http.StatusOK || !errors.Is(err, io.ErrUnexpectedEOF) || !errorEvent) {
					t.Errorf("status %d, %v: %s; want a stream that breaks after an error", resp.StatusCode, err, text)
				}
				if !c.streams && (resp.StatusCode != http.StatusBadGateway || err != nil || !errorEvent) {
					t.Errorf("status %d, %v: %s; want an error of status 502", resp.StatusCode, err, text)
				}
			})
		}
	}
}
