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

// Errors of a message's content. paramError adds the name of the message's field.
var (
	errPartNotObject = errors.New("a part of the content is no object")
	errPartType      = errors.New("a part's type is no string")
	errPartText      = errors.New("a part's text is no string")
	errContentType   = errors.New("content is neither a string nor a list of parts")
)

// sizeInTokens estimates the number of tokens in n bytes or characters.
func sizeInTokens(n int) int { return (n + charsPerToken - 1) / charsPerToken }

// message is the part of a conversation's message that the gateway uses.
type message struct {
	role   string
	text   []byte
	tokens int // estimate for its text, other parts, tool calls, role and delimiters
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

// parseMessages derives the routing hints of a conversation. All its turns start with the same
// messages up to the first one by the user, so the hash of these identifies the session. If there is
// more than one message, the first one, unless it is the user's, is the prefix that other
// conversations may share.
func (a *apiRequest) parseMessages(f *fields, session hash.Hash) error {
	list := f.get("messages")
	elements := jsonscan.Array(list)
	sessionHashed, n := false, 0
	var prefix []byte
	for at, ok := elements.Element(); ok; at, ok = elements.Element() {
		m, err := parseMessage(at.Of(list), fmt.Sprintf("messages[%d]", n))
		if err != nil {
			return err
		}
		a.hints.promptTokens += m.tokens
		if n == 0 && m.role != "user" {
			prefix, a.hints.prefixLen = m.text, m.tokens
		}
		if !sessionHashed {
			sessionHashed = m.role == "user"
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
		a.hints.prefix = hex.EncodeToString(sum.Sum(nil)[:8])
	} else {
		a.hints.prefixLen = 0
	}
	for _, name := range []string{"tools", "functions", "response_format"} {
		a.hints.promptTokens += sizeInTokens(len(f.get(name)))
	}
	return nil
}

// unquote returns a JSON string's text, false if raw is not a string. A string without escapes is not
// copied.
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

// estimateTokens estimates the number of tokens in a text from its number of characters.
func estimateTokens(text []byte) int {
	return sizeInTokens(utf8.RuneCount(text))
}

// parseContent returns a message's text and the estimated tokens of all its parts.
func parseContent(raw []byte) (all []byte, tokens int, err error) {
	if raw == nil { // a message with tool calls has no content
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

// parsePart returns the text of one part of a message's content or, if the part is not a text, its
// estimated tokens.
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

// countPrompts counts the prompts and estimates their tokens in a text or in a list of texts, tokens
// or lists of tokens. It writes the first prompt to session, whose hash identifies the session.
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
	numbers := 0 // elements that are tokens; a list of tokens is one prompt
	for at, ok := list.Element(); ok; at, ok = list.Element() {
		element := at.Of(raw)
		if _, is := jsonscan.Int(element); is {
			numbers++
			continue
		}
		sessionText, count, ok := countPrompt(element)
		if !ok {
			return 0, 0, invalid
		}
		if n == 0 {
			session.Write(sessionText)
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

// countPrompt estimates the tokens of one prompt, a text or a list of tokens. It returns the bytes
// that identify its session, and false for any other type of value.
func countPrompt(raw []byte) (sessionText []byte, tokens int, ok bool) {
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

// firstLine returns the first line of a text, truncated to 120 bytes for quotation in errors.
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
