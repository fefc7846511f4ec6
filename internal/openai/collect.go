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

// The kinds of a node.
const (
	absentNode = iota
	scalarNode // raw
	stringNode
	objectNode
	listNode
)

// node is a value that grows with each event.
type node struct {
	kind    int
	raw     []byte
	text    []byte // decoded
	names   []string
	members map[string]*node
	items   []*node
}

func (n *node) member(name string) *node {
	if n.members == nil {
		n.kind, n.members = objectNode, map[string]*node{}
	}
	m := n.members[name]
	if m == nil {
		m = &node{}
		n.members[name] = m
		n.names = append(n.names, name)
	}
	return m
}

// add takes in a value; joins tells that texts are added up.
func (n *node) add(raw []byte, joins bool) error {
	switch raw[0] {
	case 'n':
		if n.kind == absentNode {
			n.kind, n.raw = scalarNode, bytes.Clone(raw)
		}
		return nil
	case '"':
		t, is := unquote(raw)
		if !is {
			return errInvalidChunk
		}
		if n.kind = stringNode; joins || len(n.text) == 0 {
			n.text = append(n.text, t...)
		}
		return nil
	case '{':
		n.kind = objectNode
		w := jsonscan.Object(raw)
		for {
			name, value, ok := w.Next()
			if !ok {
				return w.Err()
			}
			if err := n.member(string(name)).add(value.Of(raw), concatenates(string(name), joins)); err != nil {
				return err
			}
		}
	case '[':
		return n.elements(raw, joins)
	}
	n.kind, n.raw = scalarNode, append(n.raw[:0], raw...)
	return nil
}

// concatenates tells whether texts under a name are added up, going by what is above it.
func concatenates(name string, above bool) bool {
	switch name {
	case "delta", "text":
		return true
	case "role", "id", "type", "finish_reason", "object":
		return false
	}
	return above
}

// elements takes in a list: elements with an index grow one by one, others are appended.
func (n *node) elements(raw []byte, joins bool) error {
	n.kind = listNode
	w := jsonscan.Array(raw)
	for {
		at, ok := w.Element()
		if !ok {
			return w.Err()
		}
		value := at.Of(raw)
		var item *node
		if value[0] == '{' {
			index, given, err := indexOf(value)
			if err != nil {
				return err
			}
			if given {
				i := slices.IndexFunc(n.items, func(x *node) bool {
					m := x.members["index"]
					if m == nil {
						return false
					}
					have, is := jsonscan.Int(m.raw)
					return is && have == index
				})
				if i >= 0 {
					item = n.items[i]
				}
			}
		}
		if item == nil {
			item = &node{}
			n.items = append(n.items, item)
		}
		if err := item.add(value, joins); err != nil {
			return err
		}
	}
}

func indexOf(value []byte) (index int, given bool, err error) {
	o := jsonscan.Object(value)
	for {
		name, at, ok := o.Next()
		if !ok {
			return index, given, o.Err()
		}
		if string(name) == "index" && !at.Null(value) {
			if index, given = jsonscan.Int(at.Of(value)); !given || index > maxIndex {
				return 0, false, errInvalidChunk
			}
		}
	}
}

// sortedByIndex returns the elements in order of their index.
func (n *node) sortedByIndex() []*node {
	at := func(x *node) int {
		if m := x.members["index"]; m != nil {
			i, _ := jsonscan.Int(m.raw)
			return i
		}
		return 0
	}
	out := slices.Clone(n.items)
	slices.SortStableFunc(out, func(a, b *node) int { return at(a) - at(b) })
	return out
}

// json writes the value; bare leaves out the index of elements, which is a stream's alone.
func (n *node) json(out []byte, bare bool) []byte {
	switch n.kind {
	case stringNode:
		return append(out, quote(string(n.text))...)
	case objectNode:
		out = append(out, '{')
		for _, name := range n.names {
			if !bare || name != "index" {
				out = appendMember(out, []byte(name), n.members[name].json(nil, false))
			}
		}
		return append(out, '}')
	case listNode:
		out = append(out, '[')
		for i, item := range n.sortedByIndex() {
			if i > 0 {
				out = append(out, ',')
			}
			out = item.json(out, bare)
		}
		return append(out, ']')
	case scalarNode:
		return append(out, n.raw...)
	}
	return append(out, "null"...)
}

// quote is a text as a JSON string.
func quote(s string) []byte {
	b, err := codec.Marshal(s)
	if err != nil { // of a string there is none
		return []byte(`""`)
	}
	return b
}

// passthrough is an answer that is one body and passes as it is, but for the model's name.
type passthrough struct {
	head  head
	body  []byte
	state resume.Answer
}

func (p *passthrough) contentType() string       { return jsonType }
func (p *passthrough) progress() *resume.Answer  { return &p.state }
func (p *passthrough) failure(e apiError) []byte { return e.object() }
func (p *passthrough) complete() bool            { return false }
func (p *passthrough) discardPartial()           {}
func (p *passthrough) nextAttempt()              { *p = passthrough{head: p.head} }

func (p *passthrough) translate(dst, more []byte) ([]byte, error) {
	if p.body = append(p.body, more...); len(p.body) > maxResponseBytes {
		return dst, errResponseTooLarge
	}
	return dst, nil
}

func (p *passthrough) finish(dst []byte) ([]byte, error) {
	f, err := readFields(p.body)
	if err != nil {
		return dst, err
	}
	p.state.Last()
	return append(append(dst, f.replace(map[string][]byte{"model": quote(p.head.model)}, "model")...), '\n'), nil
}
