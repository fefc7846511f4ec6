package openai

import (
	"bytes"
	"errors"
	"strconv"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

const (
	maxResponseBytes = 4 << 20 // of an answer put together for a client that does not stream
	maxIndex         = 1023    // of a choice or a tool call
)

var errResponseTooLarge = errors.New("an answer of more than 4 MiB")

// collector puts a streamed answer together for a client that wants it in one piece. What
// stands below a delta, or is text, is added up; all else is taken as it first comes, so
// that fields which this program does not know pass as well.
type collector struct {
	head    head
	scanner sse.Scanner
	root    node
	size    int
	usage   []byte
	state   resume.Answer
}

func (w *collector) contentType() string       { return jsonType }
func (w *collector) progress() *resume.Answer  { return &w.state }
func (w *collector) failure(e apiError) []byte { return e.object() }
func (w *collector) complete() bool            { return false }
func (w *collector) discardPartial()           { w.scanner = sse.Scanner{} }
func (w *collector) nextAttempt()              { *w = collector{head: w.head} }

func (w *collector) translate(dst, p []byte) ([]byte, error) {
	return dst, w.scanner.Write(p, w.handleEvent)
}

// finish adds the answer in one piece, if it is whole.
func (w *collector) finish(dst []byte) ([]byte, error) {
	if err := w.scanner.End(w.handleEvent); err != nil {
		return dst, err
	}
	if !w.state.Whole() {
		return dst, errTruncated
	}
	return append(append(dst, w.body()...), '\n'), nil
}

func (w *collector) handleEvent(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if w.state.Over() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, doneBytes) {
		w.state.Last()
		return nil
	}
	if w.size += len(data); w.size > maxResponseBytes {
		return errResponseTooLarge
	}
	o := jsonscan.Object(data)
	for {
		name, value, ok := o.Next()
		if !ok {
			break
		}
		text := value.Of(data)
		switch string(name) {
		case "error":
			if !value.Null(data) {
				return reportedError{errorMessage(text)}
			}
		case "usage":
			if !value.Null(data) {
				w.usage = bytes.Clone(text)
			}
		case "choices":
			if value.Null(data) {
				continue
			}
			if _, err := recordChoices(&w.state, text, false); err != nil {
				return err
			}
			if err := w.root.member("choices").add(text, false); err != nil {
				return err
			}
		case "id", "object", "created", "model":
		default:
			if err := w.root.member(string(name)).add(text, false); err != nil {
				return err
			}
		}
	}
	if o.Err() != nil {
		return errInvalidChunk
	}
	return nil
}

// body is the answer in one piece.
func (w *collector) body() []byte {
	out := appendMember([]byte{'{'}, nameID, quote(w.head.id))
	out = appendMember(out, nameObject, quote(w.head.object))
	out = appendMember(out, nameCreated, strconv.AppendInt(nil, w.head.created, 10))
	out = appendMember(out, nameModel, quote(w.head.model))
	list := []byte{'['}
	if choices := w.root.members["choices"]; choices != nil {
		for i, c := range choices.sortedByIndex() {
			if i > 0 {
				list = append(list, ',')
			}
			list = appendChoice(list, c)
		}
	}
	out = appendMember(out, []byte("choices"), append(list, ']'))
	for _, name := range w.root.names {
		if name != "choices" {
			out = appendMember(out, []byte(name), w.root.members[name].json(nil, false))
		}
	}
	if w.usage != nil {
		out = appendMember(out, []byte("usage"), w.usage)
	}
	return append(out, '}')
}

// appendChoice writes one choice, its delta as the message that it has grown to.
func appendChoice(out []byte, c *node) []byte {
	out = append(out, '{')
	for _, name := range c.names {
		if name != "delta" {
			out = appendMember(out, []byte(name), c.members[name].json(nil, false))
		}
	}
	if d := c.members["delta"]; d != nil && d.kind == objectNode {
		m := appendMember([]byte{'{'}, []byte("role"), []byte(`"assistant"`))
		if content := d.members["content"]; content == nil {
			none := []byte(`""`)
			if d.members["tool_calls"] != nil || d.members["refusal"] != nil || d.members["audio"] != nil || d.members["function_call"] != nil {
				none = []byte("null")
			}
			m = appendMember(m, []byte("content"), none)
		}
		for _, name := range d.names {
			if name != "role" {
				m = appendMember(m, []byte(name), d.members[name].json(nil, name == "tool_calls"))
			}
		}
		out = appendMember(out, []byte("message"), append(m, '}'))
	}
	return append(out, '}')
}
