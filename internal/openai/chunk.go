package openai

import (
	"bytes"
	"errors"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Faults of a stream that its client is told of.
var (
	errInvalidChunk = errors.New("an event that is no JSON object")
	errTruncated    = errors.New("the stream ended before its answer did")
)

// reportedError is an error that an engine reports in the middle of its stream.
type reportedError struct{ text string }

func (e reportedError) Error() string { return "the engine reports an error: " + e.text }

// head holds the members that every event of an answer repeats.
type head struct {
	id, model, object string
	created           int64
}

var (
	doneBytes   = []byte(doneData)
	nameID      = []byte("id")
	nameObject  = []byte("object")
	nameCreated = []byte("created")
	nameModel   = []byte("model")
)

// recordChoices records which choices have come and ended and, if withText is set, their content.
// It tells whether there was any choice.
func recordChoices(answer *resume.Progress, choices []byte, withText bool) (hasChoices bool, err error) {
	w := jsonscan.Array(choices)
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		hasChoices = true
		index, ended := 0, false
		var delta jsonscan.Span
		choice := at.Of(choices)
		c := jsonscan.Object(choice)
		for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
			switch string(name) {
			case "index":
				index, _ = jsonscan.Int(value.Of(choice))
			case "finish_reason":
				ended = !value.IsNull(choice)
			case "delta":
				delta = value
			case "text":
				answer.RecordOtherContent()
			}
		}
		if c.Err() != nil {
			return hasChoices, errInvalidChunk
		}
		if withText {
			recordDelta(answer, index, delta.Of(choice))
		}
		answer.RecordChoice(index, ended)
	}
	if w.Err() != nil && !isNull(choices) {
		return hasChoices, errInvalidChunk
	}
	return hasChoices, nil
}

// recordDelta records the content of a choice's delta. Whatever is not the text of the first
// choice makes the answer one that can't be continued.
func recordDelta(answer *resume.Progress, index int, delta []byte) {
	if index != 0 {
		answer.RecordOtherContent()
	}
	d := jsonscan.Object(delta)
	for name, value, ok := d.Next(); ok; name, value, ok = d.Next() {
		v := value.Of(delta)
		switch {
		case isEmptyMember(name, v):
		case string(name) == "content":
			if t, is := unquote(v); is {
				answer.AppendText(t)
			}
		default:
			answer.RecordOtherContent()
		}
	}
}

// isObject tells whether a text is a JSON object, and nothing else.
func isObject(text []byte) bool {
	w := jsonscan.Object(text)
	for _, _, ok := w.Next(); ok; _, _, ok = w.Next() {
	}
	return w.Err() == nil
}

// isNull tells whether a JSON value is null.
func isNull(text []byte) bool { return len(text) > 0 && text[0] == 'n' }

// errorMessage returns the message of an error object, or the object itself if it has none.
func errorMessage(object []byte) string {
	var e struct {
		Message string `json:"message"`
	}
	if codec.Unmarshal(object, &e) != nil || e.Message == "" {
		return firstLine(string(object))
	}
	return firstLine(e.Message)
}

// startsAnswer tells whether an event begins an answer. With bufferUntilToken, that is the first
// event with content: a token, a tool call, a finish reason.
func startsAnswer(data []byte, bufferUntilToken bool) (bool, error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, doneBytes) {
		return true, nil
	}
	w := jsonscan.Object(data)
	hasToken := false
	for {
		name, value, ok := w.Next()
		if !ok {
			break
		}
		switch string(name) {
		case "error":
			if !value.IsNull(data) {
				return false, reportedError{errorMessage(value.Of(data))}
			}
		case "choices":
			hasToken = hasToken || hasContent(value.Of(data))
		}
	}
	if w.Err() != nil {
		return false, errInvalidChunk
	}
	return hasToken || !bufferUntilToken, nil
}

// isEmptyMember tells whether a member of a delta adds nothing to an answer.
func isEmptyMember(name, value []byte) bool {
	return string(name) == "role" || isNull(value) || string(value) == `""` || string(value) == `[]`
}

// hasContent tells whether choices hold more than a role.
func hasContent(choices []byte) bool {
	w := jsonscan.Array(choices)
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		choice := at.Of(choices)
		c := jsonscan.Object(choice)
		for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
			text := value.Of(choice)
			switch string(name) {
			case "index", "logprobs":
			case "delta":
				d := jsonscan.Object(text)
				for name, value, ok := d.Next(); ok; name, value, ok = d.Next() {
					if !isEmptyMember(name, value.Of(text)) {
						return true
					}
				}
			default: // a finish reason, the text of a completion
				if !value.IsNull(choice) && string(text) != `""` {
					return true
				}
			}
		}
	}
	return false
}
