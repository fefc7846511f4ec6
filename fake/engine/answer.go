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
	a := &scripted{engine: e, request: q, raw: raw, choices: max(1, q.N), out: out}
	used := out * a.choices
	choice, _ := q.ToolChoice.(string)
	switch {
	case path == completionPath:
		a.completion()
	case len(q.Tools) > 0 && choice != "none":
		a.opening()
		used = a.toolCalls()
	default:
		a.opening()
		a.content()
	}
	return append(a.events, e.usage(tokens, kept, used)...)
}

// scripted is an answer as it is put together.
type scripted struct {
	engine  *Engine
	request request
	raw     []byte
	choices int
	out     int // tokens of each choice
	events  []string
}

func (a *scripted) add(choice string) {
	a.events = append(a.events, a.engine.chunk(a.request, choice))
}

func (a *scripted) delta(choice int, delta, logprobs, finish string) {
	a.add(fmt.Sprintf(`{"index":%d,"delta":%s%s,"finish_reason":%s}`, choice, delta, logprobs, finish))
}

// completion answers a call of the older API.
func (a *scripted) completion() {
	for i := range a.out {
		for c := range a.choices {
			a.add(fmt.Sprintf(`{"index":%d,"text":"t%d ","logprobs":null,"finish_reason":%s}`, c, i, finish(i == a.out-1, "stop")))
		}
	}
}

// opening adds what comes before the answer proper.
func (a *scripted) opening() {
	for c := range a.choices {
		if a.choices > 1 || len(a.request.Tools) > 0 {
			a.delta(c, `{"role":"assistant","content":""}`, "", "null")
		}
		if bytes.Contains(a.raw, []byte(wordThink)) {
			a.delta(c, `{"reasoning_content":"let me "}`, "", "null")
			a.delta(c, `{"reasoning_content":"see"}`, "", "null")
		}
	}
}

// Bounds of scripted calls of tools.
const (
	callsMost     = 2
	tokensPerCall = 6
)

// toolCalls answers with calls of tools, whose arguments come in turn, and returns the tokens.
func (a *scripted) toolCalls() int {
	calls := min(len(a.request.Tools), callsMost)
	if a.request.Parallel != nil && !*a.request.Parallel {
		calls = 1
	}
	for c := range a.choices {
		for i := range calls {
			a.delta(c, fmt.Sprintf(`{"tool_calls":[{"index":%d,"id":"call_%d","type":"function","function":{"name":%q,"arguments":""}}]}`, i, i, a.request.Tools[i].Function.Name), "", "null")
		}
		for _, part := range []string{`{\"part\"`, `:\"hull `, `fitting\"}`} {
			for i := range calls {
				a.delta(c, fmt.Sprintf(`{"tool_calls":[{"index":%d,"function":{"arguments":"%s"}}]}`, i, part), "", "null")
			}
		}
		a.delta(c, `{}`, "", `"tool_calls"`)
	}
	return tokensPerCall * calls * a.choices
}

// content answers with text, or with a refusal where the prompt asks for one.
func (a *scripted) content() {
	field := "content"
	if bytes.Contains(a.raw, []byte(wordRefuse)) {
		field = "refusal"
	}
	for i := range a.out {
		word := a.word(i)
		logprobs := ""
		if on, _ := a.request.Logprobs.(bool); on {
			logprobs = fmt.Sprintf(`,"logprobs":{"content":[{"token":"%s","logprob":-0.5,"bytes":null,"top_logprobs":[]}],"refusal":null}`, word)
		}
		for c := range a.choices {
			a.delta(c, fmt.Sprintf(`{"%s":"%s"}`, field, word), logprobs, finish(i == a.out-1, a.engine.reason(a.request, a.out)))
		}
	}
}

// word is the i-th token of the text: a part of an object, where the answer is to be one.
func (a *scripted) word(i int) string {
	format := a.request.ResponseFormat.Type
	if format != "json_object" && format != "json_schema" {
		return fmt.Sprintf("t%d ", a.request.said()+i)
	}
	switch {
	case a.out == 1:
		return `{}`
	case i == 0:
		return `{\"answer\":\"`
	case i == a.out-1:
		return `\"}`
	}
	return fmt.Sprintf("t%d ", a.request.said()+i)
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

func (e *Engine) chunk(q request, choices string) string {
	if e.Quirk != QuirkExtraFields {
		return `{"choices":[` + choices + `]}`
	}
	seed := 0
	if q.Seed != nil {
		seed = *q.Seed
	}
	return fmt.Sprintf(`{"id":"its-own","object":"its-own","created":1,"model":"its-own","system_fingerprint":"fp_%d","choices":[%s],"usage":null}`, seed, choices)
}

func (e *Engine) usage(tokens, kept, out int) []string {
	list := []string{fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`, tokens, out, tokens+out, kept)}
	if e.Quirk == QuirkNoDone {
		return list
	}
	return append(list, "[DONE]")
}

// The odd ways of engines: each is within what clients of such engines put up with.
const (
	QuirkNoDone           = "no last event"
	QuirkCRLF             = "CRLF"
	QuirkComments         = "comments and pings"
	QuirkMultilineData    = "data of several lines"
	QuirkByteOrderMark    = "a byte order mark"
	QuirkSingleBytes      = "a byte at a time"
	QuirkNoFinalBlankLine = "no blank line at the end"
	QuirkGzip             = "gzip, unasked"
	QuirkExtraFields      = "fields of its own"
)

// Quirks are all odd ways.
func Quirks() []string {
	return []string{QuirkNoDone, QuirkCRLF, QuirkComments, QuirkMultilineData, QuirkByteOrderMark, QuirkSingleBytes, QuirkNoFinalBlankLine, QuirkGzip, QuirkExtraFields}
}

// pieces returns the bytes of a stream as they are written, an event each or less.
func pieces(events []string, odd string) [][]byte {
	var out [][]byte
	for i, data := range events {
		text := "data: " + data + "\n\n"
		switch odd {
		case QuirkCRLF:
			text = "data: " + data + "\r\n\r\n"
		case QuirkComments:
			text = ": ping\n\nevent: message\nid: " + fmt.Sprint(i) + "\nretry: 100\n" + text
		case QuirkMultilineData:
			if at := strings.Index(data, `,"`); at > 0 && data[0] == '{' {
				text = "data: " + data[:at+1] + "\ndata: " + data[at+1:] + "\n\n"
			}
		case QuirkByteOrderMark:
			if i == 0 {
				text = "\xEF\xBB\xBF" + text
			}
		case QuirkNoFinalBlankLine:
			if i == len(events)-1 {
				text = "data: " + data
			}
		case QuirkSingleBytes:
			for b := range len(text) {
				out = append(out, []byte{text[b]})
			}
			continue
		}
		out = append(out, []byte(text))
	}
	if odd != QuirkGzip {
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
