package engine

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// request is the part of a request body that an engine evaluates.
type request struct {
	Model               string
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	N                   int `json:"n"`
	Seed                *int
	Logprobs            any
	Stop                any
	Messages            []struct {
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
	// ContinueFinalMessage says that the last message is the beginning of the answer.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// continuedTokens returns the number of the answer's tokens that the request contains for continuation.
func (q request) continuedTokens() int {
	if !q.ContinueFinalMessage || len(q.Messages) == 0 {
		return 0
	}
	var text string
	_ = jsoniter.Unmarshal(q.Messages[len(q.Messages)-1].Content, &text)
	return len(strings.Fields(text))
}

// Keywords in a prompt that select a special answer.
const (
	refusalKeyword   = "please-refuse"
	reasoningKeyword = "please-think"
)

// script returns the data of the events that answer a request, in order.
func (e *Engine) script(path string, q request, raw []byte, tokens, cached, out int) []string {
	a := &answerBuilder{engine: e, request: q, raw: raw, choices: max(1, q.N), out: out}
	outputTokens := out * a.choices
	choice, _ := q.ToolChoice.(string)
	switch {
	case path == completionPath:
		a.completion()
	case len(q.Tools) > 0 && choice != "none":
		a.opening()
		outputTokens = a.toolCalls()
	default:
		a.opening()
		a.content()
	}
	return append(a.events, e.usage(tokens, cached, outputTokens)...)
}

// answerBuilder builds the events of an answer.
type answerBuilder struct {
	engine  *Engine
	request request
	raw     []byte
	choices int
	out     int // answer tokens of each choice
	events  []string
}

func (a *answerBuilder) add(choice string) {
	a.events = append(a.events, a.engine.chunk(a.request, choice))
}

func (a *answerBuilder) delta(choice int, delta, logprobs, finish string) {
	a.add(fmt.Sprintf(`{"index":%d,"delta":%s%s,"finish_reason":%s}`, choice, delta, logprobs, finish))
}

// completion adds the answer of the completions API.
func (a *answerBuilder) completion() {
	for i := range a.out {
		for c := range a.choices {
			a.add(fmt.Sprintf(`{"index":%d,"text":"t%d ","logprobs":null,"finish_reason":%s}`, c, i, finish(i == a.out-1, "stop")))
		}
	}
}

// opening adds the events before the content: the role and the reasoning.
func (a *answerBuilder) opening() {
	for c := range a.choices {
		if a.choices > 1 || len(a.request.Tools) > 0 {
			a.delta(c, `{"role":"assistant","content":""}`, "", "null")
		}
		if bytes.Contains(a.raw, []byte(reasoningKeyword)) {
			a.delta(c, `{"reasoning_content":"let me "}`, "", "null")
			a.delta(c, `{"reasoning_content":"see"}`, "", "null")
		}
	}
}

// Limits of tool calls in answers.
const (
	maxToolCalls  = 2
	tokensPerCall = 6
)

// toolCalls adds tool calls, whose arguments are split and interleaved, and returns the number of tokens.
func (a *answerBuilder) toolCalls() int {
	calls := min(len(a.request.Tools), maxToolCalls)
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

// content adds the text of the answer, or a refusal if the prompt contains its keyword.
func (a *answerBuilder) content() {
	field := "content"
	if bytes.Contains(a.raw, []byte(refusalKeyword)) {
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

// word returns the i-th token of the text. If the response format is JSON, the tokens form an object.
func (a *answerBuilder) word(i int) string {
	format := a.request.ResponseFormat.Type
	if format != "json_object" && format != "json_schema" {
		return fmt.Sprintf("t%d ", a.request.continuedTokens()+i)
	}
	switch {
	case a.out == 1:
		return `{}`
	case i == 0:
		return `{\"answer\":\"`
	case i == a.out-1:
		return `\"}`
	}
	return fmt.Sprintf("t%d ", a.request.continuedTokens()+i)
}

func finish(last bool, reason string) string {
	if last {
		return `"` + reason + `"`
	}
	return "null"
}

// reason returns the finish reason of an answer: length, if the request's limit is below the engine's
// number of answer tokens.
func (e *Engine) reason(q request, out int) string {
	if limit := max(q.MaxTokens, q.MaxCompletionTokens); limit > 0 && out == limit && out < e.Tokens {
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

func (e *Engine) usage(tokens, cached, out int) []string {
	list := []string{fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`, tokens, out, tokens+out, cached)}
	if e.Quirk == QuirkNoDone {
		return list
	}
	return append(list, "[DONE]")
}

// Quirks of an engine's streams. Clients of such engines tolerate each of them.
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

// Quirks returns all quirks.
func Quirks() []string {
	return []string{QuirkNoDone, QuirkCRLF, QuirkComments, QuirkMultilineData, QuirkByteOrderMark, QuirkSingleBytes, QuirkNoFinalBlankLine, QuirkGzip, QuirkExtraFields}
}

// encodeEvents returns the bytes of a stream in the order of writes. A write contains at most one event.
func encodeEvents(events []string, quirk string) [][]byte {
	var out [][]byte
	for i, data := range events {
		text := "data: " + data + "\n\n"
		switch quirk {
		case QuirkCRLF:
			text = "data: " + data + "\r\n\r\n"
		case QuirkComments:
			text = ": ping\n\nevent: message\nid: " + fmt.Sprint(i) + "\nretry: 100\n" + text
		case QuirkMultilineData:
			if comma := strings.Index(data, `,"`); comma > 0 && data[0] == '{' {
				text = "data: " + data[:comma+1] + "\ndata: " + data[comma+1:] + "\n\n"
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
			for i := range len(text) {
				out = append(out, []byte{text[i]})
			}
			continue
		}
		out = append(out, []byte(text))
	}
	if quirk != QuirkGzip {
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

// embed returns the answer to an embeddings request.
func embed(q request, raw []byte) []byte {
	inputCount := 1
	if list, isList := q.Input.([]any); isList && len(list) > 0 {
		if _, isToken := list[0].(float64); !isToken {
			inputCount = len(list)
		}
	}
	var data []string
	for i := range inputCount {
		data = append(data, fmt.Sprintf(`{"object":"embedding","index":%d,"embedding":[0.25,-0.5,%d]}`, i, i))
	}
	tokens := max(1, len(raw)/charsPerToken)
	return fmt.Appendf(nil, `{"object":"list","data":[%s],"model":"its-own","usage":{"prompt_tokens":%d,"total_tokens":%d}}`, strings.Join(data, ","), tokens, tokens)
}
