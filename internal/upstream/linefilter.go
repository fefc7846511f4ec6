package upstream

import (
	"bytes"
	"errors"
	"slices"
)

// Limits on the lines of a stream, in bytes.
const (
	maxEventLine  = 256 << 10
	maxSinceEvent = 2 * maxEventLine // of complete lines without the end of an event
)

var (
	errNotEventStream = errors.New("not a line of an event stream")
	errNoEventEnd     = errors.New("too many bytes without the end of an event")
)

// lineFilter passes lines that are valid in an event stream, unchanged, and fails at any other. It
// guards against an engine, or broken framing, that sends other bytes in place of events.
type lineFilter struct {
	partialLine   []byte // a line without its end
	eventSeen     bool   // a complete event with data has passed
	dataSeen      bool   // a data line of the incomplete event has passed
	contentSeen   bool   // a data line of it is not blank
	events        int    // complete events whose data is not blank
	sinceEvent    int    // bytes of complete lines since the last of them
	firstLineDone bool   // only the first line may begin with a byte order mark
}

var (
	byteOrderMark = []byte("\xEF\xBB\xBF")
	dataField     = []byte("data:")
)

// filter returns the bytes that may be forwarded after the arrival of p. The result is valid until
// the next call.
func (f *lineFilter) filter(p []byte) ([]byte, error) {
	if len(f.partialLine) > 0 {
		f.partialLine = append(f.partialLine, p...)
		p = f.partialLine
	}
	validSize := 0
	for line := range bytes.Lines(p) {
		size := len(line)
		if !f.firstLineDone {
			if size <= len(byteOrderMark) && bytes.HasPrefix(byteOrderMark, line) {
				break
			}
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		if !f.validPrefix(line) {
			return p[:validSize], errNotEventStream
		}
		if line[len(line)-1] != '\n' {
			break
		}
		f.trackEvent(line)
		f.firstLineDone = true
		validSize += size
		if f.sinceEvent > maxSinceEvent {
			return p[:validSize], errNoEventEnd
		}
	}
	if validSize == len(p) {
		f.partialLine = f.partialLine[:0]
		return p, nil
	}
	if len(p)-validSize > maxEventLine {
		return p[:validSize], errNotEventStream
	}
	f.partialLine = slices.Clone(p[validSize:])
	return p[:validSize], nil
}

// trackEvent records where events end: an empty line ends one. A client cannot use a part of an
// event.
func (f *lineFilter) trackEvent(line []byte) {
	f.sinceEvent += len(line)
	if content := bytes.TrimRight(line, "\r\n"); len(content) > 0 {
		if data, isData := bytes.CutPrefix(content, dataField); isData {
			f.dataSeen = true
			f.contentSeen = f.contentSeen || len(bytes.TrimSpace(data)) > 0
		}
		return
	}
	f.eventSeen = f.eventSeen || f.dataSeen
	if f.contentSeen {
		f.events++
		f.sinceEvent = 0
	}
	f.dataSeen, f.contentSeen = false, false
}

// flush returns a last line without a line end. If the stream is complete, its end also completes
// the event.
func (f *lineFilter) flush(complete bool) []byte {
	last := f.partialLine
	f.partialLine = nil
	f.eventSeen = f.eventSeen || complete && (f.dataSeen || bytes.HasPrefix(last, dataField))
	return last
}

// validPrefix reports whether a line, or the beginning of one, may occur in an event stream.
func (f *lineFilter) validPrefix(line []byte) bool {
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
