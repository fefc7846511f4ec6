package openai

import (
	"bytes"
	"fmt"

	jsoniter "github.com/json-iterator/go"
)

// The responses API (/v1/responses) is translated to chat completions, the API that engines offer:
// its input is converted to messages, chunks are converted to typed events. Responses are not stored,
// so references to earlier ones are rejected.

// inputPart is one part of an input item's content.
type inputPart struct {
	Type     string `json:"type"`
	Text     string `json:"text"`
	Refusal  string `json:"refusal"`
	ImageURL string `json:"image_url"`
	Detail   string `json:"detail"`
	FileData string `json:"file_data"`
	FileID   string `json:"file_id"`
	Filename string `json:"filename"`
}

// unknownPartError reports a content part of an unsupported type.
type unknownPartError struct{ partType string }

func (e unknownPartError) Error() string { return "parts of type " + e.partType + " are not offered" }

// inputItem is one item of the input.
type inputItem struct {
	Type      string              `json:"type"`
	Role      string              `json:"role"`
	Content   jsoniter.RawMessage `json:"content"`
	CallID    string              `json:"call_id"`
	Name      string              `json:"name"`
	Arguments string              `json:"arguments"`
	Output    jsoniter.RawMessage `json:"output"`
}

// responsesOnlyFields are fields of the responses API that have another name or format in chat
// completions, or don't exist there.
var responsesOnlyFields = map[string]bool{
	"input": true, "instructions": true, "max_output_tokens": true, "tools": true, "tool_choice": true, "text": true, "reasoning": true,
	"store": true, "include": true, "truncation": true, "background": true, "previous_response_id": true, "conversation": true, "prompt": true,
	"max_tool_calls": true,
}

// echoedFields are the request fields that the response repeats.
var echoedFields = []string{
	"instructions", "max_output_tokens", "tools", "tool_choice", "text", "reasoning",
	"temperature", "top_p", "parallel_tool_calls", "metadata", "user", "truncation",
}

// chatFields are the fields of a chat request that replace those of the responses API, in order.
type chatFields struct {
	values map[string][]byte // nil: the field is removed
	order  []string
}

func (c *chatFields) set(name string, value any) {
	if raw, err := codec.Marshal(value); err == nil {
		c.values[name] = raw
		c.order = append(c.order, name)
	}
}

// parseResponses parses a request of the responses API and translates it to a chat request.
func parseResponses(data []byte, team string) (*apiRequest, *responsesEncoder, error) {
	f, err := readFields(data)
	if err != nil {
		return nil, nil, err
	}
	if err := checkSupported(f); err != nil {
		return nil, nil, err
	}
	messages, err := inputMessages(f)
	if err != nil {
		return nil, nil, err
	}
	chat := &chatFields{values: map[string][]byte{"messages": messages}, order: []string{"messages"}}
	for name := range responsesOnlyFields {
		chat.values[name] = nil
	}
	t := &responsesEncoder{echo: map[string]jsoniter.RawMessage{}, toolCalls: map[int]*outputItem{}}
	for _, name := range echoedFields {
		if raw := f.get(name); raw != nil {
			t.echo[name] = bytes.Clone(raw)
		}
	}
	if raw := f.get("max_output_tokens"); raw != nil {
		chat.set("max_completion_tokens", jsoniter.RawMessage(raw))
	}
	for _, translate := range []func(*fields, *chatFields) error{chatReasoning, chatTools, chatFormat} {
		if err := translate(f, chat); err != nil {
			return nil, nil, err
		}
	}
	a, err := parse(chatPath, f.replace(chat.values, chat.order...), team)
	return a, t, err
}

// checkSupported returns an error for fields that need stored responses.
func checkSupported(f *fields) error {
	for _, name := range []string{"previous_response_id", "conversation", "prompt"} {
		if f.get(name) != nil {
			return paramError{name, "nothing is stored here that it could refer to"}
		}
	}
	if string(f.get("background")) == "true" {
		return paramError{"background", "not offered"}
	}
	return nil
}

// conversation converts input items to chat messages.
type conversation struct {
	messages []any
	calls    []any // tool calls of one assistant turn, which are merged into one message
}

func (c *conversation) add(message map[string]any) { c.messages = append(c.messages, message) }

// endTurn adds a message with the pending tool calls, if there are any.
func (c *conversation) endTurn() {
	if len(c.calls) > 0 {
		c.add(map[string]any{"role": "assistant", "content": nil, "tool_calls": c.calls})
		c.calls = nil
	}
}

// addItem adds an input item; param is its name in errors.
func (c *conversation) addItem(it inputItem, param string) error {
	if it.Type != "function_call" {
		c.endTurn()
	}
	switch it.Type {
	case "message", "":
		if it.Role == "" {
			return paramError{param, "role is missing"}
		}
		content, err := chatContent(it.Content)
		if err != nil {
			return paramError{param, err.Error()}
		}
		c.add(map[string]any{"role": it.Role, "content": content})
	case "function_call":
		c.calls = append(c.calls, map[string]any{"id": it.CallID, "type": "function", "function": map[string]any{"name": it.Name, "arguments": it.Arguments}})
	case "function_call_output":
		content, err := chatContent(it.Output)
		if err != nil {
			return paramError{param, err.Error()}
		}
		c.add(map[string]any{"role": "tool", "tool_call_id": it.CallID, "content": content})
	case "reasoning": // dropped: engines store no reasoning items
	default:
		return paramError{param, "items of type " + firstLine(it.Type) + " are not offered"}
	}
	return nil
}

