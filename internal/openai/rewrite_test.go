package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

var testMetadata = metadata{id: "chatcmpl-1", model: "parts", object: "chat.completion.chunk", created: 7}

// FuzzRewrite compares a rewritten event with the decoded input: the rewriter accepts only objects, and
// it changes no fields other than those that the gateway sets.
func FuzzRewrite(f *testing.F) {
	for _, s := range []string{
		`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`,
		`{"id":"x","model":"y","created":3,"object":"o","choices":[],"usage":{"a":1}}`,
		`{"m\u006fdel":"y","choices":null,"error":null}`, `{"error":{"message":"no"}}`, `{"choices":[{"index":1,"finish_reason":"stop"}],"b":"\u00e9\\"}`,
		"{\"a\":\n1}", `{}`, `[]`, `nonsense`, `{"choices":[{"index":99999999}]}`, `{"choices":{}}`, `{"a\"b":1,"a\"b":2}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !json.Valid(data) || bytes.ContainsAny(data, "\r") || bytes.Contains(data, []byte("\n\n")) {
			return
		}
		var in map[string]json.RawMessage
		if json.Unmarshal(data, &in) != nil || in == nil {
			return
		}
		r := newRewriter(testMetadata, true, false)
		out, err := r.translate(nil, append(append([]byte("data: "), bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))...), "\n\n"...))
		if err != nil {
			if w := in["error"]; w != nil && string(w) != "null" || errors.Is(err, errInvalidChunk) {
				return
			}
			t.Fatal(err)
		}
		if bytes.Equal(bytes.TrimSpace(data), doneBytes) {
			return
		}
		text, found := bytes.CutPrefix(out, []byte("data: "))
		text, ended := bytes.CutSuffix(text, []byte("\n\n"))
		if !found || !ended || bytes.ContainsAny(text, "\n\r") {
			t.Fatalf("output %q is not a single event", out)
		}
		var got map[string]json.RawMessage
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatalf("%q became %q: %v", data, text, err)
		}
		if string(got["id"]) != `"chatcmpl-1"` || string(got["model"]) != `"parts"` {
			t.Fatalf("%q became %q", data, text)
		}
		for name, value := range in {
			if name == "id" || name == "model" || name == "object" || name == "error" || strings.ContainsRune(name, '\uFFFD') {
				continue
			}
			if !equalJSON(value, got[name]) {
				t.Fatalf("%s of %q became %q", name, data, got[name])
			}
		}
	})
}

// FuzzTemplate compares events written by the template of the preceding event with the same events
// written without a template.
func FuzzTemplate(f *testing.F) {
	f.Add([]byte(`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`), []byte(`{"choices":[{"index":0,"delta":{"content":"bc"},"finish_reason":null}]}`), true)
	f.Add([]byte(`{"id":"x","choices":[{"index":0,"delta":{"content":"a"}}],"usage":null}`), []byte(`{"id":"x","choices":[{"index":0,"delta":{"content":"\u00e9\"}"}}],"usage":null}`), false)
	f.Add([]byte(`{"choices":[{"index":0,"delta":{"content":"a"}}]}`), []byte(`{"choices":[{"index":0,"delta":{"content":""}}]}`), true)
	f.Add([]byte(`{"a":[{"delta":{"content":"a"}}],"choices":[{"delta":{"content":"a"}}]}`), []byte(`{"a":[{"delta":{"content":"a"}}],"choices":[{"delta":{"content":"a"},"x":"b"}]}`), true)
	f.Add([]byte(`{"choices":[{"delta":{"content":"a"}}],"choices":[{"delta":{"content":"a"}}]}`), []byte(`{"choices":[{"delta":{"content":"a"}}],"choices":[{"delta":{"content":"b"}}]}`), true)
	f.Fuzz(func(t *testing.T, one, two []byte, resumable bool) {
		if bytes.ContainsAny(one, "\r\n") || bytes.ContainsAny(two, "\r\n") {
			return
		}
		rewriteAll := func(templates bool) (string, error) {
			r := newRewriter(testMetadata, false, resumable)
			var out []byte
			for _, e := range [][]byte{one, two, two, one} {
				if !templates {
					r.template.prefixLen = 0
				}
				var err error
				if out, err = r.translate(out, append(append([]byte("data: "), e...), "\n\n"...)); err != nil {
					return string(out), err
				}
			}
			return fmt.Sprintf("%s %+v", out, r.state), nil
		}
		want, wantErr := rewriteAll(false)
		got, err := rewriteAll(true)
		if got != want || (err != nil) != (wantErr != nil) {
			t.Fatalf("%q, %q: with templates %s, %v; without %s, %v", one, two, got, err, want, wantErr)
		}
	})
}

func equalJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && cmp.Equal(x, y)
}

func chunkOf(i int, finish string) string {
	return fmt.Sprintf(`{"choices":[{"index":%d,"delta":{"content":"w"},"finish_reason":%s}]}`, i, finish)
}

// An answer is complete with its [DONE] event or when each of its choices has finished; otherwise it is
// truncated.
func TestStreamCompletion(t *testing.T) {
	for name, c := range map[string]struct {
		events []string
		err    error
		last   bool // [DONE] is sent to the client
	}{
		"[DONE] event":                         {[]string{chunkOf(0, `"stop"`), doneData}, nil, true},
		"[DONE] event without a finish reason": {[]string{chunkOf(0, `null`), doneData}, nil, true},
		"no [DONE] event":                      {[]string{chunkOf(0, `null`), chunkOf(0, `"stop"`)}, nil, true},
		"one choice unfinished":                {[]string{chunkOf(0, `null`), chunkOf(1, `null`), chunkOf(0, `"stop"`)}, errTruncated, false},
		"no choice finished":                   {[]string{chunkOf(0, `null`)}, errTruncated, false},
		"no event":                             {nil, errTruncated, false},
		"usage before the finish reasons":      {[]string{chunkOf(0, `null`), chunkOf(1, `null`), `{"choices":[],"usage":{"prompt_tokens":1}}`, chunkOf(0, `"stop"`), chunkOf(1, `"stop"`), doneData}, nil, true},
		"events after [DONE]":                  {[]string{chunkOf(0, `"stop"`), doneData, chunkOf(0, `null`)}, nil, true},
		"an error in the middle":               {[]string{chunkOf(0, `null`), `{"error":{"message":"out of memory"}}`, doneData}, reportedError{"out of memory"}, false},
		"event not an object":                  {[]string{chunkOf(0, `null`), `[1]`, doneData}, errInvalidChunk, false},
		"invalid JSON":                         {[]string{`{"choices":[{"index":0,"delta":{"content":"w}]}`, doneData}, errInvalidChunk, false},
	} {
		r := newRewriter(testMetadata, false, false)
		var out []byte
		var err error
		for _, e := range c.events {
			if out, err = r.translate(out, []byte("data: "+e+"\n\n")); err != nil {
				break
			}
		}
		if err == nil {
			out, err = r.finish(out)
		}
		if !errors.Is(err, c.err) || bytes.HasSuffix(out, []byte("data: [DONE]\n\n")) != c.last || bytes.Count(out, []byte(doneData)) > 1 {
			t.Errorf("%s: %v, %q", name, err, out)
		}
		if c.err == nil && bytes.Contains(out, []byte("usage")) {
			t.Errorf("%s: usage sent to a client that did not request it: %q", name, out)
		}
	}
}

// Under a free contract, only an event with content starts an answer; otherwise any valid event does.
func TestAnswerStart(t *testing.T) {
	for data, c := range map[string]struct{ buffered, unbuffered, fails bool }{
		`{"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`: {false, true, false},
		`{"choices":[{"index":0,"delta":{"role":"assistant"}}]}`:                                   {false, true, false},
		`{"choices":[{"index":0,"delta":{"content":"a"}}]}`:                                        {true, true, false},
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`:                           {true, true, false},
		`{"choices":[{"index":0,"delta":{"tool_calls":[]}}]}`:                                      {false, true, false},
		`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`:                              {true, true, false},
		`{"choices":[{"index":0,"text":"a"}]}`:                                                     {true, true, false},
		`{"choices":[{"index":0,"text":""}]}`:                                                      {false, true, false},
		`{"choices":[],"usage":null}`:                                                              {false, true, false},
		`[DONE]`:                                                                                   {true, true, false},
		``:                                                                                         {false, false, false},
		`{"error":{"message":"no"}}`:                                                               {false, false, true},
		`{"error":null,"choices":[]}`:                                                              {false, true, false},
		`{"cho`:                                                                                    {false, false, true},
	} {
		for bufferUntilToken, want := range map[bool]bool{true: c.buffered, false: c.unbuffered} {
			got, err := startsAnswer([]byte(data), bufferUntilToken)
			if got != want || (err != nil) != c.fails {
				t.Errorf("%s, buffered until first token %v: %v, %v", data, bufferUntilToken, got, err)
			}
		}
	}
}

func TestCollectedAnswer(t *testing.T) {
	events := []string{
		`{"system_fingerprint":"fp","choices":[{"index":1,"delta":{"role":"assistant","content":""}},{"index":0,"delta":{"role":"assistant","reasoning_content":"let "}}]}`,
		`{"system_fingerprint":"fp","choices":[{"index":0,"delta":{"reasoning_content":"me\n"},"logprobs":{"content":[{"token":"a"}],"refusal":null}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"c1","type":"function","function":{"name":"price","arguments":""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c0","type":"function","function":{"name":"look","arguments":"{\"a"}}]},"logprobs":{"content":[{"token":"b"}],"refusal":null}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c0","function":{"arguments":"\":1}"}},{"index":1,"function":{"arguments":"{}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"choices":[{"index":1,"delta":{"content":"w\u00e9"},"finish_reason":null}]}`, `{"choices":[{"index":1,"delta":{"content":"!"},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":3}}`,
	}
	w := newCollector(testMetadata)
	for _, e := range events {
		if _, err := w.translate(nil, []byte("data: "+e+"\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	got, err := w.finish(nil)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":7,"model":"parts","choices":[
		{"index":0,"finish_reason":"tool_calls","logprobs":{"content":[{"token":"a"},{"token":"b"}],"refusal":null},
		 "message":{"role":"assistant","content":null,"reasoning_content":"let me\n","tool_calls":[
			{"id":"c0","type":"function","function":{"name":"look","arguments":"{\"a\":1}"}},{"id":"c1","type":"function","function":{"name":"price","arguments":"{}"}}]}},
		{"index":1,"finish_reason":"stop","message":{"role":"assistant","content":"w\u00e9!"}}],
		"system_fingerprint":"fp","usage":{"prompt_tokens":3}}`
	if !equalJSON([]byte(want), got) {
		t.Errorf("answer %s, want %s", got, want)
	}
	if o := jsonscan.Object(got); true {
		for _, _, ok := o.Next(); ok; _, _, ok = o.Next() {
		}
		if o.Err() != nil {
			t.Error(o.Err())
		}
	}
}

// FuzzParse checks that no body makes the parser panic, and that the body sent to engines is JSON,
// requests a stream and has no duplicate fields.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`, `{"model":"m","prompt":["a",[1,2]],"n":2}`, `{"model":"m","input":"x","tools":[{"type":"function","name":"f"}]}`,
		`{"model":"m","input":[{"role":"user","content":[{"type":"input_image","image_url":"x"}]},{"type":"function_call","call_id":"c","name":"f","arguments":"{}"}]}`,
		`{"model":"a","model":"b","messages":[{"role":"user","content":[{"type":"text","text":"\u00e9"}]}],"stream_options":{"x":1},"max_tokens":1e99}`, `{"model":1}`, `[]`, ``,
	} {
		for _, path := range []string{chatPath, completionPath, embeddingPath, responsePath} {
			f.Add(path, []byte(s))
		}
	}
	f.Fuzz(func(t *testing.T, path string, data []byte) {
		var a *apiRequest
		var err error
		if path == responsePath {
			a, _, err = parseResponses(data, "team")
		} else {
			a, err = parse(path, data, "team")
		}
		if err != nil {
			return
		}
		var got struct {
			Model  string
			Stream bool
		}
		if err := json.Unmarshal(a.body, &got); err != nil || path != embeddingPath && !got.Stream || a.model == "" || a.hints.promptTokens < 0 || a.hints.maxOutputTokens < 1 {
			t.Fatalf("%q: %v, %q, %+v", data, err, a.body, a)
		}
		w := jsonscan.Object(a.body)
		names := map[string]bool{}
		for name, _, ok := w.Next(); ok; name, _, ok = w.Next() {
			if names[string(name)] {
				t.Fatalf("%q has duplicate field %s", a.body, name)
			}
			names[string(name)] = true
		}
	})
}

func BenchmarkStream(b *testing.B) {
	const n = 40
	var stream bytes.Buffer
	for i := range n {
		fmt.Fprintf(&stream, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"},\"finish_reason\":null}]}\n\n", i)
	}
	text := stream.Bytes()
	b.Run("rewritten without decoding", func(b *testing.B) {
		b.ReportAllocs()
		out := make([]byte, 0, 64<<10)
		for b.Loop() {
			r := newRewriter(testMetadata, false, false)
			if _, err := r.translate(out[:0], text); err != nil {
				b.Fatal(err)
			}
		}
	})
	// For comparison, the method of the previous version: it decoded each event twice and encoded it
	// again.
	b.Run("decoded", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var s sse.Scanner
			if err := s.Write(text, func(e sse.Event) error {
				var c chatChunk
				if err := codec.Unmarshal(e.Data, &c); err != nil {
					return err
				}
				var all map[string]json.RawMessage
				if err := codec.Unmarshal(e.Data, &all); err != nil {
					return err
				}
				for name, value := range map[string]any{"id": testMetadata.id, "object": testMetadata.object, "created": testMetadata.created, "model": testMetadata.model} {
					raw, err := codec.Marshal(value)
					if err != nil {
						return err
					}
					all[name] = raw
				}
				_, err := codec.Marshal(all)
				return err
			}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
