package clientconn

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

var errFraming = errors.New("a request that is not framed in one clear way")

// framing tracks where requests begin and end in a client's bytes.
//
// It guards against request smuggling. Given both Content-Length and Transfer-Encoding, net/http
// ignores the former and serves what follows the body, so that one request can hide another in its
// body. Such a request, and any other whose end is ambiguous, is an error here. It is stricter than
// net/http on purpose: whatever it accepts, both parse alike.
type framing struct {
	part      part
	line      []byte // beginning of the current line, enough to classify it
	remaining int64  // bytes of the current body or chunk
	chunked   bool
	hasLength bool
	lines     int
	complete  int // requests whose last byte has arrived
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
	maxLine      = 256 // bytes of a line that are kept; longer lines are not of interest
	maxSizeDigit = 15  // digits of a Content-Length
	maxChunkHex  = 8   // digits of a chunk size
)

// betweenRequests reports whether no request has begun since the last one ended.
func (f *framing) betweenRequests() bool { return f.part == inHead && f.lines == 0 && len(f.line) == 0 }

// partialHead reports whether a head has begun and not ended.
func (f *framing) partialHead() bool { return f.part == inHead && !f.betweenRequests() }

// advance processes bytes that have arrived. On an error, good is how much of p precedes the malformed
// head or part of a body.
func (f *framing) advance(p []byte) (good int, err error) {
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
			good = i
			continue
		}
		end := bytes.IndexByte(p[i:], '\n')
		ended := end >= 0
		if !ended {
			end = len(p) - i - 1
		}
		text := p[i : i+end+1]
		f.line = append(f.line, text[:min(len(text), max(0, maxLine-len(f.line)))]...)
		i += len(text)
		if !ended {
			return i, nil
		}
		if err := f.endLine(); err != nil {
			return good, err
		}
		f.line = f.line[:0]
		if f.part != inHead || f.betweenRequests() {
			good = i
		}
	}
	return len(p), nil
}

// endLine processes a line that has ended, and moves to the next part if the line ends one.
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
		if f.remaining, f.part = int64(n), inChunk; n == 0 {
			f.part = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			f.endRequest()
		}
	}
	return nil
}

// header records what a header line says about the body's length.
func (f *framing) header(line string) error {
	if f.lines == 1 {
		return nil
	}
	name, value, _ := strings.Cut(line, ":")
	if strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") { // folded lines are obsolete and ambiguous
		return errFraming
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		odd := func(r rune) bool { return r < '0' || r > '9' }
		if f.hasLength || value == "" || len(value) > maxSizeDigit || strings.ContainsFunc(value, odd) {
			return errFraming
		}
		f.hasLength = true
		f.remaining, _ = strconv.ParseInt(value, 10, 64) // only digits, at most maxSizeDigit
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

// endRequest prepares for the next request.
func (f *framing) endRequest() {
	*f = framing{complete: f.complete + 1, line: f.line[:0]}
}
