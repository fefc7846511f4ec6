package clientconn

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

var errFraming = errors.New("a request that is not framed in one clear way")

// framing follows where requests begin and end in what a client sends.
//
// It guards against what net/http passes over: of a request with both
// Content-Length and Transfer-Encoding it drops the one, reads by the other and
// serves what follows, so that one request can hide another in its body. Such a
// request, and any other whose end is a matter of opinion, is an error here. It
// is stricter than net/http on purpose: whatever passes, both read alike.
type framing struct {
	part     part
	line     []byte // of the line under way, so much as tells what it is
	left     int64  // of the body or chunk under way
	chunked  bool
	sized    bool
	lines    int
	complete int // requests whose last byte has come
}

// part is what the next byte belongs to.
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
	maxLine      = 256 // of a line that matters; what is longer is of another kind
	maxSizeDigit = 15  // of a Content-Length
	maxChunkHex  = 8   // of a chunk's size
)

// between tells whether no request has begun since the last one ended.
func (f *framing) between() bool { return f.part == inHead && f.lines == 0 && len(f.line) == 0 }

// partialHead tells whether a head has begun and not ended.
func (f *framing) partialHead() bool { return f.part == inHead && !f.between() }

// advance takes what has come. On an error, good is how much of p comes before the
// head, or the part of a body, that is at fault.
func (f *framing) advance(p []byte) (good int, err error) {
	for i := 0; i < len(p); {
		if f.part == inBody || f.part == inChunk {
			n := int(min(f.left, int64(len(p)-i)))
			i += n
			if f.left -= int64(n); f.left > 0 {
				return i, nil
			}
			if f.part == inChunk {
				f.part = inChunkEnd
			} else {
				f.end()
			}
			good = i
			continue
		}
		end := bytes.IndexByte(p[i:], '\n')
		whole := end >= 0
		if !whole {
			end = len(p) - i - 1
		}
		text := p[i : i+end+1]
		f.line = append(f.line, text[:min(len(text), max(0, maxLine-len(f.line)))]...)
		i += len(text)
		if !whole {
			return i, nil
		}
		if err := f.endLine(); err != nil {
			return good, err
		}
		f.line = f.line[:0]
		if f.part != inHead || f.between() {
			good = i
		}
	}
	return len(p), nil
}

// endLine takes a line that has ended. It changes the part if the line ends one.
func (f *framing) endLine() error {
	line, exact := bytes.CutSuffix(f.line, []byte("\r\n"))
	line = bytes.TrimRight(line, "\r\n")
	switch f.part {
	case inHead:
		f.lines++
		if len(line) == 0 {
			return f.headEnds()
		}
		return f.header(string(line))
	case inChunkEnd:
		f.part = inChunkSize
		if !exact || len(line) > 0 {
			return errFraming
		}
	case inChunkSize:
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
		if err != nil || len(size) > maxChunkHex || !exact {
			return errFraming
		}
		if f.left, f.part = int64(n), inChunk; n == 0 {
			f.part = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			f.end()
		}
	}
	return nil
}

// header notes what a line of the head says of the body's length.
func (f *framing) header(line string) error {
	if f.lines == 1 {
		return nil
	}
	name, value, _ := strings.Cut(line, ":")
	if strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") { // a folded line may hide anything
		return errFraming
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		odd := func(r rune) bool { return r < '0' || r > '9' }
		if f.sized || value == "" || len(value) > maxSizeDigit || strings.ContainsFunc(value, odd) {
			return errFraming
		}
		f.sized = true
		f.left, _ = strconv.ParseInt(value, 10, 64) // digits alone, and few
	case "transfer-encoding":
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return errFraming
		}
		f.chunked = true
	}
	return nil
}

func (f *framing) headEnds() error {
	switch {
	case f.lines == 1 || f.chunked && f.sized:
		return errFraming
	case f.chunked:
		f.part = inChunkSize
	case f.left > 0:
		f.part = inBody
	default:
		f.end()
	}
	return nil
}

// end makes ready for the next request.
func (f *framing) end() {
	*f = framing{complete: f.complete + 1, line: f.line[:0]}
}
