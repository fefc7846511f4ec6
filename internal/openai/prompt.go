package openai

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"unicode/utf8"

	"wellgw/internal/jsonscan"
)

// parseMessages reads a conversation's shape. All its turns begin with the same messages up to
// the caller's first, so these name the session; the first message, if it is not all there
// is, is the opening that others share.
func (a *apiRequest) parseMessages(f *fields, session hash.Hash) error {
	list := f.get("messages")
	w := jsonscan.Array(list)
	begun, n := false, 0
	var opening []byte
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		param := fmt.Sprintf("messages[%d]", n)
		m, err := readFields(at.Of(list))
		if err != nil {
			return paramError{param, "is no object"}
		}
		role := ""
		if err := m.decode("role", &role); err != nil || role == "" {
			return paramError{param, "role is missing"}
		}
		text, tokens, err := parseContent(m.get("content"))
		if err != nil {
			return paramError{param, err.Error()}
		}
		tokens += (len(m.get("tool_calls")) + charsPerToken - 1) / charsPerToken
		tokens += messageTokens
		a.shape.promptTokens += tokens
		if n == 0 && role != "user" {
			opening, a.shape.prefixLen = text, tokens
		}
		if !begun {
			begun = role == "user"
			fmt.Fprintf(session, " %s %d ", role, len(text))
			session.Write(text)
		}
		if n++; n > maxMessages {
			break
		}
	}
	if w.Err() != nil && list != nil {
		return paramError{"messages", "is no list"}
	}
	if n == 0 || n > maxMessages {
		return paramError{"messages", "none, or too many"}
	}
	if opening != nil && n > 1 {
		sum := sha256.New()
		fmt.Fprintf(sum, "%s\x00", a.model)
		sum.Write(opening)
		a.shape.prefix = hex.EncodeToString(sum.Sum(nil)[:8])
	} else {
		a.shape.prefixLen = 0
	}
	for _, name := range []string{"tools", "functions", "response_format"} {
		a.shape.promptTokens += (len(f.get(name)) + charsPerToken - 1) / charsPerToken
	}
	return nil
}

// unquote is a string's text; one without escapes is not copied.
func unquote(raw []byte) ([]byte, bool) {
	if len(raw) < 2 || raw[0] != '"' {
		return nil, false
	}
	if bytes.IndexByte(raw, '\\') < 0 {
		return raw[1 : len(raw)-1], true
	}
	var s string
	if codec.Unmarshal(raw, &s) != nil {
		return nil, false
	}
	return []byte(s), true
}

func estimateTokens(text []byte) int {
	return (utf8.RuneCount(text) + charsPerToken - 1) / charsPerToken
}

// parseContent returns a message's text, and the tokens that it and its other parts take.
func parseContent(raw []byte) (all []byte, tokens int, err error) {
	if raw == nil { // an assistant's tool calls have none
		return []byte{}, 0, nil
	}
	if t, is := unquote(raw); is {
		return t, estimateTokens(t), nil
	}
	w := jsonscan.Array(raw)
	other := 0
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		p, err := readFields(at.Of(raw))
		if err != nil {
			return nil, 0, errors.New("a part of the content is no object")
		}
		kind := ""
		if err := p.decode("type", &kind); err != nil {
			return nil, 0, errors.New("a part's type is no string")
		}
		switch kind {
		case "text", "refusal", "":
			if part := p.get(map[bool]string{true: "refusal", false: "text"}[kind == "refusal"]); part != nil {
				t, is := unquote(part)
				if !is {
					return nil, 0, errors.New("a part's text is no string")
				}
				all = append(all, t...)
			}
		case "image_url":
			if other += imageTokensHigh; bytes.Contains(p.get("image_url"), []byte(`"low"`)) {
				other -= imageTokensHigh - imageTokensLow
			}
		case "input_audio":
			other += max(1, len(p.get("input_audio"))/audioBytesPerToken)
		case "file":
			other += max(1, len(p.get("file"))/fileBytesPerToken)
		default:
			other += unknownPartTokens
		}
	}
	if w.Err() != nil {
		return nil, 0, errors.New("content is neither a string nor a list of parts")
	}
	if all == nil {
		all = []byte{}
	}
	return all, estimateTokens(all) + other, nil
}

// countPrompts counts the tokens of a text, a list of texts, tokens, or lists of tokens, and
// how many there are. The first text names the session.
func countPrompts(raw []byte, param string, session hash.Hash) (tokens, n int, err error) {
	wrong := paramError{param, "is neither text nor tokens, nor a list of these"}
	if raw == nil {
		return 0, 0, paramError{param, "missing"}
	}
	if t, is := unquote(raw); is {
		if session != nil {
			session.Write(t)
		}
		return estimateTokens(t), 1, nil
	}
	w := jsonscan.Array(raw)
	numbers := 0
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		part := at.Of(raw)
		if _, is := jsonscan.Int(part); is {
			numbers++
			continue
		}
		if t, is := unquote(part); is {
			if n == 0 && session != nil {
				session.Write(t)
			}
			tokens += estimateTokens(t)
		} else if list := jsonscan.Array(part); true {
			for at, ok := list.Element(); ok; at, ok = list.Element() {
				if _, is := jsonscan.Int(at.Of(part)); !is {
					return 0, 0, wrong
				}
				tokens++
			}
			if list.Err() != nil {
				return 0, 0, wrong
			}
			if n == 0 && session != nil {
				session.Write(part)
			}
		}
		if n++; n > maxInputs {
			return 0, 0, paramError{param, fmt.Sprintf("more than %d", maxInputs)}
		}
	}
	switch {
	case w.Err() != nil || numbers > 0 && n > 0:
		return 0, 0, wrong
	case numbers > 0:
		if session != nil {
			session.Write(raw)
		}
		return numbers, 1, nil
	case n == 0:
		return 0, 0, paramError{param, "empty"}
	}
	return tokens, n, nil
}

func firstLine(s string) string {
	if at := bytes.IndexByte([]byte(s), '\n'); at >= 0 {
		s = s[:at]
	}
	const most = 120
	if len(s) <= most {
		return s
	}
	for s = s[:most]; len(s) > 0 && !utf8.ValidString(s); s = s[:len(s)-1] {
	}
	return s
}
