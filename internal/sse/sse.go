// Package sse splits an event stream into its events, by the rules of the WHATWG HTML
// standard, "Server-sent events", 9.2.6. It copies only what is split between two
// reads, and allocates nothing for an event that comes whole on one line.
//
// One thing is not by the standard: an event that the end of the stream follows without
// a blank line is given out by End, as engines are known to leave the last one out.
package sse

import (
	"bytes"
	"errors"
)

// MaxEventSize is the most bytes that one event may take, its field names included.
const MaxEventSize = 256 << 10

// ErrEventTooLarge tells of an event of more than MaxEventSize bytes.
var ErrEventTooLarge = errors.New("an event of more than 256 KiB")

// Event is one event. Its slices are valid only while it is being taken.
type Event struct {
	Name []byte // nil for the usual kind
	ID   []byte // that it came with; nil for none
	Data []byte // the lines of its data, put together by line feeds
}

var (
	mark  = []byte("\xEF\xBB\xBF") // a byte order mark, allowed once at the beginning
	colon = []byte(":")
)

// Scanner splits one stream. The zero value is ready.
type Scanner struct {
	rest   []byte // of an event that has not ended
	joined []byte // data of more than one line
	begun  bool   // the first bytes have been looked at
	afterR bool   // the latest byte was a carriage return, so that a line feed is part of it
}

// Write takes what has come and gives each event that is whole to each. An error is
// each's, or ErrEventTooLarge.
func (s *Scanner) Write(p []byte, each func(Event) error) error {
	if !s.begun {
		if len(s.rest)+len(p) < len(mark) && bytes.HasPrefix(mark, append(s.rest, p...)) {
			s.rest = append(s.rest, p...)
			return nil
		}
		s.begun = true
		if len(s.rest) == 0 {
			p = bytes.TrimPrefix(p, mark)
		} else {
			s.rest = append(s.rest, p...)
			p = bytes.TrimPrefix(s.rest, mark)
			s.rest = nil
		}
	}
	if s.afterR && len(p) > 0 {
		s.afterR = false
		if p[0] == '\n' {
			p = p[1:]
		}
	}
	if len(s.rest) > 0 {
		s.rest = append(s.rest, p...)
		p = s.rest
	}
	from, err := s.events(p, each)
	if err != nil {
		return err
	}
	if len(p)-from > MaxEventSize {
		return ErrEventTooLarge
	}
	s.rest = append(s.rest[:0], p[from:]...)
	return nil
}

// End takes what has come of an event before the end of the stream.
func (s *Scanner) End(each func(Event) error) error {
	rest := s.rest
	s.rest = nil
	if !s.begun { // part of a byte order mark and no more
		return nil
	}
	if len(rest) > 0 {
		_, err := s.events(append(rest, "\n\n"...), each)
		return err
	}
	return nil
}

// events gives out all events that end in p and returns where the rest begins.
func (s *Scanner) events(p []byte, each func(Event) error) (from int, err error) {
	var e Event
	lines := 0 // of data
	for at := 0; at < len(p); {
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			end = len(p) - at
		}
		if r := bytes.IndexByte(p[at:at+end], '\r'); r >= 0 {
			end = r
		}
		if end += at; end == len(p) {
			return from, nil // the line has not ended
		}
		next := end + 1
		if p[end] == '\r' {
			if next == len(p) {
				s.afterR = true
			} else if p[next] == '\n' {
				next++
			}
		}
		line := p[at:end]
		at = next
		if len(line) > 0 {
			lines += s.field(&e, line, lines)
			continue
		}
		if lines > 0 {
			if err := each(e); err != nil {
				return from, err
			}
		}
		e, lines, from = Event{}, 0, at
	}
	if from < len(p) && s.afterR {
		// The carriage return stays in the rest, to be read again with what follows.
		s.afterR = false
		return from, nil
	}
	return from, nil
}

// field takes in one line; it returns 1 if that was data.
func (s *Scanner) field(e *Event, line []byte, lines int) int {
	name, value, _ := bytes.Cut(line, colon)
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch string(name) {
	case "data":
		switch lines {
		case 0:
			e.Data = value
		case 1:
			s.joined = append(s.joined[:0], e.Data...)
			fallthrough
		default:
			s.joined = append(append(s.joined, '\n'), value...)
			e.Data = s.joined
		}
		return 1
	case "event":
		e.Name = value
	case "id":
		e.ID = value
	}
	return 0
}
