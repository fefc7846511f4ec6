package openai

import (
	"bytes"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/resume"
	"wellgw/internal/sse"
)

// responsesEncoder translates a chat stream to an answer of the responses API: typed events or a
// single object.
type responsesEncoder struct {
	echo         map[string]jsoniter.RawMessage // the request fields that the response repeats
	metadata     metadata
	scanner      sse.Scanner
	out          []byte
	sequence     int // sequence number of the next event
	started      bool
	items        []*outputItem
	toolCalls    map[int]*outputItem // by tool call index
	finishReason string
	usage        jsoniter.RawMessage
	size         int  // bytes of events
	held         int  // approximate memory of items, in bytes
	streaming    bool // the client gets events, not a single object
	state        resume.Progress
}

func (t *responsesEncoder) contentType() string {
	if t.streaming {
		return eventStream
	}
	return jsonType
}

func (t *responsesEncoder) progress() *resume.Progress { return &t.state }

func (t *responsesEncoder) complete() bool  { return false }
func (t *responsesEncoder) heldBytes() int  { return t.held }
func (t *responsesEncoder) discardPartial() { t.scanner = sse.Scanner{} }

// nextAttempt discards the answer received so far. No part of it has been sent: an answer with typed
// events can't be continued at another engine after its first event.
func (t *responsesEncoder) nextAttempt() {
	*t = responsesEncoder{echo: t.echo, metadata: t.metadata, streaming: t.streaming, toolCalls: map[int]*outputItem{}}
}

// Finish reasons of engines for an incomplete answer.
const (
	finishLength        = "length"
	finishContentFilter = "content_filter"
)

// chatChunk holds the fields of a chat chunk that the encoder reads.
type chatChunk struct {
	Choices []struct {
		Delta  chatDelta `json:"delta"`
		Finish string    `json:"finish_reason"`
	} `json:"choices"`
	Usage jsoniter.RawMessage `json:"usage"`
	Error jsoniter.RawMessage `json:"error"`
}

