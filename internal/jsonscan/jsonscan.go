// Package jsonscan walks over the members of a JSON object (RFC 8259) without decoding
// their values or allocating. What it accepts is JSON in full: each value is checked to
// its end. Only its own bound on nesting sets it apart from a decoder.
package jsonscan

import (
	"bytes"
	"encoding/json"
	"errors"
)

// MaxDepth is how deep values may nest.
const MaxDepth = 512

// ErrSyntax tells that a text is not what it should be.
var ErrSyntax = errors.New("not JSON, or not of the kind expected")

// Span is where a value stands in the text.
type Span struct{ Start, End int }

// Of returns the value's text.
func (s Span) Of(data []byte) []byte { return data[s.Start:s.End] }

// IsNull tells whether a value is null, or not there.
func (s Span) IsNull(data []byte) bool {
	return s.Start == s.End || data[s.Start] == 'n'
}

// Walker walks over an object or an array.
type Walker struct {
	data []byte
	pos  int
	end  byte // that closes it; 0 once it is closed
	some bool // a member has been read
	from int  // where the latest member begins, its name's quotes included
	err  error
}

// Object returns a walker over the members of the object that data is.
func Object(data []byte) Walker { return open(data, '{', '}') }

// Array returns a walker over the elements of the array that data is.
func Array(data []byte) Walker { return open(data, '[', ']') }

func open(data []byte, with, end byte) Walker {
	w := Walker{data: data, end: end}
	w.pos = space(data, 0)
	if w.pos >= len(data) || data[w.pos] != with {
		w.err = ErrSyntax
		return w
	}
	w.pos++
	return w
}

// Err tells what was wrong, once Next or Element has returned false.
func (w *Walker) Err() error { return w.err }

// Empty tells whether there was no member, once the walk is over.
func (w *Walker) Empty() bool { return !w.some }

// ClosingBracket returns where the closing bracket stands, once the walk is over.
func (w *Walker) ClosingBracket() int { return w.pos }

// Next returns the next member of an object: its name without the quotes, as decoded,
// and where its value stands.
func (w *Walker) Next() (name []byte, value Span, ok bool) {
	if !w.more() {
		return nil, Span{}, false
	}
	end, escaped := str(w.data, w.pos)
	if end < 0 {
		return w.fail()
	}
	w.from = w.pos
	name = w.data[w.pos+1 : end-1]
	if escaped {
		var s string
		if json.Unmarshal(w.data[w.pos:end], &s) != nil {
			return w.fail()
		}
		name = []byte(s)
	}
	if w.pos = space(w.data, end); w.pos >= len(w.data) || w.data[w.pos] != ':' {
		return w.fail()
	}
	w.pos++
	value, ok = w.value()
	return name, value, ok
}

// Member returns where the latest member stands, name and value.
func (w *Walker) Member() Span { return Span{w.from, w.pos} }

// StringEnd returns the end of the string whose opening quote stands at a place of data, past
// its closing one; -1 if there is none, or it is not whole.
func StringEnd(data []byte, at int) int {
	end, _ := str(data, at)
	return end
}

// Element returns where the next element of an array stands.
func (w *Walker) Element() (value Span, ok bool) {
	if !w.more() {
		return Span{}, false
	}
	return w.value()
}

func (w *Walker) fail() ([]byte, Span, bool) {
	w.err = ErrSyntax
	return nil, Span{}, false
}

// more goes on to the beginning of the next member; false at the end.
func (w *Walker) more() bool {
	if w.err != nil || w.end == 0 {
		return false
	}
	w.pos = space(w.data, w.pos)
	switch {
	case w.pos >= len(w.data):
		w.err = ErrSyntax
		return false
	case w.data[w.pos] == w.end:
		w.end = 0
		if space(w.data, w.pos+1) != len(w.data) {
			w.err = ErrSyntax
		}
		return false
	case w.some:
		if w.data[w.pos] != ',' {
			w.err = ErrSyntax
			return false
		}
		w.pos = space(w.data, w.pos+1)
	}
	w.some = true
	return true
}

func (w *Walker) value() (Span, bool) {
	from := space(w.data, w.pos)
	end := skip(w.data, from, MaxDepth)
	if end < 0 {
		w.err = ErrSyntax
		return Span{}, false
	}
	w.pos = end
	return Span{from, end}, true
}

// Int reads a small whole number, false if the value is none.
func Int(text []byte) (int, bool) {
	if len(text) == 0 || len(text) > 9 {
		return 0, false
	}
	n := 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// plain marks bytes that stand in a string for themselves.
var plain = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= 0x20 && c != '"' && c != '\\'
	}
	return t
}()

func space(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\n' || data[at] == '\t' || data[at] == '\r') {
		at++
	}
	return at
}

// str returns the end of the string that begins at a place, -1 if none does.
func str(data []byte, at int) (end int, escaped bool) {
	if at >= len(data) || data[at] != '"' {
		return -1, false
	}
	for at++; at < len(data); {
		switch c := data[at]; {
		case plain[c]:
			at++
		case c == '"':
			return at + 1, escaped
		case c != '\\' || at+1 >= len(data):
			return -1, false
		default:
			escaped = true
			switch data[at+1] {
			case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
				at += 2
			case 'u':
				if at+6 > len(data) || !hex(data[at+2:at+6]) {
					return -1, false
				}
				at += 6
			default:
				return -1, false
			}
		}
	}
	return -1, false
}

func hex(text []byte) bool {
	for _, c := range text {
		if !(c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'f') {
			return false
		}
	}
	return true
}

// skip returns the end of the value that begins at a place, -1 if none does.
func skip(data []byte, at, depth int) int {
	if at >= len(data) || depth == 0 {
		return -1
	}
	switch c := data[at]; c {
	case '"':
		end, _ := str(data, at)
		return end
	case '{', '[':
		end := c + 2 // the closing ones come two later in ASCII
		if at = space(data, at+1); at < len(data) && data[at] == end {
			return at + 1
		}
		for {
			if c == '{' {
				name, _ := str(data, at)
				if name < 0 {
					return -1
				}
				if at = space(data, name); at >= len(data) || data[at] != ':' {
					return -1
				}
				at = space(data, at+1)
			}
			if at = skip(data, at, depth-1); at < 0 {
				return -1
			}
			if at = space(data, at); at >= len(data) {
				return -1
			}
			switch data[at] {
			case end:
				return at + 1
			case ',':
				at = space(data, at+1)
			default:
				return -1
			}
		}
	case 't':
		return word(data, at, "true")
	case 'f':
		return word(data, at, "false")
	case 'n':
		return word(data, at, "null")
	}
	return number(data, at)
}

func word(data []byte, at int, w string) int {
	if bytes.HasPrefix(data[at:], []byte(w)) {
		return at + len(w)
	}
	return -1
}

func number(data []byte, at int) int {
	if data[at] == '-' {
		at++
	}
	switch {
	case at >= len(data):
		return -1
	case data[at] == '0':
		at++
	default:
		if at = digits(data, at); at < 0 {
			return -1
		}
	}
	if at < len(data) && data[at] == '.' {
		if at = digits(data, at+1); at < 0 {
			return -1
		}
	}
	if at < len(data) && data[at]|0x20 == 'e' {
		if at++; at < len(data) && (data[at] == '+' || data[at] == '-') {
			at++
		}
		return digits(data, at)
	}
	return at
}

// digits returns the end of one digit or more, -1 if there is none.
func digits(data []byte, at int) int {
	from := at
	for at < len(data) && data[at] >= '0' && data[at] <= '9' {
		at++
	}
	if at == from {
		return -1
	}
	return at
}