// inputMessages converts a request's instructions and input to chat messages, as JSON.
func inputMessages(f *fields) ([]byte, error) {
	c := &conversation{}
	if raw := f.get("instructions"); raw != nil {
		t, is := unquote(raw)
		if !is {
			return nil, paramError{"instructions", "is no text"}
		}
		c.add(map[string]any{"role": "system", "content": string(t)})
	}
	raw := f.get("input")
	if raw == nil {
		return nil, paramError{"input", "missing"}
	}
	if t, is := unquote(raw); is {
		c.add(map[string]any{"role": "user", "content": string(t)})
		return codec.Marshal(c.messages)
	}
	var items []inputItem
	if codec.Unmarshal(raw, &items) != nil {
		return nil, paramError{"input", "is neither a text nor a list of items"}
	}
	for i, it := range items {
		if err := c.addItem(it, fmt.Sprintf("input[%d]", i)); err != nil {
			return nil, err
		}
	}
	c.endTurn()
	return codec.Marshal(c.messages)
}

// chatReasoning translates the reasoning effort.
func chatReasoning(f *fields, chat *chatFields) error {
	var reasoning struct {
		Effort string `json:"effort"`
	}
	if err := f.decode("reasoning", &reasoning); err != nil {
		return err
	}
	if reasoning.Effort != "" {
		chat.set("reasoning_effort", reasoning.Effort)
	}
	return nil
}

// chatContent translates an item's content, which is a text or a list of parts.
func chatContent(raw []byte) (any, error) {
	if len(raw) == 0 || isNull(raw) {
		return "", nil
	}
	if t, is := unquote(raw); is {
		return string(t), nil
	}
	var parts []inputPart
	if codec.Unmarshal(raw, &parts) != nil {
		return nil, errContentType
	}
	out := []any{}
	for _, p := range parts {
		switch p.Type {
		case "input_text", "output_text", "text", "summary_text", "reasoning_text":
			out = append(out, map[string]any{"type": "text", "text": p.Text})
		case "refusal":
			out = append(out, map[string]any{"type": "refusal", "refusal": p.Refusal})
		case "input_image":
			image := map[string]any{"url": p.ImageURL}
			if p.Detail != "" {
				image["detail"] = p.Detail
			}
			out = append(out, map[string]any{"type": "image_url", "image_url": image})
		case "input_file":
			file := map[string]any{}
			for name, value := range map[string]string{"file_data": p.FileData, "file_id": p.FileID, "filename": p.Filename} {
				if value != "" {
					file[name] = value
				}
			}
			out = append(out, map[string]any{"type": "file", "file": file})
		default:
			return nil, unknownPartError{firstLine(p.Type)}
		}
	}
	return out, nil
}

// chatTools translates the tools and the tool choice.
func chatTools(f *fields, chat *chatFields) error {
	var tools []map[string]jsoniter.RawMessage
	if err := f.decode("tools", &tools); err != nil {
		return err
	}
	var out []any
	for i, t := range tools {
		if string(t["type"]) != `"function"` {
			return paramError{fmt.Sprintf("tools[%d]", i), "only functions are offered"}
		}
		function := map[string]jsoniter.RawMessage{}
		for name, value := range t {
			if name != "type" && !isNull(value) {
				function[name] = value
			}
		}
		out = append(out, map[string]any{"type": "function", "function": function})
	}
	if len(out) > 0 {
		chat.set("tools", out)
	}
	raw := f.get("tool_choice")
	if raw == nil {
		return nil
	}
	if _, is := unquote(raw); is {
		chat.set("tool_choice", jsoniter.RawMessage(raw))
		return nil
	}
	var choice struct {
		Type string `json:"type"`
		Name string `json:"name"`
	}
	if codec.Unmarshal(raw, &choice) != nil || choice.Type != "function" {
		return paramError{"tool_choice", "is neither a word nor a function"}
	}
	chat.set("tool_choice", map[string]any{"type": "function", "function": map[string]any{"name": choice.Name}})
	return nil
}

// chatFormat translates the text format to a response_format.
func chatFormat(f *fields, chat *chatFields) error {
	var format struct {
		Format map[string]jsoniter.RawMessage `json:"format"`
	}
	if err := f.decode("text", &format); err != nil {
		return err
	}
	switch string(format.Format["type"]) {
	case "", `"text"`:
	case `"json_schema"`:
		schema := map[string]jsoniter.RawMessage{}
		for name, value := range format.Format {
			if name != "type" {
				schema[name] = value
			}
		}
		chat.set("response_format", map[string]any{"type": "json_schema", "json_schema": schema})
	default:
		chat.set("response_format", format.Format)
	}
	return nil
}
