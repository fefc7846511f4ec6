package resume

// Progress is the progress of an answer, as recorded from the events of its stream. The zero value is the
// progress of an answer of one choice without any event.
type Progress struct {
	expectedChoices int          // number of choices that the request asks for; 0 for one
	choices         map[int]bool // started choices by index; the value is whether the choice has ended
	endedChoices    int          // number of choices that have ended
	streamEnded     bool         // the stream's end marker has been received
	sentEvents      int          // number of events sent to the client
	text            []byte       // text of the first choice so far
	textEvents      int          // number of events with text, an approximation of the number of tokens
	otherContent    bool         // the client was sent content other than text of the first choice
}

// ExpectChoices sets the number of choices that the request asks for.
func (p *Progress) ExpectChoices(n int) { p.expectedChoices = n }

// RecordChoice records an event of a choice and whether the event ends the choice.
func (p *Progress) RecordChoice(index int, end bool) {
	if p.choices == nil {
		p.choices = map[int]bool{}
	}
	ended := p.choices[index]
	if p.choices[index] = ended || end; end && !ended {
		p.endedChoices++
	}
}

// RecordStreamEnd records the stream's end marker.
func (p *Progress) RecordStreamEnd() { p.streamEnded = true }

// StreamEnded reports whether the stream's end marker has been recorded.
func (p *Progress) StreamEnded() bool { return p.streamEnded }

// RecordSent records that an event has been sent to the client. It returns the number of events sent before,
// which is the sequence number of this event.
func (p *Progress) RecordSent() int {
	p.sentEvents++
	return p.sentEvents - 1
}

// SentEvents returns the number of events sent to the client.
func (p *Progress) SentEvents() int { return p.sentEvents }

// AppendText appends text from one event to the text of the first choice.
func (p *Progress) AppendText(text []byte) {
	p.text = append(p.text, text...)
	p.textEvents++
}

// Text returns the text of the first choice so far and its approximate number of tokens, which is the number
// of events with text.
func (p *Progress) Text() (text []byte, tokens int) { return p.text, p.textEvents }

// RecordOtherContent records that the client has been sent content that no engine can continue, that is
// anything other than text of the first choice, such as a tool call or another choice.
func (p *Progress) RecordOtherContent() { p.otherContent = true }

// Complete reports whether the answer is complete: each choice that the request asks for, and each that has
// started, has ended. Engines may omit the stream's end marker, or fail before sending it. For a single
// choice the marker counts as its end.
func (p *Progress) Complete() bool {
	if p.streamEnded && p.expectedChoices <= 1 {
		return true
	}
	return p.endedChoices >= max(1, p.expectedChoices) && p.endedChoices == len(p.choices)
}

// PrepareNextAttempt prepares for the stream of another engine, which continues the answer. If no event has
// been sent to the client, it resets the progress, because the answer starts from the beginning.
func (p *Progress) PrepareNextAttempt() {
	if p.sentEvents == 0 {
		*p = Progress{expectedChoices: p.expectedChoices}
	}
}