// chatDelta is the addition of a chunk to a choice.
type chatDelta struct {
	Content   string          `json:"content"`
	Refusal   string          `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

// toolCallDelta is the addition of a chunk to the tool call with the same index.
type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// emit appends an event with the next sequence number, if the client streams.
func (t *responsesEncoder) emit(kind string, fields map[string]any) {
	if !t.streaming {
		return
	}
	t.state.RecordSent()
	t.state.RecordOtherContent() // prevents a continuation at another engine
	fields["type"], fields["sequence_number"] = kind, t.sequence
	t.sequence++
	raw, err := codec.Marshal(fields)
	if err != nil {
		return
	}
	t.out = append(t.out, "event: "+kind+"\ndata: "...)
	t.out = append(append(t.out, raw...), "\n\n"...)
}

// translate appends to dst the events for p, the next bytes of the stream.
func (t *responsesEncoder) translate(dst, p []byte) ([]byte, error) {
	t.out = dst
	err := t.scanner.Write(p, t.handleEvent)
	return t.out, err
}

// finish appends the events for the end of the stream or, if the client does not stream, the response
// object.
func (t *responsesEncoder) finish(dst []byte) ([]byte, error) {
	t.out = dst
	if err := t.scanner.End(t.handleEvent); err != nil {
		return t.out, err
	}
	if !t.state.Complete() {
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

// status returns the response's status after the end of the stream.
func (t *responsesEncoder) status() string {
	if t.finishReason == finishLength || t.finishReason == finishContentFilter {
		return statusIncomplete
	}
	return statusCompleted
}

// failure returns the events that end a broken stream.
func (t *responsesEncoder) failure(e apiError) []byte {
	t.out = nil
	t.start()
	t.emit("response.failed", map[string]any{"response": t.object(statusFailed, map[string]any{"code": e.code, "message": e.message})})
	return t.out
}

// start appends the initial events of a response, unless it has done so already.
func (t *responsesEncoder) start() {
	if t.started {
		return
	}
	t.started = true
	t.emit("response.created", map[string]any{"response": t.object(statusInProgress, nil)})
	t.emit("response.in_progress", map[string]any{"response": t.object(statusInProgress, nil)})
}

func (t *responsesEncoder) handleEvent(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if t.state.StreamEnded() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, doneBytes) {
		t.state.RecordStreamEnd()
		return nil
	}
	if t.size += len(data); t.size > maxResponseBytes {
		return errResponseTooLarge
	}
	var c chatChunk
	if !isObject(data) || codec.Unmarshal(data, &c) != nil {
		return errInvalidChunk
	}
	if len(c.Error) > 0 && !isNull(c.Error) {
		return reportedError{errorMessage(c.Error)}
	}
	t.start()
	if len(c.Usage) > 0 && !isNull(c.Usage) {
		t.usage = bytes.Clone(c.Usage)
	}
	for _, choice := range c.Choices {
		if err := t.addDelta(choice.Delta); err != nil {
			return err
		}
		if choice.Finish != "" {
			t.finishReason = choice.Finish
		}
		t.state.RecordChoice(0, choice.Finish != "")
	}
	return nil
}

// addDelta adds the content, refusal and tool calls of a chunk to their output items.
func (t *responsesEncoder) addDelta(d chatDelta) error {
	t.held += len(d.Content) + len(d.Refusal)
	if d.Content != "" {
		t.appendText(textPart, d.Content)
	}
	if d.Refusal != "" {
		t.appendText(refusalPart, d.Refusal)
	}
	for _, call := range d.ToolCalls {
		if call.Index < 0 || call.Index > maxIndex {
			return errInvalidChunk
		}
		t.addToolCall(call)
	}
	return nil
}

// addToolCall adds a part of a tool call. The first part of a call creates its output item.
func (t *responsesEncoder) addToolCall(call toolCallDelta) {
	t.held += len(call.Function.Name) + len(call.Function.Arguments)
	it := t.toolCalls[call.Index]
	if it == nil {
		it = t.addItem(functionCallItem)
		t.toolCalls[call.Index] = it
		it.callID, it.name = call.ID, call.Function.Name
		t.emit("response.output_item.added", map[string]any{"output_index": it.index, "item": it.object(statusInProgress)})
	} else {
		it.name += call.Function.Name
	}
	if a := call.Function.Arguments; a != "" {
		it.arguments = append(it.arguments, a...)
		t.emit("response.function_call_arguments.delta", map[string]any{"item_id": it.id, "output_index": it.index, "delta": a})
	}
}

// addItem adds an empty item to the output.
func (t *responsesEncoder) addItem(kind string) *outputItem {
	prefix := map[string]string{messageItem: "msg_", functionCallItem: "fc_"}[kind]
	it := &outputItem{id: prefix + requestID(t.metadata.id) + "_" + strconv.Itoa(len(t.items)), kind: kind, index: len(t.items)}
	t.items = append(t.items, it)
	t.held += outputItemBytes
	return it
}

// appendText adds text to the message item, which it creates if there is none.
func (t *responsesEncoder) appendText(kind, text string) {
	var it *outputItem
	for _, x := range t.items {
		if x.kind == messageItem {
			it = x
		}
	}
	if it == nil {
		it = t.addItem(messageItem)
		t.emit("response.output_item.added", map[string]any{"output_index": it.index, "item": map[string]any{
			"id": it.id, "type": messageItem, "status": statusInProgress, "role": "assistant", "content": []any{}}})
	}
	if it.openPart != kind {
		t.finishPart(it)
		it.openPart = kind
		t.emit("response.content_part.added", map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind), "part": it.part(kind, "")})
	}
	fields := map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind), "delta": text}
	if kind == refusalPart {
		it.refusal = append(it.refusal, text...)
		t.emit("response.refusal.delta", fields)
		return
	}
	it.text = append(it.text, text...)
	fields["logprobs"] = []any{}
	t.emit("response.output_text.delta", fields)
}

// finishPart appends the events that end the open part, if there is one.
func (t *responsesEncoder) finishPart(it *outputItem) {
	kind := it.openPart
	if kind == "" {
		return
	}
	it.openPart = ""
	fields := map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind)}
	text := string(it.text)
	if kind == refusalPart {
		text = string(it.refusal)
		fields["refusal"] = text
		t.emit("response.refusal.done", fields)
	} else {
		fields["text"], fields["logprobs"] = text, []any{}
		t.emit("response.output_text.done", fields)
	}
	t.emit("response.content_part.done", map[string]any{"item_id": it.id, "output_index": it.index, "content_index": it.contentIndex(kind), "part": it.part(kind, text)})
}

// finishItem appends the events that end an item.
func (t *responsesEncoder) finishItem(it *outputItem) {
	t.finishPart(it)
	if it.kind == functionCallItem {
		t.emit("response.function_call_arguments.done", map[string]any{"item_id": it.id, "output_index": it.index, "name": it.name, "arguments": string(it.arguments)})
	}
	t.emit("response.output_item.done", map[string]any{"output_index": it.index, "item": it.object(statusCompleted)})
}

// object returns the response with the output so far; failure is its error object, nil for none.
func (t *responsesEncoder) object(status string, failure any) map[string]any {
	o := map[string]any{
		"id": "resp_" + requestID(t.metadata.id), "object": "response", "created_at": t.metadata.created, "status": status, "model": t.metadata.model, "output": t.output(status),
		"error": failure, "incomplete_details": nil, "usage": nil, "store": false, "instructions": nil, "metadata": map[string]any{},
		"parallel_tool_calls": true, "tools": []any{}, "tool_choice": "auto", "previous_response_id": nil,
	}
	for name, raw := range t.echo {
		o[name] = raw
	}
	if status == statusIncomplete {
		reason := "content_filter"
		if t.finishReason == finishLength {
			reason = "max_output_tokens"
		}
		o["incomplete_details"] = map[string]any{"reason": reason}
	}
	if usage := t.responseUsage(); usage != nil {
		o["usage"] = usage
	}
	return o
}

// output returns the list of items, which is empty for a response in progress.
func (t *responsesEncoder) output(status string) []any {
	output := []any{}
	if status == statusInProgress {
		return output
	}
	itemStatus := statusIncomplete
	if status == statusCompleted {
		itemStatus = statusCompleted
	}
	for _, it := range t.items {
		output = append(output, it.object(itemStatus))
	}
	return output
}

// responseUsage returns the engine's usage under the names of the responses API, nil for none.
func (t *responsesEncoder) responseUsage() map[string]any {
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
	if t.usage == nil || codec.Unmarshal(t.usage, &u) != nil {
		return nil
	}
	if u.Total == 0 {
		u.Total = u.Prompt + u.Completion
	}
	return map[string]any{
		"input_tokens": u.Prompt, "input_tokens_details": map[string]any{"cached_tokens": u.In.Cached},
		"output_tokens": u.Completion, "output_tokens_details": map[string]any{"reasoning_tokens": u.Out.Reasoning}, "total_tokens": u.Total,
	}
}
