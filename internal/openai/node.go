package openai

import (
	"bytes"
	"slices"

	"wellgw/internal/jsonscan"
)

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
