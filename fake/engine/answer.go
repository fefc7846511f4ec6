package engine

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// request is what an engine reads of a call.
type request struct {
	Model     string
	MaxTokens int `json:"max_tokens"`
	MostOut   int `json:"max_completion_tokens"`
	N         int `json:"n"`
	Seed      *int
	Logprobs  any
	Stop      any
	Messages  []struct {
		Content jsoniter.RawMessage
	}
	Prompt any
	Input  any
	Tools  []struct {
		Function struct{ Name string }
	}
	ToolChoice     any                   `json:"tool_choice"`
	Parallel       *bool                 `json:"parallel_tool_calls"`
	ResponseFormat struct{ Type string } `json:"response_format"`
	GoOn           bool                  `json:"continue_final_message"` // the last message is the answer so far
}

// said is how many tokens of the answer are in the request.
func (q request) said() int {
	if !q.GoOn || len(q.Messages) == 0 {
		return 0
	}
	var text string
	_ = jsoniter.Unmarshal(q.Messages[len(q.Messages)-1].Content, &text)
	return len(strings.Fields(text))
}

// Words in a prompt that have the engine answer in a way of its own.
const (
	wordRefuse = "please-refuse"
	wordThink  = "please-think"
)

// script returns the data of the events that answer a request, in order.
func (e *Engine) script(path string, q request, raw []byte, tokens, kept, out int) []string {
	n := max(1, q.N)
	var list []string
	add := func(choices string) { list = append(list, e.chunk(path, q, choices)) }
	if path == completionPath {
		for i := range out {
			for c := range n {
				add(fmt.Sprintf(`{"index":%d,"text":"t%d ","logprobs":null,"finish_reason":%s}`, c, i, finish(i == out-1, "stop")))
			}
		}
		return append(list, e.usage(path, tokens, kept, out*n)...)
	}
	delta := func(c int, delta, logprobs, finish string) {
		add(fmt.Sprintf(`{"index":%d,"delta":%s%s,"finish_reason":%s}`, c, delta, logprobs, finish))
	}
	for c := range n {
		if n > 1 || len(q.Tools) > 0 {
			delta(c, `{"role":"assistant","content":""}`, "", "null")
		}
		if bytes.Contains(raw, []byte(wordThink)) {
			delta(c, `{"reasoning_content":"let me "}`, "", "null")
			delta(c, `{"reasoning_content":"see"}`, "", "null")
		}
	}
	if choice, _ := q.ToolChoice.(string); len(q.Tools) > 0 && choice != "none" {
		calls := min(len(q.Tools), 2)
		if q.Parallel != nil && !*q.Parallel {
			calls = 1
		}
		for c := range n {
			for i := range calls {
				delta(c, fmt.Sprintf(`{"tool_calls":[{"index":%d,"id":"call_%d","type":"function","function":{"name":%q,"arguments":""}}]}`, i, i, q.Tools[i].Function.Name), "", "null")
			}
			for _, part := range []string{`{\"part\"`, `:\"hull `, `fitting\"}`} { // the calls' arguments come in turn
				for i := range calls {
					delta(c, fmt.Sprintf(`{"tool_calls":[{"index":%d,"function":{"arguments":"%s"}}]}`, i, part), "", "null")
				}
			}
			delta(c, `{}`, "", `"tool_calls"`)
		}
		return append(list, e.usage(path, tokens, kept, 6*calls*n)...)
	}
	for i := range out {
		word := fmt.Sprintf("t%d ", q.said()+i)
		if q.ResponseFormat.Type == "json_object" || q.ResponseFormat.Type == "json_schema" {
			switch {
			case out == 1:
				word = `{}`
			case i == 0:
				word = `{\"answer\":\"`
			case i == out-1:
				word = `\"}`
			}
		}
		field := "content"
		if bytes.Contains(raw, []byte(wordRefuse)) {
			field = "refusal"
		}
		logprobs := ""
		if on, _ := q.Logprobs.(bool); on {
			logprobs = fmt.Sprintf(`,"logprobs":{"content":[{"token":"%s","logprob":-0.5,"bytes":null,"top_logprobs":[]}],"refusal":null}`, word)
		}
		for c := range n {
			delta(c, fmt.Sprintf(`{"%s":"%s"}`, field, word), logprobs, finish(i == out-1, e.reason(q, out)))
		}
	}
	return append(list, e.usage(path, tokens, kept, out*n)...)
}

