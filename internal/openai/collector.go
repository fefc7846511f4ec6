package openai

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

const (
	maxResponseBytes = 4 << 20 // of an answer that is buffered for a client that does not stream
	maxIndex         = 1023    // of a choice or a tool call
)

var errResponseTooLarge = errors.New("answer exceeds 4 MiB")

// collector merges a streamed answer for a client that does not stream. Strings within a delta
// or a text member are concatenated; for other strings the first non-empty value is used, for
// numbers and booleans the last one. Unknown members are merged by the same rules.
type collector struct {
	metadata metadata
	scanner  sse.Scanner
	root     node
	size     int // bytes of events
	held     int // approximate memory of root, in bytes
	usage    []byte
	state    resume.Progress
}

func newCollector(m metadata) *collector {
	c := &collector{metadata: m}
	c.root.held = &c.held
	return c
}

func (c *collector) contentType() string        { return jsonType }
func (c *collector) progress() *resume.Progress { return &c.state }
func (c *collector) failure(e apiError) []byte  { return e.object() }
func (c *collector) complete() bool             { return false }
func (c *collector) discardPartial()            { c.scanner = sse.Scanner{} }
func (c *collector) heldBytes() int             { return c.held }

func (c *collector) nextAttempt() {
	c.state.PrepareNextAttempt()
	*c = collector{metadata: c.metadata, state: c.state}
	c.root.held = &c.held
}

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
	return append(c.body(slices.Grow(dst, c.held)), '\n'), nil
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
			choices := c.root.member("choices")
			choices.separate = true
			if err := choices.add(text, false); err != nil {
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

// body appends the merged answer.
func (c *collector) body(out []byte) []byte {
	out = appendMember(append(out, '{'), nameID, quote(c.metadata.id))
	out = appendMember(out, nameObject, quote(c.metadata.object))
	out = appendMember(out, nameCreated, strconv.AppendInt(nil, c.metadata.created, 10))
	out = appendMember(out, nameModel, quote(c.metadata.model))
	out = append(appendName(out, []byte("choices")), '[')
	if choices := c.root.members["choices"]; choices != nil {
		for i, choice := range choices.sortedByIndex() {
			if i > 0 {
				out = append(out, ',')
			}
			out = appendChoice(out, choice)
		}
	}
	out = append(out, ']')
	for _, name := range c.root.names {
		if name != "choices" {
			out = c.root.members[name].json(appendName(out, []byte(name)), false)
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
			out = c.members[name].json(appendName(out, []byte(name)), false)
		}
	}
	if d := c.members["delta"]; d != nil && d.kind == objectNode {
		out = append(appendMessage(append(appendName(out, []byte("message")), '{'), d), '}')
	}
	return append(out, '}')
}

// appendMessage appends the members of a message: those of a merged delta.
func appendMessage(out []byte, delta *node) []byte {
	out = appendMember(out, []byte("role"), []byte(`"assistant"`))
	if delta.members["content"] == nil {
		none := []byte(`""`)
		if delta.members["tool_calls"] != nil || delta.members["refusal"] != nil || delta.members["audio"] != nil || delta.members["function_call"] != nil {
			none = []byte("null")
		}
		out = appendMember(out, []byte("content"), none)
	}
	for _, name := range delta.names {
		if name != "role" {
			out = delta.members[name].json(appendName(out, []byte(name)), name == "tool_calls")
		}
	}
	return out
}
