package openai

import (
	"bytes"
	"errors"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

const (
	maxEvent  = 256 << 10 // one event of a stream
	maxAnswer = 4 << 20   // an answer put together for a caller that does not stream
)

// events splits what comes from an engine into the data of its events. A comment
// or a field other than data is of no meaning in this API.
type events struct {
	rest []byte
	each func(data []byte) error
}

func (e *events) write(p []byte) error {
	e.rest = append(e.rest, p...)
	for {
		line, rest, whole := bytes.Cut(e.rest, []byte("\n"))
		if !whole {
			break
		}
		e.rest = rest
		if data, is := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("data:")); is {
			if err := e.each(bytes.TrimSpace(data)); err != nil {
				return err
			}
		}
	}
	if len(e.rest) > maxEvent {
		return errors.New("an event of more than 256 KiB")
	}
	e.rest = append([]byte(nil), e.rest...)
	return nil
}

// done is the data of the event that ends a stream.
const done = "[DONE]"

// chunk is an event of a stream, as far as it is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Role      string     `json:"role"`
			Content   string     `json:"content"`
			Refusal   string     `json:"refusal"`
			ToolCalls []toolCall `json:"tool_calls"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *jsoniter.RawMessage `json:"usage"`
	Error *jsoniter.RawMessage `json:"error"` // an engine's own word that it has failed
}

type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id,omitempty"`
	Type     string `json:"type,omitempty"`
	Function struct {
		Name      string `json:"name,omitempty"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// head is what every event of an answer repeats.
type head struct {
	id, model string
	created   int64
}

// fill gives an event the fields that callers' libraries insist on, if its engine
// left them out. An event that has them passes unchanged.
func (h head) fill(data []byte) ([]byte, error) {
	var all map[string]jsoniter.RawMessage
	if err := codec.Unmarshal(data, &all); err != nil {
		return nil, errors.New("an event that is not a JSON object")
	}
	missing := false
	for name, value := range map[string]any{"id": h.id, "object": "chat.completion.chunk", "created": h.created, "model": h.model} {
		if _, given := all[name]; given {
			continue
		}
		raw, err := codec.Marshal(value)
		if err != nil {
			return nil, err
		}
		all[name], missing = raw, true
	}
	if !missing {
		return data, nil
	}
	return codec.Marshal(all)
}

// whole puts a streamed answer together for a caller that wants it in one piece.
type whole struct {
	content, refusal strings.Builder
	size             int
	tools            []toolCall
	finish           string
	usage            *jsoniter.RawMessage
	ended            bool
}

func (w *whole) add(data []byte) error {
	if string(data) == done {
		w.ended = true
		return nil
	}
	if w.size += len(data); w.size > maxAnswer {
		return errors.New("an answer of more than 4 MiB")
	}
	var c chunk
	if err := codec.Unmarshal(data, &c); err != nil {
		return errors.New("an event that is not a chunk")
	}
	if c.Error != nil {
		return errors.New("the engine reports an error")
	}
	if c.Usage != nil && string(*c.Usage) != "null" {
		w.usage = c.Usage
	}
	for _, choice := range c.Choices {
		w.content.WriteString(choice.Delta.Content)
		w.refusal.WriteString(choice.Delta.Refusal)
		if choice.FinishReason != "" {
			w.finish = choice.FinishReason
		}
		for _, t := range choice.Delta.ToolCalls {
			if t.Index < 0 || t.Index > 127 {
				return errors.New("a tool call out of range")
			}
			for len(w.tools) <= t.Index {
				w.tools = append(w.tools, toolCall{Index: len(w.tools)})
			}
			have := &w.tools[t.Index]
			have.ID, have.Type = have.ID+t.ID, have.Type+t.Type
			have.Function.Name += t.Function.Name
			have.Function.Arguments += t.Function.Arguments
		}
	}
	return nil
}

// completion is the answer in one piece.
func (w *whole) completion(h head) ([]byte, error) {
	m := map[string]any{"role": "assistant", "content": w.content.String()}
	if w.refusal.Len() > 0 {
		m["refusal"] = w.refusal.String()
	}
	if len(w.tools) > 0 {
		m["tool_calls"] = w.tools
	}
	out := map[string]any{
		"id": h.id, "object": "chat.completion", "created": h.created, "model": h.model,
		"choices": []any{map[string]any{"index": 0, "message": m, "finish_reason": w.finish}},
	}
	if w.usage != nil {
		out["usage"] = w.usage
	}
	return codec.Marshal(out)
}
