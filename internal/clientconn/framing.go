package clientconn

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

var (
	errFraming       = errors.New("ambiguous request framing")
	errTooManyFields = errors.New("too many fields in a request head")
)

// framing tracks where requests begin and end in the bytes that a client sends.
//
// It prevents request smuggling. Given both Content-Length and Transfer-Encoding, net/http ignores the
// former and serves the bytes after the body as a request, so that one request can hide another in its
// body. Such a request, and any other whose end is ambiguous, is an error here. The rules are
// deliberately stricter than those of net/http: both parse every accepted request alike.
type framing struct {
	part      part
	line      []byte // the current line, up to maxLine bytes
	remaining int64  // bytes to come of the current body or chunk; in a head, its Content-Length
	chunked   bool
	hasLength bool
	lines     int // ended lines of the current head
	complete  int // requests whose last byte has arrived
}

// part is the part of a request that the next byte belongs to.
type part uint8

const (
	inHead part = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

const (
	maxLine            = 256 // bytes that are stored of a line; longer lines don't affect the framing
	maxLengthDigits    = 15  // decimal digits of a Content-Length
	maxChunkSizeDigits = 8   // hexadecimal digits of a chunk size
	maxFields          = 256 // of a head or a trailer; each costs far more than its bytes
)

// betweenRequests reports whether no request has begun since the last one ended.
func (f *framing) betweenRequests() bool { return f.part == inHead && f.lines == 0 && len(f.line) == 0 }

// partialHead reports whether a request head has begun and has not ended.
func (f *framing) partialHead() bool { return f.part == inHead && !f.betweenRequests() }

// advance processes bytes that have arrived. On an error, valid is the number of bytes of p that precede
// the malformed head or the malformed part of a body.
func (f *framing) advance(p []byte) (valid int, err error) {
	for i := 0; i < len(p); {
		if f.part == inBody || f.part == inChunk {
			n := int(min(f.remaining, int64(len(p)-i)))
			i += n
			if f.remaining -= int64(n); f.remaining > 0 {
				return i, nil
			}
			if f.part == inChunk {
				f.part = inChunkEnd
			} else {
				f.endRequest()
			}
			valid = i
			continue
		}
		end := bytes.IndexByte(p[i:], '\n')
		lineEnded := end >= 0
		if !lineEnded {
			end = len(p) - i - 1
		}
		text := p[i : i+end+1]
		f.line = append(f.line, text[:min(len(text), max(0, maxLine-len(f.line)))]...)
		i += len(text)
		if !lineEnded {
			return i, nil
		}
		if err := f.endLine(); err != nil {
			return valid, err
		}
		f.line = f.line[:0]
		if f.part != inHead || f.betweenRequests() {
			valid = i
		}
	}
	return len(p), nil
}

// endLine processes a complete line, and begins the next part if the line ends the current one.
func (f *framing) endLine() error {
	line, crlf := bytes.CutSuffix(f.line, []byte("\r\n"))
	line = bytes.TrimRight(line, "\r\n")
	switch f.part {
	case inHead:
		if f.lines++; len(line) == 0 {
			return f.endHead()
		}
		if f.lines > maxFields+1 { // after the request line
			return errTooManyFields
		}
		return f.header(line)
	case inChunkEnd:
		f.part = inChunkSize
		if !crlf || len(line) > 0 {
			return errFraming
		}
	case inChunkSize:
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
		if err != nil || len(size) > maxChunkSizeDigits || !crlf {
			return errFraming
		}
		if f.remaining, f.part = int64(n), inChunk; n == 0 {
			f.part = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			f.endRequest()
			return nil
		}
		if f.lines++; f.lines > 2*maxFields+1 {
			return errTooManyFields
		}
	}
	return nil
}

// header processes a line of a head. It records Content-Length and Transfer-Encoding, which determine
// the length of the body.
func (f *framing) header(text []byte) error {
	if f.lines == 1 {
		return nil
	}
	switch text[0] {
	case ' ', '\t': // folded lines are obsolete and ambiguous
		return errFraming
	case 'C', 'c', 'T', 't':
	default:
		return nil
	}
	line := string(text)
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		notDigit := func(r rune) bool { return r < '0' || r > '9' }
		if f.hasLength || value == "" || len(value) > maxLengthDigits || strings.ContainsFunc(value, notDigit) {
			return errFraming
		}
		f.hasLength = true
		f.remaining, _ = strconv.ParseInt(value, 10, 64) // only digits, at most maxLengthDigits
	case "transfer-encoding":
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return errFraming
		}
		f.chunked = true
	}
	return nil
}

// endHead processes the end of a head: a body follows, or the request is complete.
func (f *framing) endHead() error {
	switch {
	case f.lines == 1 || f.chunked && f.hasLength:
		return errFraming
	case f.chunked:
		f.part = inChunkSize
	case f.remaining > 0:
		f.part = inBody
	default:
		f.endRequest()
	}
	return nil
}

// endRequest counts a complete request, and resets the state for the next one.
func (f *framing) endRequest() {
	*f = framing{complete: f.complete + 1, line: f.line[:0]}
}
