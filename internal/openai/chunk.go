package openai

import (
	"bytes"
	"errors"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Errors of an engine's stream that end the client's answer with an error.
var (
	errInvalidChunk = errors.New("event is not a JSON object")
	errTruncated    = errors.New("stream ended before the answer was complete")
)

// reportedError is an error that an engine reports in the middle of its stream.
type reportedError struct{ text string }

func (e reportedError) Error() string { return "the engine reports an error: " + e.text }

// metadata holds the members that every event of an answer repeats.
type metadata struct {
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

// recordChoices records which choices have started and which have finished and, if withText is set,
// their content. It reports whether the list had any choice.
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

// recordDelta records the content of a choice's delta. An answer with any content other than the
// text of the first choice can't be continued at another engine.
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

// isObject reports whether text is exactly one JSON object.
func isObject(text []byte) bool {
	w := jsonscan.Object(text)
	for _, _, ok := w.Next(); ok; _, _, ok = w.Next() {
	}
	return w.Err() == nil
}

// isNull reports whether a JSON value is null.
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

// startsAnswer reports whether an event starts an answer. With bufferUntilToken, only an event with
// content does: a token, a tool call or a finish reason.
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

// isEmptyMember reports whether a member of a delta adds no content to an answer.
func isEmptyMember(name, value []byte) bool {
	return string(name) == "role" || isNull(value) || string(value) == `""` || string(value) == `[]`
}

// hasContent reports whether a list of choices has any content besides a role.
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
