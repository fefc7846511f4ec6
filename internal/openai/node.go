package openai

import (
	"bytes"
	"slices"

	"wellgw/internal/jsonscan"
)

// nodeKind is the type of a node's value.
type nodeKind int

const (
	absentNode nodeKind = iota
	scalarNode          // a number, a boolean or null, stored in raw
	stringNode
	objectNode
	listNode
)

// nodeBytes is the approximate memory of a node without its texts and lists.
const nodeBytes = 384

// node is a JSON value merged from the values of several events.
type node struct {
	kind    nodeKind
	raw     []byte // of a list, its first elements without an index, separated by commas
	text    []byte // decoded
	names   []string
	members map[string]*node
	items   []*node
	held    *int // approximate memory of all nodes of the answer, in bytes
	// separate: elements of a list without an index are nodes, as those with one.
	separate bool
}

// newNode returns an empty node of the same answer.
func (n *node) newNode() *node {
	*n.held += nodeBytes
	return &node{held: n.held}
}

// member returns the member of the given name, which it adds if there is none.
func (n *node) member(name string) *node {
	if n.members == nil {
		n.kind, n.members = objectNode, map[string]*node{}
	}
	m := n.members[name]
	if m == nil {
		m = n.newNode()
		*n.held += len(name)
		n.members[name] = m
		n.names = append(n.names, name)
	}
	return m
}

// add merges a value into the node. Strings are concatenated if concat is set; otherwise the first
// non-empty one is used.
func (n *node) add(raw []byte, concat bool) error {
	switch raw[0] {
	case 'n':
		if n.kind == absentNode {
			n.kind, n.raw = scalarNode, bytes.Clone(raw)
			*n.held += len(raw)
		}
		return nil
	case '"':
		t, is := unquote(raw)
		if !is {
			return errInvalidChunk
		}
		if n.kind = stringNode; concat || len(n.text) == 0 {
			n.text = append(n.text, t...)
			*n.held += len(t)
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
	*n.held += max(0, len(raw)-len(n.raw))
	n.kind, n.raw = scalarNode, append(n.raw[:0], raw...)
	return nil
}

// concatenates reports whether strings within the member of the given name are concatenated. parent
// is the rule of the enclosing object.
func concatenates(name string, parent bool) bool {
	switch name {
	case "delta", "text":
		return true
	case "role", "id", "type", "finish_reason", "object":
		return false
	}
	return parent
}

// elements merges a list: elements with the same index are merged, elements without an index are
// appended as they are. An answer may have thousands of the latter, such as log probabilities.
func (n *node) elements(raw []byte, concat bool) error {
	n.kind = listNode
	w := jsonscan.Array(raw)
	for {
		at, ok := w.Element()
		if !ok {
			return w.Err()
		}
		value := at.Of(raw)
		index, given := 0, false
		if value[0] == '{' {
			var err error
			if index, given, err = indexOf(value); err != nil {
				return err
			}
		}
		switch {
		case given:
			if err := n.item(index).add(value, concat); err != nil {
				return err
			}
		case len(n.items) == 0 && !n.separate:
			n.appendElement(value)
		default:
			item := n.newNode()
			n.items = append(n.items, item)
			if err := item.add(value, concat); err != nil {
				return err
			}
		}
	}
}

// appendElement appends an element without an index to a list.
func (n *node) appendElement(value []byte) {
	if len(n.raw) > 0 {
		n.raw = append(n.raw, ',')
	}
	n.raw = append(n.raw, value...)
	*n.held += len(value) + 1
}

// item returns the element with the given index, which it adds if there is none.
func (n *node) item(index int) *node {
	for _, item := range n.items {
		if m := item.members["index"]; m != nil {
			if itemIndex, is := jsonscan.Int(m.raw); is && itemIndex == index {
				return item
			}
		}
	}
	item := n.newNode()
	n.items = append(n.items, item)
	return item
}

// indexOf returns the value of an element's member "index"; given is false if there is none.
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

// sortedByIndex returns the elements in ascending order of their index.
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

// json appends the value as JSON. With withoutIndex, it omits the member "index" of elements, which
// only streams have.
func (n *node) json(out []byte, withoutIndex bool) []byte {
	switch n.kind {
	case stringNode:
		return append(out, quote(string(n.text))...)
	case objectNode:
		out = append(out, '{')
		for _, name := range n.names {
			if !withoutIndex || name != "index" {
				out = n.members[name].json(appendName(out, []byte(name)), false)
			}
		}
		return append(out, '}')
	case listNode:
		out = append(append(out, '['), n.raw...)
		for i, item := range n.sortedByIndex() {
			if i > 0 || len(n.raw) > 0 {
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
	if err != nil { // can't happen for a string
		return []byte(`""`)
	}
	return b
}
