// Package jsonscan iterates over the members of a JSON object (RFC 8259) without decoding their values.
// It allocates only for a name with escape sequences. It validates each value completely: it differs
// from a decoder only in its limit on nesting.
package jsonscan

import (
	"bytes"
	"encoding/json"
	"errors"
)

// MaxDepth is the maximum nesting depth of a value.
const MaxDepth = 512

// ErrSyntax is returned for a text that is not valid JSON or not of the expected type.
var ErrSyntax = errors.New("not JSON, or not of the kind expected")

// Span is the position of a value in the text, as byte offsets.
type Span struct{ Start, End int }

// Of returns the bytes of the span in data.
func (s Span) Of(data []byte) []byte { return data[s.Start:s.End] }

// IsNull reports whether a value is null or absent.
func (s Span) IsNull(data []byte) bool {
	return s.Start == s.End || data[s.Start] == 'n'
}

// Walker iterates over the members of an object or the elements of an array.
type Walker struct {
	data        []byte
	pos         int
	closing     byte // the closing bracket; 0 after it has been read
	hasMember   bool // a member or element has been found
	memberStart int  // offset of the latest member: of its name's opening quote
	err         error
}

// Object returns a walker over the members of the object in data.
func Object(data []byte) Walker { return newWalker(data, '{', '}') }

// Array returns a walker over the elements of the array in data.
func Array(data []byte) Walker { return newWalker(data, '[', ']') }

// newWalker returns a walker that is positioned after the opening bracket.
func newWalker(data []byte, opening, closing byte) Walker {
	w := Walker{data: data, closing: closing}
	w.pos = skipSpace(data, 0)
	if w.pos >= len(data) || data[w.pos] != opening {
		w.err = ErrSyntax
		return w
	}
	w.pos++
	return w
}

// Err returns the error of the iteration, after Next or Element has returned false.
func (w *Walker) Err() error { return w.err }

// Empty reports whether there was no member or element. It is valid after the iteration.
func (w *Walker) Empty() bool { return !w.hasMember }

// ClosingBracket returns the offset of the closing bracket. It is valid after the iteration.
func (w *Walker) ClosingBracket() int { return w.pos }

// IsBlank reports whether a text holds nothing but JSON's white space.
func IsBlank(data []byte) bool { return skipSpace(data, 0) == len(data) }

// Next returns the next member of an object: its decoded name without quotes, and the span of its
// value. It returns false at the end and after an error.
func (w *Walker) Next() (name []byte, value Span, ok bool) {
	if !w.advance() {
		return nil, Span{}, false
	}
	end, escaped := scanString(w.data, w.pos)
	if end < 0 {
		return w.fail()
	}
	w.memberStart = w.pos
	name = w.data[w.pos+1 : end-1]
	if escaped {
		var s string
		if json.Unmarshal(w.data[w.pos:end], &s) != nil {
			return w.fail()
		}
		name = []byte(s)
	}
	if w.pos = skipSpace(w.data, end); w.pos >= len(w.data) || w.data[w.pos] != ':' {
		return w.fail()
	}
	w.pos++
	value, ok = w.value()
	return name, value, ok
}

// Member returns the span of the latest member, from its name to its value.
func (w *Walker) Member() Span { return Span{w.memberStart, w.pos} }

// StringEnd returns the offset after the closing quote of the string that begins at offset at, or -1 if
// no valid string begins there.
func StringEnd(data []byte, at int) int {
	end, _ := scanString(data, at)
	return end
}

// Element returns the span of the next element of an array. It returns false at the end and after an
// error.
func (w *Walker) Element() (value Span, ok bool) {
	if !w.advance() {
		return Span{}, false
	}
	return w.value()
}

// fail records a syntax error, and returns the results of a failed Next.
func (w *Walker) fail() ([]byte, Span, bool) {
	w.err = ErrSyntax
	return nil, Span{}, false
}

// advance moves to the beginning of the next member or element. It returns false at the end and after
// an error.
func (w *Walker) advance() bool {
	if w.err != nil || w.closing == 0 {
		return false
	}
	w.pos = skipSpace(w.data, w.pos)
	switch {
	case w.pos >= len(w.data):
		w.err = ErrSyntax
		return false
	case w.data[w.pos] == w.closing:
		w.closing = 0
		if skipSpace(w.data, w.pos+1) != len(w.data) {
			w.err = ErrSyntax
		}
		return false
	case w.hasMember:
		if w.data[w.pos] != ',' {
			w.err = ErrSyntax
			return false
		}
		w.pos = skipSpace(w.data, w.pos+1)
	}
	w.hasMember = true
	return true
}

