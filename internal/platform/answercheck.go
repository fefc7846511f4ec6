package platform

import (
	"errors"

	"wellgw/internal/jsonscan"
	"wellgw/internal/upstream"
)

// Errors of an answer that its engine did not write completely.
var (
	errDamagedEvent = errors.New("an event is not a JSON object")
	errNoLastEvent  = errors.New("the answer ended without its last event")
	errNoFinish     = errors.New("the answer ended without the finish reason of a choice")
	errManyChoices  = errors.New("the answer has too many choices")
)

const (
	lastEventData = "[DONE]"
	maxChoices    = 1024 // of one answer
)

// answerCheck decides whether an answer is complete: each event is a JSON object, each choice has its finish
// reason, and the last event has arrived.
type answerCheck struct {
	finished []bool // by the index of a choice
	ended    bool   // the last event has arrived
}

// NewAnswerCheck implements upstream.AnswerChecker.
func (Dialect) NewAnswerCheck() upstream.AnswerCheck { return &answerCheck{} }

// Event implements upstream.AnswerCheck.
func (c *answerCheck) Event(data []byte) error {
	if c.ended {
		return nil
	}
	if string(data) == lastEventData {
		c.ended = true
		return nil
	}
	event := jsonscan.Object(data)
	for name, value, ok := event.Next(); ok; name, value, ok = event.Next() {
		if string(name) != "choices" || value.IsNull(data) {
			continue
		}
		if err := c.recordChoices(value.Of(data)); err != nil {
			return err
		}
	}
	if event.Err() != nil || !jsonscan.IsBlank(data[event.ClosingBracket()+1:]) {
		return errDamagedEvent
	}
	return nil
}

// recordChoices records which of an event's choices have finished.
func (c *answerCheck) recordChoices(choices []byte) error {
	list := jsonscan.Array(choices)
	for at, ok := list.Element(); ok; at, ok = list.Element() {
		index, finished := 0, false
		text := at.Of(choices)
		choice := jsonscan.Object(text)
		for name, value, ok := choice.Next(); ok; name, value, ok = choice.Next() {
			switch string(name) {
			case "index":
				index, _ = jsonscan.Int(value.Of(text))
			case "finish_reason":
				finished = !value.IsNull(text)
			}
		}
		if choice.Err() != nil {
			return errDamagedEvent
		}
		if index < 0 || index >= maxChoices {
			return errManyChoices
		}
		for len(c.finished) <= index {
			c.finished = append(c.finished, false)
		}
		c.finished[index] = c.finished[index] || finished
	}
	if list.Err() != nil {
		return errDamagedEvent
	}
	return nil
}

// End implements upstream.AnswerCheck.
func (c *answerCheck) End() error {
	if !c.ended {
		return errNoLastEvent
	}
	for _, finished := range c.finished {
		if !finished {
			return errNoFinish
		}
	}
	if len(c.finished) == 0 {
		return errNoFinish
	}
	return nil
}