func finish(last bool, reason string) string {
	if last {
		return `"` + reason + `"`
	}
	return "null"
}

// reason is why an answer ends: at its limit, if the request set one below what the
// engine would have said.
func (e *Engine) reason(q request, out int) string {
	if limit := max(q.MaxTokens, q.MostOut); limit > 0 && out == limit && out < e.Tokens {
		return "length"
	}
	return "stop"
}

func (e *Engine) chunk(path string, q request, choices string) string {
	if e.Odd != OddFull {
		return `{"choices":[` + choices + `]}`
	}
	seed := 0
	if q.Seed != nil {
		seed = *q.Seed
	}
	return fmt.Sprintf(`{"id":"its-own","object":"its-own","created":1,"model":"its-own","system_fingerprint":"fp_%d","choices":[%s],"usage":null}`, seed, choices)
}

func (e *Engine) usage(path string, tokens, kept, out int) []string {
	list := []string{fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`, tokens, out, tokens+out, kept)}
	if e.Odd == OddNoDone {
		return list
	}
	return append(list, "[DONE]")
}

// The odd ways of engines: each is within what clients of such engines put up with.
const (
	OddNoDone   = "no last event"
	OddCRLF     = "CRLF"
	OddComments = "comments and pings"
	OddLines    = "data of several lines"
	OddMark     = "a byte order mark"
	OddBytes    = "a byte at a time"
	OddOpen     = "no blank line at the end"
	OddGzip     = "gzip, unasked"
	OddFull     = "fields of its own"
)

// Odds are all odd ways.
func Odds() []string {
	return []string{OddNoDone, OddCRLF, OddComments, OddLines, OddMark, OddBytes, OddOpen, OddGzip, OddFull}
}

// pieces returns the bytes of a stream as they are written, an event each or less.
func pieces(events []string, odd string) [][]byte {
	var out [][]byte
	for i, data := range events {
		text := "data: " + data + "\n\n"
		switch odd {
		case OddCRLF:
			text = "data: " + data + "\r\n\r\n"
		case OddComments:
			text = ": ping\n\nevent: message\nid: " + fmt.Sprint(i) + "\nretry: 100\n" + text
		case OddLines:
			if at := strings.Index(data, `,"`); at > 0 && data[0] == '{' {
				text = "data: " + data[:at+1] + "\ndata: " + data[at+1:] + "\n\n"
			}
		case OddMark:
			if i == 0 {
				text = "\xEF\xBB\xBF" + text
			}
		case OddOpen:
			if i == len(events)-1 {
				text = "data: " + data
			}
		case OddBytes:
			for b := range len(text) {
				out = append(out, []byte{text[b]})
			}
			continue
		}
		out = append(out, []byte(text))
	}
	if odd != OddGzip {
		return out
	}
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	for i := range out {
		_, _ = z.Write(out[i])
		_ = z.Flush()
		if i == len(out)-1 {
			_ = z.Close()
		}
		out[i] = bytes.Clone(zipped.Bytes())
		zipped.Reset()
	}
	return out
}

// embed answers an embeddings call.
func embed(q request, raw []byte) []byte {
	inputs := 1
	if list, is := q.Input.([]any); is && len(list) > 0 {
		if _, token := list[0].(float64); !token {
			inputs = len(list)
		}
	}
	var data []string
	for i := range inputs {
		data = append(data, fmt.Sprintf(`{"object":"embedding","index":%d,"embedding":[0.25,-0.5,%d]}`, i, i))
	}
	tokens := max(1, len(raw)/charsPerToken)
	return fmt.Appendf(nil, `{"object":"list","data":[%s],"model":"its-own","usage":{"prompt_tokens":%d,"total_tokens":%d}}`, strings.Join(data, ","), tokens, tokens)
}
