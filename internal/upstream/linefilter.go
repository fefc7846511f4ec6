package upstream

import (
	"bytes"
	"errors"
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
// guards against an engine, or broken framing, that sends other bytes in place of events. It also
// records which events have passed.
type lineFilter struct {
	partialLine   []byte // a line without its end
	spare         []byte // buffer for the next partialLine: the bytes that filter returned may be in the other
	firstLineDone bool   // only the first line may begin with a byte order mark
	event         partialEvent
	eventSeen     bool // a complete event with data has passed
	lastEventSeen bool // the event that ends a stream has passed
	events        int  // complete events whose data is not blank, up to the last event
	sinceEvent    int  // bytes of complete lines since the latest of them
}

// partialEvent is what is known of an event that has not ended.
type partialEvent struct {
	dataLines int
	dataBytes int  // of its data lines
	hasData   bool // a data line is not blank
	isLast    bool // its only data line is that of the last event
}

var (
	byteOrderMark = []byte("\xEF\xBB\xBF")
	dataField     = []byte("data:")
	lastEventData = []byte("[DONE]")
)

// addLine records a line of the event. Only a data line counts: a text that quotes the last event is
// a part of one.
func (e *partialEvent) addLine(line []byte) {
	data, isData := bytes.CutPrefix(line, dataField)
	if !isData {
		return
	}
	e.dataBytes += len(line)
	data = bytes.TrimSpace(data)
	e.dataLines++
	e.hasData = e.hasData || len(data) > 0
	e.isLast = e.dataLines == 1 && bytes.Equal(data, lastEventData)
}

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
		f.trackLine(line)
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
	f.partialLine, f.spare = append(f.spare[:0], p[validSize:]...), f.partialLine
	return p[:validSize], nil
}

// trackLine records a complete line. An empty line ends an event.
func (f *lineFilter) trackLine(line []byte) {
	f.sinceEvent += len(line)
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		f.event.addLine(line)
		return
	}
	f.endEvent()
}

// arrivingData returns how many bytes of data lines have arrived of the event that has not ended.
func (f *lineFilter) arrivingData() int {
	if bytes.HasPrefix(f.partialLine, dataField) {
		return f.event.dataBytes + len(f.partialLine)
	}
	return f.event.dataBytes
}

// endEvent records the end of an event. A client cannot use a part of an event.
func (f *lineFilter) endEvent() {
	event := f.event
	f.event = partialEvent{}
	f.eventSeen = f.eventSeen || event.dataLines > 0
	if event.hasData && !f.lastEventSeen {
		f.events++
		f.sinceEvent = 0
	}
	f.lastEventSeen = f.lastEventSeen || event.isLast
}

// flush returns a last line without a line end.
func (f *lineFilter) flush() []byte {
	last := f.partialLine
	f.partialLine = nil
	f.event.addLine(last)
	return last
}

// endStream records that the engine has ended the stream, which also ends its event. If only the
// close of the connection marks that end, it might be a break: then only the last event is complete.
func (f *lineFilter) endStream(framed bool) {
	if framed || f.event.isLast {
		f.endEvent()
	}
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