// value validates the value at the current position, and returns its span.
func (w *Walker) value() (Span, bool) {
	start := skipSpace(w.data, w.pos)
	end := scanValue(w.data, start, MaxDepth)
	if end < 0 {
		w.err = ErrSyntax
		return Span{}, false
	}
	w.pos = end
	return Span{start, end}, true
}

// Int parses a non-negative integer of at most 9 digits. It returns false for any other text.
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

// unescaped is true for bytes that may appear in a string without an escape sequence.
var unescaped = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= 0x20 && c != '"' && c != '\\'
	}
	return t
}()

// skipSpace returns the offset of the first byte from at on that is not white space.
func skipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\n' || data[at] == '\t' || data[at] == '\r') {
		at++
	}
	return at
}

// scanString returns the offset after the string that begins at offset at, or -1 if no valid string
// begins there, and whether the string has escape sequences.
func scanString(data []byte, at int) (end int, escaped bool) {
	if at >= len(data) || data[at] != '"' {
		return -1, false
	}
	for at++; at < len(data); {
		switch c := data[at]; {
		case unescaped[c]:
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
				if at+6 > len(data) || !isHex(data[at+2:at+6]) {
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

// isHex reports whether text has only hexadecimal digits.
func isHex(text []byte) bool {
	for _, c := range text {
		if !(c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'f') {
			return false
		}
	}
	return true
}

// scanValue returns the offset after the value that begins at offset at, or -1 if no valid value begins
// there or it nests deeper than depth.
func scanValue(data []byte, at, depth int) int {
	if at >= len(data) || depth == 0 {
		return -1
	}
	switch c := data[at]; c {
	case '"':
		end, _ := scanString(data, at)
		return end
	case '{', '[':
		end := c + 2 // in ASCII, a closing bracket is the opening one plus 2
		if at = skipSpace(data, at+1); at < len(data) && data[at] == end {
			return at + 1
		}
		for {
			if c == '{' {
				nameEnd, _ := scanString(data, at)
				if nameEnd < 0 {
					return -1
				}
				if at = skipSpace(data, nameEnd); at >= len(data) || data[at] != ':' {
					return -1
				}
				at = skipSpace(data, at+1)
			}
			if at = scanValue(data, at, depth-1); at < 0 {
				return -1
			}
			if at = skipSpace(data, at); at >= len(data) {
				return -1
			}
			switch data[at] {
			case end:
				return at + 1
			case ',':
				at = skipSpace(data, at+1)
			default:
				return -1
			}
		}
	case 't':
		return scanLiteral(data, at, "true")
	case 'f':
		return scanLiteral(data, at, "false")
	case 'n':
		return scanLiteral(data, at, "null")
	}
	return scanNumber(data, at)
}

// scanLiteral returns the offset after the given literal, or -1 if it doesn't begin at offset at.
func scanLiteral(data []byte, at int, literal string) int {
	if bytes.HasPrefix(data[at:], []byte(literal)) {
		return at + len(literal)
	}
	return -1
}

// scanNumber returns the offset after the number that begins at offset at, or -1 if no valid number
// begins there.
func scanNumber(data []byte, at int) int {
	if data[at] == '-' {
		at++
	}
	switch {
	case at >= len(data):
		return -1
	case data[at] == '0':
		at++
	default:
		if at = scanDigits(data, at); at < 0 {
			return -1
		}
	}
	if at < len(data) && data[at] == '.' {
		if at = scanDigits(data, at+1); at < 0 {
			return -1
		}
	}
	if at < len(data) && data[at]|0x20 == 'e' {
		if at++; at < len(data) && (data[at] == '+' || data[at] == '-') {
			at++
		}
		return scanDigits(data, at)
	}
	return at
}

// scanDigits returns the offset after a sequence of digits, or -1 if there is no digit at offset at.
func scanDigits(data []byte, at int) int {
	start := at
	for at < len(data) && data[at] >= '0' && data[at] <= '9' {
		at++
	}
	if at == start {
		return -1
	}
	return at
}
