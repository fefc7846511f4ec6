package resume

// Progress is how far an answer has come, by the events of its stream. The zero value is one that has not
// begun.
type Progress struct {
	choices      map[int]bool // choices that have begun; true: ended
	openChoices  int          // choices that have begun and not ended
	choiceEnded  bool         // some choice has ended
	streamEnded  bool         // the stream's end marker has come
	sentEvents   int          // events sent to the client
	text         []byte       // of the first choice
	textEvents   int          // events with a part of text: about its tokens
	otherContent bool         // the client was sent something besides text of the first choice
}

// RecordChoice records an event of a choice, and whether that ended the choice.
func (a *Progress) RecordChoice(index int, end bool) {
	ended, begun := a.choices[index]
	switch {
	case !begun:
		if a.choices == nil {
			a.choices = map[int]bool{}
		}
		if a.choices[index] = end; !end {
			a.openChoices++
		}
	case end && !ended:
		a.choices[index] = true
		a.openChoices--
	}
	a.choiceEnded = a.choiceEnded || end
}

// RecordStreamEnd records the stream's end marker.
func (a *Progress) RecordStreamEnd() { a.streamEnded = true }

// StreamEnded reports whether the stream's end marker has come.
func (a *Progress) StreamEnded() bool { return a.streamEnded }

// RecordSent records that the client has been sent an event. It returns how many were sent before, which is
// the event's number.
func (a *Progress) RecordSent() int {
	a.sentEvents++
	return a.sentEvents - 1
}

// SentEvents returns how many events the client has been sent.
func (a *Progress) SentEvents() int { return a.sentEvents }

// AppendText records a part of the first choice's text.
func (a *Progress) AppendText(text []byte) {
	a.text = append(a.text, text...)
	a.textEvents++
}

// Text returns the text so far, and in how many events it came: about its tokens.
func (a *Progress) Text() (text []byte, tokens int) { return a.text, a.textEvents }

// RecordOtherContent records that the client has been sent what no engine can continue: a tool call, another choice,
// anything but text.
func (a *Progress) RecordOtherContent() { a.otherContent = true }

// Complete reports whether the answer is complete. Engines may omit the stream's end marker, or break before
// it: without it, the answer is complete once each choice has ended.
func (a *Progress) Complete() bool { return a.streamEnded || a.choiceEnded && a.openChoices == 0 }

// PrepareNextAttempt prepares for another engine's stream, which continues the answer or, if the client has been sent
// nothing, begins it anew.
func (a *Progress) PrepareNextAttempt() {
	if a.sentEvents == 0 {
		*a = Progress{}
	}
}
