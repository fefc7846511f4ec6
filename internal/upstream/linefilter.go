package upstream

import (
	"bytes"
	"errors"
	"slices"
)

// maxEventLine is the longest line of a stream, in bytes.
const maxEventLine = 256 << 10

var errNotEventStream = errors.New("what came is no line of an event stream")

// lineFilter passes the lines that an event stream may hold, unchanged, and stops at anything else.
// It guards against an engine, or broken framing, that puts other bytes in the place of events.
type lineFilter struct {
	partialLine   []byte // of a line that has not ended
	eventSeen     bool   // a complete event with data has passed
	dataSeen      bool   // a data line of the current event has passed
	firstLineDone bool   // only the first line may begin with a byte order mark
}

var byteOrderMark = []byte("\xEF\xBB\xBF")

// filter returns what may be forwarded now that p has arrived. The result is valid until the next
// call.
func (s *lineFilter) filter(p []byte) ([]byte, error) {
	if len(s.partialLine) > 0 {
		s.partialLine = append(s.partialLine, p...)
		p = s.partialLine
	}
	sound := 0
	for line := range bytes.Lines(p) {
		size := len(line)
		if !s.firstLineDone {
			if size <= len(byteOrderMark) && bytes.HasPrefix(byteOrderMark, line) {
				break
			}
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		if !s.validPrefix(line) {
			return p[:sound], errNotEventStream
		}
		if line[len(line)-1] != '\n' {
			break
		}
		s.trackEvent(line)
		s.firstLineDone = true
		sound += size
	}
	if sound == len(p) {
		s.partialLine = s.partialLine[:0]
		return p, nil
	}
	if len(p)-sound > maxEventLine {
		return p[:sound], errNotEventStream
	}
	s.partialLine = slices.Clone(p[sound:])
	return p[:sound], nil
}

// trackEvent records where events end: an empty line ends one. A client cannot use a part of one.
func (s *lineFilter) trackEvent(line []byte) {
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		s.dataSeen = s.dataSeen || bytes.HasPrefix(line, []byte("data:"))
		return
	}
	s.eventSeen = s.eventSeen || s.dataSeen
	s.dataSeen = false
}

// flush returns a last line without a line end. If the stream is complete, its end also ends the
// event.
func (s *lineFilter) flush(complete bool) []byte {
	rest := s.partialLine
	s.partialLine = nil
	s.eventSeen = s.eventSeen || complete && (s.dataSeen || bytes.HasPrefix(rest, []byte("data:")))
	return rest
}

// validPrefix reports whether a line, or the beginning of one, may occur in an event stream.
func (s *lineFilter) validPrefix(line []byte) bool {
	if line[0] == ':' || line[0] == '\r' || line[0] == '\n' {
		return true
	}
	for _, field := range []string{"data:", "event:", "id:", "retry:"} {
		n := min(len(field), len(line))
		if string(line[:n]) == field[:n] {
			return true
		}
	}
	return false
}
