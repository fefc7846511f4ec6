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
	maxResponseBytes = 4 << 20 // of an answer that is merged for a client that does not stream
	maxIndex         = 1023    // of a choice or a tool call
)

var errResponseTooLarge = errors.New("an answer of more than 4 MiB")

// collector merges a streamed answer for a client that does not stream. Strings below a delta,
// and texts, are concatenated; other strings keep their first value, numbers and booleans take
// the last one. Members that this program does not know are merged in the same way.
type collector struct {
	head    head
	scanner sse.Scanner
	root    node
	size    int
	usage   []byte
	state   resume.Progress
}

func (c *collector) contentType() string        { return jsonType }
func (c *collector) progress() *resume.Progress { return &c.state }
func (c *collector) failure(e apiError) []byte  { return e.object() }
func (c *collector) complete() bool             { return false }
func (c *collector) discardPartial()            { c.scanner = sse.Scanner{} }
func (c *collector) nextAttempt()               { *c = collector{head: c.head} }

func (c *collector) translate(dst, p []byte) ([]byte, error) {
	return dst, c.scanner.Write(p, c.handleEvent)
}

// finish appends the merged answer, if it is complete.
func (c *collector) finish(dst []byte) ([]byte, error) {
	if err := c.scanner.End(c.handleEvent); err != nil {
		return dst, err
	}
	if !c.state.Complete() {
		return dst, errTruncated
	}
	return append(append(dst, c.body()...), '\n'), nil
}

// handleEvent merges one event.
func (c *collector) handleEvent(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if c.state.StreamEnded() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, doneBytes) {
		c.state.RecordStreamEnd()
		return nil
	}
	if c.size += len(data); c.size > maxResponseBytes {
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
			if !value.IsNull(data) {
				return reportedError{errorMessage(text)}
			}
		case "usage":
			if !value.IsNull(data) {
				c.usage = bytes.Clone(text)
			}
		case "choices":
			if value.IsNull(data) {
				continue
			}
			if _, err := recordChoices(&c.state, text, false); err != nil {
				return err
			}
			if err := c.root.member("choices").add(text, false); err != nil {
				return err
			}
		case "id", "object", "created", "model":
		default:
			if err := c.root.member(string(name)).add(text, false); err != nil {
				return err
			}
		}
	}
	if o.Err() != nil {
		return errInvalidChunk
	}
	return nil
}

// body returns the merged answer.
func (c *collector) body() []byte {
	out := appendMember([]byte{'{'}, nameID, quote(c.head.id))
	out = appendMember(out, nameObject, quote(c.head.object))
	out = appendMember(out, nameCreated, strconv.AppendInt(nil, c.head.created, 10))
	out = appendMember(out, nameModel, quote(c.head.model))
	list := []byte{'['}
	if choices := c.root.members["choices"]; choices != nil {
		for i, choice := range choices.sortedByIndex() {
			if i > 0 {
				list = append(list, ',')
			}
			list = appendChoice(list, choice)
		}
	}
	out = appendMember(out, []byte("choices"), append(list, ']'))
	for _, name := range c.root.names {
		if name != "choices" {
			out = appendMember(out, []byte(name), c.root.members[name].json(nil, false))
		}
	}
	if c.usage != nil {
		out = appendMember(out, []byte("usage"), c.usage)
	}
	return append(out, '}')
}

// appendChoice appends one choice, with its merged delta as the message.
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
