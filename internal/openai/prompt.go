package openai

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"unicode/utf8"

	"wellgw/internal/jsonscan"
)

// Faults of a message's content, each told behind the message's field.
var (
	errPartNotObject = errors.New("a part of the content is no object")
	errPartType      = errors.New("a part's type is no string")
	errPartText      = errors.New("a part's text is no string")
	errContentType   = errors.New("content is neither a string nor a list of parts")
)

// sizeInTokens estimates the tokens of n bytes.
func sizeInTokens(n int) int { return (n + charsPerToken - 1) / charsPerToken }

// message is what is read of one message of a conversation.
type message struct {
	role   string
	text   []byte
	tokens int // of its text, other parts, tool calls and frame
}

func parseMessage(raw []byte, param string) (message, error) {
	f, err := readFields(raw)
	if err != nil {
		return message{}, paramError{param, "is no object"}
	}
	m := message{}
	if err := f.decode("role", &m.role); err != nil || m.role == "" {
		return message{}, paramError{param, "role is missing"}
	}
	text, tokens, err := parseContent(f.get("content"))
	if err != nil {
		return message{}, paramError{param, err.Error()}
	}
	m.text, m.tokens = text, tokens+sizeInTokens(len(f.get("tool_calls")))+messageTokens
	return m, nil
}

// parseMessages reads a conversation's shape. All its turns begin with the same messages up to
// the caller's first, so these name the session; the first message, if it is not all there
// is, is the prefix that other conversations share.
func (a *apiRequest) parseMessages(f *fields, session hash.Hash) error {
	list := f.get("messages")
	elements := jsonscan.Array(list)
	sessionNamed, n := false, 0
	var prefix []byte
	for at, ok := elements.Element(); ok; at, ok = elements.Element() {
		m, err := parseMessage(at.Of(list), fmt.Sprintf("messages[%d]", n))
		if err != nil {
			return err
		}
		a.shape.promptTokens += m.tokens
		if n == 0 && m.role != "user" {
			prefix, a.shape.prefixLen = m.text, m.tokens
		}
		if !sessionNamed {
			sessionNamed = m.role == "user"
			fmt.Fprintf(session, " %s %d ", m.role, len(m.text))
			session.Write(m.text)
		}
		if n++; n > maxMessages {
			break
		}
	}
	if elements.Err() != nil && list != nil {
		return paramError{"messages", "is no list"}
	}
	if n == 0 || n > maxMessages {
		return paramError{"messages", "none, or too many"}
	}
	if prefix != nil && n > 1 {
		sum := sha256.New()
		fmt.Fprintf(sum, "%s\x00", a.model)
		sum.Write(prefix)
		a.shape.prefix = hex.EncodeToString(sum.Sum(nil)[:8])
	} else {
		a.shape.prefixLen = 0
	}
	for _, name := range []string{"tools", "functions", "response_format"} {
		a.shape.promptTokens += sizeInTokens(len(f.get(name)))
	}
	return nil
}

// unquote returns a JSON string's text, false if raw is none; one without escapes is not copied.
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

// estimateTokens estimates the tokens of a text by its characters.
func estimateTokens(text []byte) int {
	return sizeInTokens(utf8.RuneCount(text))
}

// parseContent returns a message's text, and the tokens that it and its other parts take.
func parseContent(raw []byte) (all []byte, tokens int, err error) {
	if raw == nil { // an assistant's tool calls have none
		return []byte{}, 0, nil
	}
	if t, is := unquote(raw); is {
		return t, estimateTokens(t), nil
	}
	all = []byte{}
	parts := jsonscan.Array(raw)
	otherTokens := 0
	for at, ok := parts.Element(); ok; at, ok = parts.Element() {
		text, tokens, err := parsePart(at.Of(raw))
		if err != nil {
			return nil, 0, err
		}
		all = append(all, text...)
		otherTokens += tokens
	}
	if parts.Err() != nil {
		return nil, 0, errContentType
	}
	return all, estimateTokens(all) + otherTokens, nil
}

// parsePart returns the text of one part of a message's content or, if it is none, the tokens
// that it takes.
func parsePart(raw []byte) (text []byte, tokens int, err error) {
	f, err := readFields(raw)
	if err != nil {
		return nil, 0, errPartNotObject
	}
	kind := ""
	if err := f.decode("type", &kind); err != nil {
		return nil, 0, errPartType
	}
	switch kind {
	case "text", "":
		text, err = partText(f.get("text"))
		return text, 0, err
	case "refusal":
		text, err = partText(f.get("refusal"))
		return text, 0, err
	case "image_url":
		if bytes.Contains(f.get("image_url"), []byte(`"low"`)) {
			return nil, imageTokensLow, nil
		}
		return nil, imageTokensHigh, nil
	case "input_audio":
		return nil, max(1, len(f.get("input_audio"))/audioBytesPerToken), nil
	case "file":
		return nil, max(1, len(f.get("file"))/fileBytesPerToken), nil
	}
	return nil, unknownPartTokens, nil
}

func partText(raw []byte) ([]byte, error) {
	if raw == nil {
		return nil, nil
	}
	text, is := unquote(raw)
	if !is {
		return nil, errPartText
	}
	return text, nil
}

// countPrompts counts the tokens of a text, a list of texts, tokens, or lists of tokens, and
// how many prompts there are. The first one names the session, if session is not nil.
func countPrompts(raw []byte, param string, session io.Writer) (tokens, n int, err error) {
	invalid := paramError{param, "is neither text nor tokens, nor a list of these"}
	if raw == nil {
		return 0, 0, paramError{param, "missing"}
	}
	if t, is := unquote(raw); is {
		session.Write(t)
		return estimateTokens(t), 1, nil
	}
	list := jsonscan.Array(raw)
	numbers := 0 // elements that are tokens themselves: the list is one prompt
	for at, ok := list.Element(); ok; at, ok = list.Element() {
		element := at.Of(raw)
		if _, is := jsonscan.Int(element); is {
			numbers++
			continue
		}
		name, count, ok := countPrompt(element)
		if !ok {
			return 0, 0, invalid
		}
		if n == 0 {
			session.Write(name)
		}
		tokens += count
		if n++; n > maxInputs {
			return 0, 0, paramError{param, fmt.Sprintf("more than %d", maxInputs)}
		}
	}
	switch {
	case list.Err() != nil || numbers > 0 && n > 0:
		return 0, 0, invalid
	case numbers > 0:
		session.Write(raw)
		return numbers, 1, nil
	case n == 0:
		return 0, 0, paramError{param, "empty"}
	}
	return tokens, n, nil
}

// countPrompt counts the tokens of one prompt, a text or a list of tokens; name is what names
// its session. It is false for anything else.
func countPrompt(raw []byte) (name []byte, tokens int, ok bool) {
	if t, is := unquote(raw); is {
		return t, estimateTokens(t), true
	}
	list := jsonscan.Array(raw)
	for at, more := list.Element(); more; at, more = list.Element() {
		if _, is := jsonscan.Int(at.Of(raw)); !is {
			return nil, 0, false
		}
		tokens++
	}
	return raw, tokens, list.Err() == nil
}

// firstLine is the first line of a text, cut to what an error may quote of it.
func firstLine(s string) string {
	if at := bytes.IndexByte([]byte(s), '\n'); at >= 0 {
		s = s[:at]
	}
	const maxBytes = 120
	if len(s) <= maxBytes {
		return s
	}
	for s = s[:maxBytes]; len(s) > 0 && !utf8.ValidString(s); s = s[:len(s)-1] {
	}
	return s
}
