package openai

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"wellgw/internal/config"
	"wellgw/internal/enginetest"
)

// orderRequest returns a request for an order under an idempotency key, with a retry count.
func orderRequest(ctx context.Context, t *testing.T, url, key, text string, stream bool, retry int) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"model":"orders","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, text)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+chatPath, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k1")
	req.Header.Set(keyHeader, key)
	req.Header.Set(retryHeader, fmt.Sprint(retry))
	return req
}

// order sends an orderRequest and returns the response and its body, or the error's text.
func order(ctx context.Context, t *testing.T, url, key, text string, stream bool, retry int) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(orderRequest(ctx, t, url, key, text, stream, retry))
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	all, _ := io.ReadAll(resp.Body)
	return resp, string(all)
}

// A client sends an order a second time under the same idempotency key. The response depends on how
// the first request ended: a complete answer is replayed, after an unknown outcome the order is not
// executed again, and an order that no engine executed may be submitted again.
func TestOrderReplay(t *testing.T) {
	fullStream := enginetest.Stream(3, 0)
	for _, c := range []struct {
		name, first         string
		status, retryStatus int
		code                string // error code of the second response
		sent                int
	}{
		{"complete", fullStream, 200, 200, "", 1},
		{"broken in the middle", fullStream[:len(fullStream)/2] + enginetest.Cut, 502, 409, codeOutcomeUnknown, 1},
		{"broken before the response header", enginetest.Cut, 502, 409, codeOutcomeUnknown, 1},
		{"failed with 500", enginetest.Status(500, "", ""), 502, 409, codeOutcomeUnknown, 1},
		{"rejected with 429", enginetest.Status(429, "", ""), 503, 503, codeOverloaded, 0},
		{"rejected with 400", enginetest.Status(400, "", "too long"), 400, 400, codeRejected, 2},
		{"error reported in the stream", enginetest.StreamHead + enginetest.Chunk("data: "+chunkOf(0, "null")+"\n\n") + enginetest.Chunk(`data: {"error":{"message":"no"}}`+"\n\n") + "0\r\n\r\n", 502, 409, codeOutcomeUnknown, 1},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", c.name, stream), func(t *testing.T) {
				engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return c.first }, t)
				url, core := start(t, engines)
				first, text := order(t.Context(), t, url, "k", "a hull", stream, 0)
				status := c.status
				if stream && strings.Contains(text, "data:") {
					status = 200 // the stream had started
				}
				if first.StatusCode != status {
					t.Errorf("first request: status %d: %s", first.StatusCode, text)
				}
				if status >= 502 && status != 503 && first.Header.Get("X-Should-Retry") != "false" {
					t.Error("first request: no X-Should-Retry: false, so client libraries would retry")
				}
				if err := core.Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
				second, secondText := order(t.Context(), t, url, "k", "a hull", stream, 1)
				if second.StatusCode != c.retryStatus || c.code != "" && !strings.Contains(secondText, c.code) {
					t.Errorf("second request: status %d: %s", second.StatusCode, secondText)
				}
				if c.retryStatus == 200 && (secondText != text || second.Header.Get(replayedHeader) != "true" || second.Header.Get("X-Request-Id") != first.Header.Get("X-Request-Id")) {
					t.Errorf("replayed answer or headers differ: first %s, second %s", text, secondText)
				}
				if c.retryStatus == 409 && second.Header.Get("X-Should-Retry") != "false" {
					t.Error("second request: no X-Should-Retry: false, so client libraries would retry")
				}
				if n := len(e.Calls("POST")); c.sent > 0 && n != c.sent {
					t.Errorf("engine got %d requests", n)
				}
				if third, _ := order(t.Context(), t, url, "k2", "a hull", stream, 0); third.Header.Get(replayedHeader) != "" {
					t.Error("same body under another key got a replayed answer")
				}
				if other, text := order(t.Context(), t, url, "k", "a keel", stream, 0); c.sent == 1 && other.StatusCode != 422 {
					t.Errorf("another body under the same key: status %d, %s", other.StatusCode, text)
				}
			})
		}
	}
}

// A client that has received the last event of an order's answer may retry immediately and gets the
// recorded answer, even if the engine has not ended its stream.
func TestOrderReplayBeforeStreamEnd(t *testing.T) {
	fullStream := enginetest.Stream(3, 0)
	engines, _ := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return strings.TrimSuffix(fullStream, "0\r\n\r\n") + enginetest.Hang }, t)
	url, _ := start(t, engines)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req := orderRequest(ctx, t, url, "k", "a hull", true, 0)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := ""
	for in := bufio.NewReader(resp.Body); !strings.Contains(first, "[DONE]"); {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		first += line
	}
	second, secondText := order(t.Context(), t, url, "k", "a hull", true, 1)
	if second.StatusCode != http.StatusOK || second.Header.Get(replayedHeader) != "true" || strings.TrimSpace(secondText) != strings.TrimSpace(first) {
		t.Errorf("second request: status %d, answer %s; first answer %s", second.StatusCode, secondText, first)
	}
}

