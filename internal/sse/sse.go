// Package sse splits an event stream into events by the rules of the WHATWG HTML standard,
// "Server-sent events", 9.2.6. It copies only events that are split over reads or have several data
// lines, and doesn't allocate for an event with one data line that arrives in one read.
//
// It deviates from the standard in one rule: if the stream ends without the blank line after the last
// event, End still passes that event on, because some engines omit this blank line.
package sse

import (
	"bytes"
	"errors"
)

// MaxEventSize is the maximum size of one event in bytes, including its field names.
const MaxEventSize = 256 << 10

// ErrEventTooLarge is returned for an event of more than MaxEventSize bytes.
var ErrEventTooLarge = errors.New("an event of more than 256 KiB")

// Event is one event. Its slices are valid only until the function that receives it returns.
type Event struct {
	Name []byte // its type; nil for the default, "message"
	ID   []byte // its id field; nil if there is none
	Data []byte // its data lines, joined by line feeds
}

var (
	byteOrderMark = []byte("\xEF\xBB\xBF") // allowed once, at the beginning of the stream
	colon         = []byte(":")
)

// Scanner splits one stream into events. The zero value is ready for use.
type Scanner struct {
	partial    []byte // bytes of an event that has not ended
	multiline  []byte // data of more than one line
	bomChecked bool   // a byte order mark has been skipped or ruled out
	afterCR    bool   // the last byte was a carriage return, so that a line feed belongs to the same line end
}

// Write processes the next bytes of the stream, and calls handle for each complete event. It returns
// the error of handle, or ErrEventTooLarge.
func (s *Scanner) Write(p []byte, handle func(Event) error) error {
	if !s.bomChecked {
		if len(s.partial)+len(p) < len(byteOrderMark) && bytes.HasPrefix(byteOrderMark, append(s.partial, p...)) {
			s.partial = append(s.partial, p...)
			return nil
		}
		s.bomChecked = true
		if len(s.partial) == 0 {
			p = bytes.TrimPrefix(p, byteOrderMark)
		} else {
			s.partial = append(s.partial, p...)
			p = bytes.TrimPrefix(s.partial, byteOrderMark)
			s.partial = nil
		}
	}
	if s.afterCR && len(p) > 0 {
		s.afterCR = false
		if p[0] == '\n' {
			p = p[1:]
		}
	}
	if len(s.partial) > 0 {
		s.partial = append(s.partial, p...)
		p = s.partial
	}
	consumed, err := s.events(p, handle)
	if err != nil {
		return err
	}
	if len(p)-consumed > MaxEventSize {
		return ErrEventTooLarge
	}
	s.partial = append(s.partial[:0], p[consumed:]...)
	return nil
}

// End processes the end of the stream: it calls handle for the last event if its blank line is missing.
func (s *Scanner) End(handle func(Event) error) error {
	last := s.partial
	s.partial = nil
	if !s.bomChecked { // the stream is only a part of a byte order mark
		return nil
	}
	if len(last) > 0 {
		_, err := s.events(append(last, "\n\n"...), handle)
		return err
	}
	return nil
}

// events calls handle for all events that end in p, and returns the offset in p of the event that has
// not ended.
func (s *Scanner) events(p []byte, handle func(Event) error) (consumed int, err error) {
	var e Event
	dataLines := 0
	for at := 0; at < len(p); {
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			end = len(p) - at
		}
		if r := bytes.IndexByte(p[at:at+end], '\r'); r >= 0 {
			end = r
		}
		if end += at; end == len(p) {
			return consumed, nil // the line has not ended
		}
		next := end + 1
		if p[end] == '\r' {
			if next == len(p) {
				s.afterCR = true
			} else if p[next] == '\n' {
				next++
			}
		}
		line := p[at:end]
		at = next
		if len(line) > 0 {
			dataLines += s.field(&e, line, dataLines)
			continue
		}
		if dataLines > 0 {
			if err := handle(e); err != nil {
				return consumed, err
			}
		}
		e, dataLines, consumed = Event{}, 0, at
	}
	if consumed < len(p) && s.afterCR {
		// The carriage return remains in partial, and is processed again with the next bytes.
		s.afterCR = false
		return consumed, nil
	}
	return consumed, nil
}

// field processes one line of an event. It returns 1 for a data line and 0 for any other. dataLines is
// the number of data lines before it.
func (s *Scanner) field(e *Event, line []byte, dataLines int) int {
	name, value, _ := bytes.Cut(line, colon)
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch string(name) {
	case "data":
		switch dataLines {
		case 0:
			e.Data = value
		case 1:
			s.multiline = append(s.multiline[:0], e.Data...)
			fallthrough
		default:
			s.multiline = append(append(s.multiline, '\n'), value...)
			e.Data = s.multiline
		}
		return 1
	case "event":
		e.Name = value
	case "id":
		e.ID = value
	}
	return 0
}
