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

// orderRequest is a request for an order under a key.
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

// order asks for an order under a key.
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

// What becomes of an order that its client sends again, by how the first try ended.
func TestOrderReplay(t *testing.T) {
	whole := enginetest.Stream(3, 0)
	for _, c := range []struct {
		name, first   string
		status, again int
		code          string // of the second answer
		sent          int
	}{
		{"whole", whole, 200, 200, "", 1},
		{"broken in the middle", whole[:len(whole)/2] + enginetest.Cut, 502, 409, codeOutcomeUnknown, 1},
		{"broken before its head", enginetest.Cut, 502, 409, codeOutcomeUnknown, 1},
		{"failed", enginetest.Status(500, "", ""), 502, 409, codeOutcomeUnknown, 1},
		{"turned away", enginetest.Status(429, "", ""), 503, 503, codeOverloaded, 0},
		{"not accepted", enginetest.Status(400, "", "too long"), 400, 400, codeRejected, 2},
		{"reported in the stream", enginetest.StreamHead + enginetest.Chunk("data: "+chunkOf(0, "null")+"\n\n") + enginetest.Chunk(`data: {"error":{"message":"no"}}`+"\n\n") + "0\r\n\r\n", 502, 409, codeOutcomeUnknown, 1},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", c.name, stream), func(t *testing.T) {
				engines, e := one(config.RoleOpenAI, func(enginetest.Call) string { return c.first }, t)
				url, core := start(t, engines)
				first, text := order(t.Context(), t, url, "k", "a hull", stream, 0)
				status := c.status
				if stream && strings.Contains(text, "data:") {
					status = 200 // it had begun
				}
				if first.StatusCode != status {
					t.Errorf("status %d: %s", first.StatusCode, text)
				}
				if status >= 502 && status != 503 && first.Header.Get("X-Should-Retry") != "false" {
					t.Error("the client's library would send it again")
				}
				if err := core.Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
				second, again := order(t.Context(), t, url, "k", "a hull", stream, 1)
				if second.StatusCode != c.again || c.code != "" && !strings.Contains(again, c.code) {
					t.Errorf("then status %d: %s", second.StatusCode, again)
				}
				if c.again == 200 && (again != text || second.Header.Get(replayedHeader) != "true" || second.Header.Get("X-Request-Id") != first.Header.Get("X-Request-Id")) {
					t.Errorf("%s, then %s", text, again)
				}
				if c.again == 409 && second.Header.Get("X-Should-Retry") != "false" {
					t.Error("the client's library would go on")
				}
				if n := len(e.Calls("POST")); c.sent > 0 && n != c.sent {
					t.Errorf("sent %d times", n)
				}
				if third, _ := order(t.Context(), t, url, "k2", "a hull", stream, 0); third.Header.Get(replayedHeader) != "" {
					t.Error("the same text under another key is another order")
				}
				if other, text := order(t.Context(), t, url, "k", "a keel", stream, 0); c.sent == 1 && other.StatusCode != 422 {
					t.Errorf("another text under the key: %d, %s", other.StatusCode, text)
				}
			})
		}
	}
}

// A client that has the last event of its order's answer may ask again at once: it need not wait
// for the end of the stream.
func TestOrderReplayAtOnce(t *testing.T) {
	whole := enginetest.Stream(3, 0)
	engines, _ := one(config.RoleOpenAI, func(enginetest.Call) string { return strings.TrimSuffix(whole, "0\r\n\r\n") + enginetest.Hang }, t)
	url, _ := start(t, engines)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
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
	second, again := order(t.Context(), t, url, "k", "a hull", true, 1)
	if second.StatusCode != http.StatusOK || second.Header.Get(replayedHeader) != "true" || strings.TrimSpace(again) != strings.TrimSpace(first) {
		t.Errorf("%d %s, first %s", second.StatusCode, again, first)
	}
}

// While an order runs, its client is told to come again; it runs once. When its client
// goes, its fate is unknown.
func TestOrderInProgress(t *testing.T) {
	engines, e := one(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.Hang }, t)
	url, core := start(t, engines)
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		order(ctx, t, url, "k", "a hull", false, 0)
	}()
	enginetest.Eventually(t, "the order is at the engine", func() bool { return len(e.Calls("POST")) == 1 })
	resp, text := order(t.Context(), t, url, "k", "a hull", false, 1)
	if resp.StatusCode != http.StatusConflict || !strings.Contains(text, codeInProgress) || resp.Header.Get("Retry-After") == "" || resp.Header.Get("X-Should-Retry") != "" {
		t.Errorf("%d, %s, %v", resp.StatusCode, text, resp.Header)
	}
	leave()
	<-ended
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "its fate is unknown", func() bool {
		_, text = order(t.Context(), t, url, "k", "a hull", false, 1)
		return strings.Contains(text, codeOutcomeUnknown)
	})
	if n := len(e.Calls("POST")); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestInvalidKeys(t *testing.T) {
	engines, e := one(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.Stream(1, 0) }, t)
	url, _ := start(t, engines)
	for _, key := range []string{strings.Repeat("k", maxKeyBytes+1), "k\u00e9"} {
		if resp, text := order(t.Context(), t, url, key, "a hull", false, 0); resp.StatusCode != http.StatusBadRequest || !strings.Contains(text, codeKeyInvalid) {
			t.Errorf("%d, %s", resp.StatusCode, text)
		}
	}
	if n := len(e.Calls("POST")); n != 0 {
		t.Errorf("sent %d times", n)
	}
}

// Whatever engines do within what clients of theirs put up with, the answer is the same.
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
		"a mark": "\xEF\xBB\xBF" + plain, "no last event": strings.Replace(plain, "data: [DONE]\n\n", "", 1), "no blank line at the end": strings.TrimSuffix(plain, "\n\n"),
		"several lines": strings.ReplaceAll(plain, `,"`, ",\ndata: \""), "fields of its own": strings.ReplaceAll(plain, `{"choices"`, `{"id":"x","model":"y","object":"chat.completion.chunk","created":1,"choices"`),
	} {
		for _, part := range []int{1, 7, 1 << 20} {
			body := ""
			for rest := text; rest != ""; {
				n := min(part, len(rest))
				body += enginetest.Chunk(rest[:n])
				rest = rest[n:]
			}
			engines, _ := one(config.RoleOpenAI, func(enginetest.Call) string { return enginetest.StreamHead + body + "0\r\n\r\n" }, t)
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
					t.Errorf("%s in parts of %d, stream %v: %v, %s", name, part, stream, err, got)
				}
			}
		}
	}
}
