package openai

import (
	"bytes"
	"slices"

	"wellgw/internal/jsonscan"
)

// nodeKind is the kind of value that a node holds.
type nodeKind int

const (
	absentNode nodeKind = iota
	scalarNode          // a number, a boolean or null, kept as raw
	stringNode
	objectNode
	listNode
)

// node is a JSON value that is merged from the values of several events.
type node struct {
	kind    nodeKind
	raw     []byte
	text    []byte // decoded
	names   []string
	members map[string]*node
	items   []*node
}

// member returns the member of a name, which is added if there is none.
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

// add merges a value; with concat, strings are concatenated.
func (n *node) add(raw []byte, concat bool) error {
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
		if n.kind = stringNode; concat || len(n.text) == 0 {
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
			if err := n.member(string(name)).add(value.Of(raw), concatenates(string(name), concat)); err != nil {
				return err
			}
		}
	case '[':
		return n.elements(raw, concat)
	}
	n.kind, n.raw = scalarNode, append(n.raw[:0], raw...)
	return nil
}

// concatenates tells whether strings under a name are concatenated; parent tells it of what the
// name is a member of.
func concatenates(name string, parent bool) bool {
	switch name {
	case "delta", "text":
		return true
	case "role", "id", "type", "finish_reason", "object":
		return false
	}
	return parent
}

// elements merges a list: elements with an index are merged one by one, others are appended.
func (n *node) elements(raw []byte, concat bool) error {
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
		if err := item.add(value, concat); err != nil {
			return err
		}
	}
}

// indexOf returns the index that an element states, if it does.
func indexOf(value []byte) (index int, given bool, err error) {
	o := jsonscan.Object(value)
	for {
		name, at, ok := o.Next()
		if !ok {
			return index, given, o.Err()
		}
		if string(name) == "index" && !at.IsNull(value) {
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

// json appends the value; withoutIndex leaves out the index of elements, which only streams have.
func (n *node) json(out []byte, withoutIndex bool) []byte {
	switch n.kind {
	case stringNode:
		return append(out, quote(string(n.text))...)
	case objectNode:
		out = append(out, '{')
		for _, name := range n.names {
			if !withoutIndex || name != "index" {
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
			out = item.json(out, withoutIndex)
		}
		return append(out, ']')
	case scalarNode:
		return append(out, n.raw...)
	}
	return append(out, "null"...)
}

// quote returns a text as a JSON string.
func quote(s string) []byte {
	b, err := codec.Marshal(s)
	if err != nil { // of a string there is none
		return []byte(`""`)
	}
	return b
}
