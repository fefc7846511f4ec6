package openai

import (
	"bytes"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
)

// recordChoices notes which choices have come and ended and, if it hears, what they say; some
// tells whether there was any.
func recordChoices(so *resume.Answer, choices []byte, hears bool) (some bool, err error) {
	w := jsonscan.Array(choices)
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		some = true
		index, ended := 0, false
		var delta jsonscan.Span
		choice := at.Of(choices)
		c := jsonscan.Object(choice)
		for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
			switch string(name) {
			case "index":
				index, _ = jsonscan.Int(value.Of(choice))
			case "finish_reason":
				ended = !value.Null(choice)
			case "delta":
				delta = value
			case "text":
				so.Other()
			}
		}
		if c.Err() != nil {
			return some, errInvalidChunk
		}
		if hears {
			recordDelta(so, index, delta.Of(choice))
		}
		so.Choice(index, ended)
	}
	if w.Err() != nil && !isNull(choices) {
		return some, errInvalidChunk
	}
	return some, nil
}

// recordDelta notes what a choice's delta says.
func recordDelta(so *resume.Answer, index int, delta []byte) {
	if index != 0 {
		so.Other()
	}
	d := jsonscan.Object(delta)
	for name, value, ok := d.Next(); ok; name, value, ok = d.Next() {
		v := value.Of(delta)
		switch {
		case string(name) == "role" || value.Null(delta) || string(v) == `""` || string(v) == `[]`:
		case string(name) == "content":
			if t, is := unquote(v); is {
				so.Say(t)
			}
		default:
			so.Other()
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

func isNull(text []byte) bool { return len(text) > 0 && text[0] == 'n' }

// errorMessage is what an error object says.
func errorMessage(object []byte) string {
	var e struct {
		Message string `json:"message"`
	}
	if codec.Unmarshal(object, &e) != nil || e.Message == "" {
		return firstLine(string(object))
	}
	return firstLine(e.Message)
}

// startsAnswer tells whether an event begins an answer. Where the lead may be held back, that is
// the first one with something in it: a token, a call, an end.
func startsAnswer(data []byte, holdLead bool) (bool, error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, doneBytes) {
		return true, nil
	}
	w := jsonscan.Object(data)
	token := false
	for {
		name, value, ok := w.Next()
		if !ok {
			break
		}
		switch string(name) {
		case "error":
			if !value.Null(data) {
				return false, reportedError{errorMessage(value.Of(data))}
			}
		case "choices":
			token = token || hasContent(value.Of(data))
		}
	}
	if w.Err() != nil {
		return false, errInvalidChunk
	}
	return token || !holdLead, nil
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
					if v := value.Of(text); string(name) != "role" && !value.Null(text) && string(v) != `""` && string(v) != `[]` {
						return true
					}
				}
			default: // a finish reason, the text of a completion
				if !value.Null(choice) && string(text) != `""` {
					return true
				}
			}
		}
	}
	return false
}