// While an order is in progress, a request under the same key gets 409 with Retry-After, and the engine
// gets the order only once. After the client of the first request has disconnected, the outcome of
// the order is unknown.
func TestOrderInProgress(t *testing.T) {
	engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.Hang }, t)
	url, core := start(t, engines)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		order(ctx, t, url, "k", "a hull", false, 0)
	}()
	enginetest.Eventually(t, "order sent to the engine", func() bool { return len(e.Calls("POST")) == 1 })
	resp, text := order(t.Context(), t, url, "k", "a hull", false, 1)
	if resp.StatusCode != http.StatusConflict || !strings.Contains(text, codeInProgress) || resp.Header.Get("Retry-After") == "" || resp.Header.Get("X-Should-Retry") != "" {
		t.Errorf("status %d, %s, headers %v", resp.StatusCode, text, resp.Header)
	}
	cancel()
	<-ended
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "outcome of the order unknown", func() bool {
		_, text = order(t.Context(), t, url, "k", "a hull", false, 1)
		return strings.Contains(text, codeOutcomeUnknown)
	})
	if n := len(e.Calls("POST")); n != 1 {
		t.Errorf("engine got %d requests", n)
	}
}

func TestInvalidKeys(t *testing.T) {
	engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.Stream(1, 0) }, t)
	url, _ := start(t, engines)
	for _, key := range []string{strings.Repeat("k", maxKeyBytes+1), "k\u00e9"} {
		if resp, text := order(t.Context(), t, url, key, "a hull", false, 0); resp.StatusCode != http.StatusBadRequest || !strings.Contains(text, codeKeyInvalid) {
			t.Errorf("status %d, %s", resp.StatusCode, text)
		}
	}
	if n := len(e.Calls("POST")); n != 0 {
		t.Errorf("engine got %d requests", n)
	}
}

// Variants of the stream format that engines may use, such as other line endings, comments and
// additional fields, result in the same answer, whether the stream arrives in chunks of 1 byte, of
// 7 bytes or in a single chunk.
func TestEngineDeviations(t *testing.T) {
	events := []string{chunkOf(0, "null"), chunkOf(0, `"stop"`), `{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}`, doneData}
	join := func(form string) string {
		out := ""
		for _, e := range events {
			out += strings.ReplaceAll(form, "EVENT", e)
		}
		return out
	}
	plain := join("data: EVENT\n\n")
	for name, text := range map[string]string{
		"plain": plain, "CRLF": join("data: EVENT\r\n\r\n"), "no space": join("data:EVENT\n\n"), "comments": join(": ping\n\nid: 1\nretry: 5\nevent: message\ndata: EVENT\n\n"),
		"byte order mark": "\xEF\xBB\xBF" + plain, "no [DONE] event": strings.Replace(plain, "data: [DONE]\n\n", "", 1), "no blank line at the end": strings.TrimSuffix(plain, "\n\n"),
		"several data lines": strings.ReplaceAll(plain, `,"`, ",\ndata: \""), "id, model, object and created set by the engine": strings.ReplaceAll(plain, `{"choices"`, `{"id":"x","model":"y","object":"chat.completion.chunk","created":1,"choices"`),
	} {
		for _, chunkSize := range []int{1, 7, 1 << 20} {
			body := ""
			for remaining := text; remaining != ""; {
				n := min(chunkSize, len(remaining))
				body += enginetest.Chunk(remaining[:n])
				remaining = remaining[n:]
			}
			engines, _ := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.StreamHead + body + "0\r\n\r\n" }, t)
			url, _ := start(t, engines)
			for _, stream := range []bool{false, true} {
				resp, err := chat(t, url, "k1", "orders", stream)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				ok := strings.Count(string(got), `"content":"w"`) == 2 && strings.HasSuffix(string(got), "data: [DONE]\n\n")
				if !stream {
					ok = strings.Contains(string(got), `"content":"ww"`) && strings.Contains(string(got), `"completion_tokens":2`)
				}
				if err != nil || !ok || strings.Contains(string(got), `"model":"y"`) {
					t.Errorf("%s in chunks of %d bytes, stream %v: %v, %s", name, chunkSize, stream, err, got)
				}
			}
		}
	}
}
