package upstream

import (
	"bytes"
	"errors"
	"slices"
)

// maxEventLine is the most that one line of a stream may hold.
const maxEventLine = 256 << 10

var errJunk = errors.New("what came is no line of an event stream")

// lineFilter lets pass what an event stream may hold, line by line and unchanged, and
// stops at anything else. It guards against an engine or a broken framing that
// puts other bytes in the place of events.
type lineFilter struct {
	rest  []byte // of a line that has not ended
	begun bool   // a whole event with data has passed
	data  bool   // data of the event under way has
	later bool   // the first line has passed, which alone may begin with a byte order mark
}

var mark = []byte("\xEF\xBB\xBF")

// take returns what may be passed on now that p has come. It is valid until the
// next call.
func (s *lineFilter) take(p []byte) ([]byte, error) {
	if len(s.rest) > 0 {
		s.rest = append(s.rest, p...)
		p = s.rest
	}
	sound := 0
	for line := range bytes.Lines(p) {
		size := len(line)
		if !s.later {
			if size <= len(mark) && bytes.HasPrefix(mark, line) {
				break
			}
			line = bytes.TrimPrefix(line, mark)
		}
		if !s.fits(line) {
			return p[:sound], errJunk
		}
		if line[len(line)-1] != '\n' {
			break
		}
		s.event(line)
		s.later = true
		sound += size
	}
	if sound == len(p) {
		s.rest = s.rest[:0]
		return p, nil
	}
	if len(p)-sound > maxEventLine {
		return p[:sound], errJunk
	}
	s.rest = slices.Clone(p[sound:])
	return p[:sound], nil
}

// event follows where events end: an empty line ends one. Half of one is nothing that a
// client could make anything of.
func (s *lineFilter) event(line []byte) {
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		s.data = s.data || bytes.HasPrefix(line, []byte("data:"))
		return
	}
	s.begun = s.begun || s.data
	s.data = false
}

// left returns a last line that its end has not followed. Where the stream itself is whole,
// its end stands for the event's.
func (s *lineFilter) left(whole bool) []byte {
	rest := s.rest
	s.rest = nil
	s.begun = s.begun || whole && (s.data || bytes.HasPrefix(rest, []byte("data:")))
	return rest
}

// fits tells whether a line, or the beginning of one, may stand in a stream.
func (s *lineFilter) fits(line []byte) bool {
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
