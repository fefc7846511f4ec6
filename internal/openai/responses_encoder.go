package openai

import (
	"bytes"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

// responsesEncoder is an answer of the responses API as it grows.
type responsesEncoder struct {
	echo         map[string]jsoniter.RawMessage // of the request
	head         head
	scanner      sse.Scanner
	out          []byte
	sequence     int // of the next event
	started      bool
	items        []*outputItem
	toolCalls    map[int]*outputItem // by the index of a tool call
	finishReason string
	usage        jsoniter.RawMessage
	size         int
	streaming    bool // the client gets events, not the response alone
	state        resume.Answer
}

func (t *responsesEncoder) contentType() string {
	if t.streaming {
		return eventStream
	}
	return jsonType
}

func (t *responsesEncoder) progress() *resume.Answer { return &t.state }

func (t *responsesEncoder) complete() bool  { return false }
func (t *responsesEncoder) discardPartial() { t.scanner = sse.Scanner{} }

// nextAttempt forgets what came: its client has been given none of it, as events of an answer
// that has begun can't go on.
func (t *responsesEncoder) nextAttempt() {
	*t = responsesEncoder{echo: t.echo, head: t.head, streaming: t.streaming, toolCalls: map[int]*outputItem{}}
}

// outputItem is one item of the output.
type outputItem struct {
	id, kind     string // kind: message, function_call
	index        int
	openPart     string // the type of the part under way; "" for none
	text         []byte
	refusal      []byte
	callID, name string
	arguments    []byte
}

// chatChunk is what is read of a chunk.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content   string `json:"content"`
			Refusal   string `json:"refusal"`
			ToolCalls []struct {
				Index    int    `json:"index"`
				ID       string `json:"id"`
				Function struct {
					Name      string `json:"name"`
					Arguments string `json:"arguments"`
				} `json:"function"`
			} `json:"tool_calls"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage jsoniter.RawMessage `json:"usage"`
	Error jsoniter.RawMessage `json:"error"`
}

// emit adds an event, numbered, so that a client can tell that none is missing.
func (t *responsesEncoder) emit(kind string, fields map[string]any) {
	if !t.streaming {
		return
	}
	t.state.Passed()
	t.state.Other() // typed events can't go on at another engine
	fields["type"], fields["sequence_number"] = kind, t.sequence
	t.sequence++
	raw, err := codec.Marshal(fields)
	if err != nil {
		return
	}
	t.out = append(t.out, "event: "+kind+"\ndata: "...)
	t.out = append(append(t.out, raw...), "\n\n"...)
}

// translate adds the events that come of p to dst.
func (t *responsesEncoder) translate(dst, p []byte) ([]byte, error) {
	t.out = dst
	err := t.scanner.Write(p, t.handleEvent)
	return t.out, err
}

// finish does the same at the end of the stream.
func (t *responsesEncoder) finish(dst []byte) ([]byte, error) {
	t.out = dst
	if err := t.scanner.End(t.handleEvent); err != nil {
		return t.out, err
	}
	if !t.state.Whole() {
		return t.out, errTruncated
	}
	t.start()
	for _, it := range t.items {
		t.finishItem(it)
	}
	status := t.status()
	t.emit("response."+status, map[string]any{"response": t.object(status, nil)})
	if !t.streaming {
		raw, err := codec.Marshal(t.object(status, nil))
		if err != nil {
			return t.out, err
		}
		t.out = append(append(t.out, raw...), '\n')
	}
	return t.out, nil
}

func (t *responsesEncoder) status() string {
	if t.finishReason == "length" || t.finishReason == "content_filter" {
		return "incomplete"
	}
	return "completed"
}

// failure is what ends a stream that broke.
func (t *responsesEncoder) failure(e apiError) []byte {
	t.out = nil
	t.start()
	t.emit("response.failed", map[string]any{"response": t.object("failed", map[string]any{"code": e.code, "message": e.text})})
	return t.out
}

func (t *responsesEncoder) start() {
	if t.started {
		return
	}
	t.started = true
	t.emit("response.created", map[string]any{"response": t.object("in_progress", nil)})
	t.emit("response.in_progress", map[string]any{"response": t.object("in_progress", nil)})
}

func (t *responsesEncoder) handleEvent(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if t.state.Over() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, doneBytes) {
		t.state.Last()
		return nil
	}
	if t.size += len(data); t.size > maxResponseBytes {
		return errResponseTooLarge
	}
	var c chatChunk
	if w := jsonscan.Object(data); true {
		for _, _, ok := w.Next(); ok; _, _, ok = w.Next() {
		}
		if w.Err() != nil || codec.Unmarshal(data, &c) != nil {
			return errInvalidChunk
		}
	}
	if len(c.Error) > 0 && !isNull(c.Error) {
		return reportedError{errorMessage(c.Error)}
	}
	t.start()
	if len(c.Usage) > 0 && !isNull(c.Usage) {
		t.usage = bytes.Clone(c.Usage)
	}
	for _, choice := range c.Choices {
		d := choice.Delta
		if d.Content != "" {
			t.appendText("output_text", d.Content)
		}
		if d.Refusal != "" {
			t.appendText("refusal", d.Refusal)
		}
		for _, call := range d.ToolCalls {
			if call.Index < 0 || call.Index > maxIndex {
				return errInvalidChunk
			}
			it := t.toolCalls[call.Index]
			if it == nil {
				it = t.addItem("function_call")
				t.toolCalls[call.Index] = it
				it.callID, it.name = call.ID, call.Function.Name
				t.emit("response.output_item.added", map[string]any{"output_index": it.index, "item": it.object("in_progress")})
			} else {
				it.name += call.Function.Name
			}
			if a := call.Function.Arguments; a != "" {
				it.arguments = append(it.arguments, a...)
				t.emit("response.function_call_arguments.delta", map[string]any{"item_id": it.id, "output_index": it.index, "delta": a})
			}
		}
		if choice.Finish != "" {
			t.finishReason = choice.Finish
		}
		t.state.Choice(0, choice.Finish != "")
	}
	return nil
}

func (t *responsesEncoder) addItem(kind string) *outputItem {
	prefix := map[string]string{"message": "msg_", "function_call": "fc_"}[kind]
	it := &outputItem{id: prefix + requestID(t.head.id) + "_" + strconv.Itoa(len(t.items)), kind: kind, index: len(t.items)}
	t.items = append(t.items, it)
	return it
}

// appendText adds text to the message, which is opened if it is not.
func (t *responsesEncoder) appendText(kind, text string) {
	var it *outputItem
	for _, x := range t.items {
		if x.kind == "message" {
			it = x
		}
	}
	if it == nil {
		it = t.addItem("message")
		t.emit("response.output_item.added", map[string]any{"output_index": it.index, "item": map[string]any{
			"id": it.id, "type": "message", "status": "in_progress", "role": "assistant", "content": []any{}}})
	}
	if it.openPart != kind {
		t.finishPart(it)
		it.openPart = kind
		t.emit("response.content_part.added", map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind), "part": it.part(kind, "")})
	}
	where := map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind), "delta": text}
	if kind == "refusal" {
		it.refusal = append(it.refusal, text...)
		t.emit("response.refusal.delta", where)
		return
	}
	it.text = append(it.text, text...)
	where["logprobs"] = []any{}
	t.emit("response.output_text.delta", where)
}

// contentIndex is where a part stands: the text, if there is any, before a refusal.
func (it *outputItem) contentIndex(kind string) int {
	if kind == "refusal" && len(it.text) > 0 {
		return 1
	}
	return 0
}

func (it *outputItem) part(kind, text string) map[string]any {
	if kind == "refusal" {
		return map[string]any{"type": "refusal", "refusal": text}
	}
	return map[string]any{"type": "output_text", "text": text, "annotations": []any{}, "logprobs": []any{}}
}

func (t *responsesEncoder) finishPart(it *outputItem) {
	kind := it.openPart
	if kind == "" {
		return
	}
	it.openPart = ""
	where := map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind)}
	text := string(it.text)
	if kind == "refusal" {
		text = string(it.refusal)
		where["refusal"] = text
		t.emit("response.refusal.done", where)
	} else {
		where["text"], where["logprobs"] = text, []any{}
		t.emit("response.output_text.done", where)
	}
	t.emit("response.content_part.done", map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind), "part": it.part(kind, text)})
}

func (t *responsesEncoder) finishItem(it *outputItem) {
	t.finishPart(it)
	if it.kind == "function_call" {
		t.emit("response.function_call_arguments.done", map[string]any{"item_id": it.id, "output_index": it.index, "name": it.name, "arguments": string(it.arguments)})
	}
	t.emit("response.output_item.done", map[string]any{"output_index": it.index, "item": it.object("completed")})
}

func (it *outputItem) object(status string) map[string]any {
	if it.kind == "function_call" {
		return map[string]any{"id": it.id, "type": "function_call", "status": status, "call_id": it.callID, "name": it.name, "arguments": string(it.arguments)}
	}
	content := []any{}
	if len(it.text) > 0 {
		content = append(content, it.part("output_text", string(it.text)))
	}
	if len(it.refusal) > 0 {
		content = append(content, it.part("refusal", string(it.refusal)))
	}
	return map[string]any{"id": it.id, "type": "message", "status": status, "role": "assistant", "content": content}
}

// object is the response as it stands.
func (t *responsesEncoder) object(status string, wrong any) map[string]any {
	output := []any{}
	if status != "in_progress" {
		for _, it := range t.items {
			output = append(output, it.object(map[bool]string{true: "completed", false: "incomplete"}[status == "completed"]))
		}
	}
	o := map[string]any{
		"id": "resp_" + requestID(t.head.id), "object": "response", "created_at": t.head.created, "status": status, "model": t.head.model, "output": output,
		"error": wrong, "incomplete_details": nil, "usage": nil, "store": false, "instructions": nil, "metadata": map[string]any{},
		"parallel_tool_calls": true, "tools": []any{}, "tool_choice": "auto", "previous_response_id": nil,
	}
	for name, raw := range t.echo {
		o[name] = raw
	}
	if status == "incomplete" {
		o["incomplete_details"] = map[string]any{"reason": map[bool]string{true: "max_output_tokens", false: "content_filter"}[t.finishReason == "length"]}
	}
	var u struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
		In         struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
		Out struct {
			Reasoning int `json:"reasoning_tokens"`
		} `json:"completion_tokens_details"`
	}
	if t.usage != nil && codec.Unmarshal(t.usage, &u) == nil {
		if u.Total == 0 {
			u.Total = u.Prompt + u.Completion
		}
		o["usage"] = map[string]any{
			"input_tokens": u.Prompt, "input_tokens_details": map[string]any{"cached_tokens": u.In.Cached},
			"output_tokens": u.Completion, "output_tokens_details": map[string]any{"reasoning_tokens": u.Out.Reasoning}, "total_tokens": u.Total,
		}
	}
	return o
}
