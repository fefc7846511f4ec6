package openai

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/config"
	"wellgw/internal/enginetest"
)

// nondeterministic matches values that differ between runs: random ids and creation times.
var nondeterministic = []struct {
	pattern *regexp.Regexp
	fixed   string
}{
	{regexp.MustCompile(`[0-9a-f]{24}`), "ID"},
	{regexp.MustCompile(`"(created|created_at)":\d+`), `"$1":0`},
}

// streamedAnswer returns an engine's HTTP response that streams the given events and [DONE].
func streamedAnswer(events ...string) string {
	stream := enginetest.StreamHead
	for _, e := range append(events, doneData) {
		stream += enginetest.Chunk("data: " + e + "\n\n")
	}
	return stream + "0\r\n\r\n"
}

// TestAnswerBytes compares exchanges byte by byte with those saved in testdata/answers: the status,
// the headers that the front sets, the body and the body sent to the engine. A case's name is the
// name of its file.
func TestAnswerBytes(t *testing.T) {
	const usage = `{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":3},"completion_tokens_details":{"reasoning_tokens":1}}}`
	text := streamedAnswer(`{"id":"x","object":"o","model":"y","system_fingerprint":"fp","choices":[{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`,
		chunkOf(0, "null"), chunkOf(0, "null"), `{"choices":[{"index":0,"delta":{"content":"\u00e9\n"},"finish_reason":null}]}`, "{\"choices\":\ndata: [{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}", usage)
	tools := streamedAnswer(`{"choices":[{"index":0,"delta":{"role":"assistant","content":"so "}}]}`, `{"choices":[{"index":0,"delta":{"refusal":"no"}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c0","type":"function","function":{"name":"look","arguments":"{\"a"}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"c1","type":"function","function":{"name":"price","arguments":"{}"}}]}}]}`,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`, usage)
	truncated := streamedAnswer(chunkOf(0, `"length"`), usage)
	completion := streamedAnswer(`{"choices":[{"index":0,"text":"a ","finish_reason":null},{"index":1,"text":"c","finish_reason":"stop"}]}`, `{"choices":[{"index":0,"text":"b","finish_reason":"stop"}]}`, usage)
	broken := enginetest.StreamHead + enginetest.Chunk("data: "+chunkOf(0, "null")+"\n\n") + enginetest.Cut
	reported := enginetest.StreamHead + enginetest.Chunk("data: "+chunkOf(0, "null")+"\n\n") + enginetest.Chunk(`data: {"error":{"message":"out of\nmemory"}}`+"\n\n") + "0\r\n\r\n"
	embedding := enginetest.Status(200, "", `{"object":"list","data":[{"object":"embedding","index":0,"embedding":[0.5]}],"model":"y","usage":{"prompt_tokens":1}}`)
	const user = `"messages":[{"role":"system","content":"help"},{"role":"user","content":"a hull"}]`
	const items = `"instructions":"help","input":[{"role":"user","content":[{"type":"input_text","text":"a"},{"type":"input_image","image_url":"u","detail":"low"},{"type":"input_file","file_data":"d","file_id":"i","filename":"n"}]},` +
		`{"type":"reasoning"},{"type":"function_call","call_id":"c","name":"f","arguments":"{}"},{"type":"function_call","call_id":"d","name":"g","arguments":"{}"},{"type":"function_call_output","call_id":"c","output":"1"},` +
		`{"type":"message","role":"assistant","content":[{"type":"output_text","text":"b"},{"type":"refusal","refusal":"r"}]}],` +
		`"tools":[{"type":"function","name":"f","parameters":{"type":"object"},"strict":true,"description":null}],"tool_choice":{"type":"function","name":"f"},` +
		`"text":{"format":{"type":"json_schema","name":"s","schema":{}}},"reasoning":{"effort":"low"},"max_output_tokens":7,"temperature":0.5,"metadata":{"k":"v"},"store":true`
	for _, c := range []struct{ name, method, path, key, header, body, engine string }{
		{"models", "GET", "/v1/models", "k1", "", "", text},
		{"model", "GET", "/v1/models/orders", "k1", "", "", text},
		{"model unknown", "GET", "/v1/models/none", "k1", "", "", text},
		{"no key", "POST", chatPath, "none", "", `{}`, text},
		{"no path", "GET", "/v1/other", "k1", "", "", text},
		{"wrong method", "GET", chatPath, "k1", "", "", text},
		{"wrong method of models", "POST", "/v1/models", "k1", "", "{}", text},
		{"chat", "POST", chatPath, "k1", "", `{"model":"parts",` + user + `,"max_tokens":9,"n":1,"x":[1, 2],"max_tokens":8}`, text},
		{"chat streamed", "POST", chatPath, "k1", "", `{"model":"parts","stream":true,` + user + `}`, text},
		{"chat streamed with usage", "POST", chatPath, "k1", "", `{"model":"orders","stream":true,"stream_options":{"include_usage":true,"x":1},` + user + `}`, text},
		{"chat tools", "POST", chatPath, "k1", "", `{"model":"orders",` + user + `}`, tools},
		{"chat tools streamed", "POST", chatPath, "k1", "", `{"model":"orders","stream":true,` + user + `}`, tools},
		{"chat under a key", "POST", chatPath, "k1", "k", `{"model":"orders","stream":true,` + user + `}`, text},
		{"chat invalid key", "POST", chatPath, "k1", strings.Repeat("k", 256), `{"model":"orders",` + user + `}`, text},
		{"chat broken", "POST", chatPath, "k1", "", `{"model":"orders","stream":true,` + user + `}`, broken},
		{"chat broken whole", "POST", chatPath, "k1", "", `{"model":"orders",` + user + `}`, broken},
		{"chat error reported", "POST", chatPath, "k1", "", `{"model":"orders","stream":true,` + user + `}`, reported},
		{"chat error reported whole", "POST", chatPath, "k1", "", `{"model":"orders",` + user + `}`, reported},
		{"chat rejected", "POST", chatPath, "k1", "", `{"model":"orders",` + user + `}`, enginetest.Status(400, "", "too long\nby far")},
		{"chat failed", "POST", chatPath, "k1", "", `{"model":"orders",` + user + `}`, enginetest.Status(500, "", "")},
		{"chat no model", "POST", chatPath, "k1", "", `{` + user + `}`, text},
		{"chat unknown model", "POST", chatPath, "k1", "", `{"model":"hidden",` + user + `}`, text},
		{"chat no object", "POST", chatPath, "k1", "", `[1]`, text},
		{"chat wrong type", "POST", chatPath, "k1", "", `{"model":"parts","stream":1,"n":"x"}`, text},
		{"chat n", "POST", chatPath, "k1", "", `{"model":"parts","n":129}`, text},
		{"chat limit", "POST", chatPath, "k1", "", `{"model":"parts","max_tokens":0,` + user + `}`, text},
		{"chat stream options", "POST", chatPath, "k1", "", `{"model":"parts","stream_options":1,` + user + `}`, text},
		{"chat no messages", "POST", chatPath, "k1", "", `{"model":"parts"}`, text},
		{"chat messages no list", "POST", chatPath, "k1", "", `{"model":"parts","messages":1}`, text},
		{"chat message no object", "POST", chatPath, "k1", "", `{"model":"parts","messages":[1]}`, text},
		{"chat no role", "POST", chatPath, "k1", "", `{"model":"parts","messages":[{"content":"x"}]}`, text},
		{"chat content", "POST", chatPath, "k1", "", `{"model":"parts","messages":[{"role":"user","content":1}]}`, text},
		{"chat part", "POST", chatPath, "k1", "", `{"model":"parts","messages":[{"role":"user","content":[1]}]}`, text},
		{"chat part type", "POST", chatPath, "k1", "", `{"model":"parts","messages":[{"role":"user","content":[{"type":1}]}]}`, text},
		{"chat part text", "POST", chatPath, "k1", "", `{"model":"parts","messages":[{"role":"user","content":[{"type":"text","text":1}]}]}`, text},
		{"completion", "POST", completionPath, "k1", "", `{"model":"parts","prompt":["x","y"]}`, completion},
		{"completion streamed", "POST", completionPath, "k1", "", `{"model":"parts","prompt":[1,2],"n":2,"stream":true}`, completion},
		{"completion no prompt", "POST", completionPath, "k1", "", `{"model":"parts"}`, completion},
		{"completion mixed", "POST", completionPath, "k1", "", `{"model":"parts","prompt":[1,"x"]}`, completion},
		{"completion empty", "POST", completionPath, "k1", "", `{"model":"parts","prompt":[]}`, completion},
		{"completion no token", "POST", completionPath, "k1", "", `{"model":"parts","prompt":[["x"]]}`, completion},
		{"embedding", "POST", embeddingPath, "k1", "", `{"model":"parts","input":["x",[1,2]]}`, embedding},
		{"embedding streamed", "POST", embeddingPath, "k1", "", `{"model":"parts","input":"x","stream":true}`, embedding},
		{"embedding of orders", "POST", embeddingPath, "k1", "", `{"model":"orders","input":"x"}`, embedding},
		{"response", "POST", responsePath, "k1", "", `{"model":"orders","input":"a hull"}`, text},
		{"response streamed", "POST", responsePath, "k1", "", `{"model":"orders","input":"a hull","stream":true}`, text},
		{"response tools", "POST", responsePath, "k1", "", `{"model":"orders",` + items + `}`, tools},
		{"response tools streamed", "POST", responsePath, "k1", "", `{"model":"orders","stream":true,` + items + `}`, tools},
		{"response cut short", "POST", responsePath, "k1", "", `{"model":"orders","input":"a hull"}`, truncated},
		{"response cut short streamed", "POST", responsePath, "k1", "", `{"model":"orders","input":"a hull","stream":true}`, truncated},
		{"response broken", "POST", responsePath, "k1", "", `{"model":"orders","input":"a hull","stream":true}`, broken},
		{"response error reported", "POST", responsePath, "k1", "", `{"model":"orders","input":"a hull","stream":true}`, reported},
		{"response plain format", "POST", responsePath, "k1", "", `{"model":"orders","input":"a","text":{"format":{"type":"json_object"}},"tool_choice":"auto"}`, text},
		{"response stored", "POST", responsePath, "k1", "", `{"model":"orders","input":"a","previous_response_id":"r"}`, text},
		{"response background", "POST", responsePath, "k1", "", `{"model":"orders","input":"a","background":true}`, text},
		{"response no input", "POST", responsePath, "k1", "", `{"model":"orders"}`, text},
		{"response input", "POST", responsePath, "k1", "", `{"model":"orders","input":1}`, text},
		{"response instructions", "POST", responsePath, "k1", "", `{"model":"orders","input":"a","instructions":1}`, text},
		{"response item", "POST", responsePath, "k1", "", `{"model":"orders","input":[{"type":"item_reference"}]}`, text},
		{"response item role", "POST", responsePath, "k1", "", `{"model":"orders","input":[{"content":"x"}]}`, text},
		{"response part", "POST", responsePath, "k1", "", `{"model":"orders","input":[{"role":"user","content":[{"type":"input_audio"}]}]}`, text},
		{"response content", "POST", responsePath, "k1", "", `{"model":"orders","input":[{"role":"user","content":1}]}`, text},
		{"response tool", "POST", responsePath, "k1", "", `{"model":"orders","input":"a","tools":[{"type":"web_search"}]}`, text},
		{"response tool choice", "POST", responsePath, "k1", "", `{"model":"orders","input":"a","tool_choice":{"type":"x"}}`, text},
	} {
		t.Run(c.name, func(t *testing.T) {
			engines, e := singleEngine(config.RoleOpenAI, func(enginetest.Call) string { return c.engine }, t)
			url, _ := start(t, engines)
			req, err := http.NewRequestWithContext(t.Context(), c.method, url+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+c.key)
			if c.header != "" {
				req.Header.Set(keyHeader, c.header)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, readErr := io.ReadAll(resp.Body)
			got := fmt.Sprintf("%d, read to the end: %v\n", resp.StatusCode, readErr == nil)
			for _, name := range []string{"Allow", "Cache-Control", "Content-Type", "Retry-After", "Retry-After-Ms", "Www-Authenticate", "X-Accel-Buffering", "X-Should-Retry", "Idempotent-Replayed"} {
				if value := resp.Header.Values(name); value != nil {
					got += fmt.Sprintf("%s: %q\n", name, value)
				}
			}
			got += "\n" + string(body)
			for _, call := range e.Calls("POST") {
				got += "engine: " + call.Body + "\n"
			}
			for _, v := range nondeterministic {
				got = v.pattern.ReplaceAllString(got, v.fixed)
			}
			path := filepath.Join("testdata", "answers", strings.ReplaceAll(c.name, " ", "_")+".txt")
			saved, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(saved), got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", path, diff)
			}
		})
	}
}
