// Package openai is the chat front: an OpenAI-style chat API before the core, and
// the dialect of engines that offer nothing else.
package openai

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	jsoniter "github.com/json-iterator/go"
)

// Lengths in the API's terms.
const (
	charsPerToken = 4
	defaultOut    = 512   // tokens, when the caller sets no limit
	mostOut       = 16384 // that a limit is believed; a higher one says only that there is none
	messageTokens = 4     // what a message's frame takes
	maxMessages   = 2048
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// chatRequest is the part of a request that the gateway reads; the rest passes.
type chatRequest struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
	N                   *int   `json:"n"`
	User                string `json:"user"`
}

type message struct {
	Role    string              `json:"role"`
	Content jsoniter.RawMessage `json:"content"`
}

// text is a message's text: a string, or the text parts of a list.
func (m message) text() (string, error) {
	var s string
	if len(m.Content) == 0 || string(m.Content) == "null" { // an assistant's tool calls have none
		return "", nil
	}
	if codec.Unmarshal(m.Content, &s) == nil {
		return s, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := codec.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content is neither a string nor a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// paramError is a fault in a request's field.
type paramError struct{ param, problem string }

func (e paramError) Error() string { return e.param + ": " + e.problem }

// parseChat reads a request, and writes it anew as engines are to get it: always
// streamed and with its usage, whatever the caller wants to see of that.
func parseChat(body []byte) (chatRequest, []byte, error) {
	var q chatRequest
	var all map[string]jsoniter.RawMessage
	if err := codec.Unmarshal(body, &all); err != nil {
		return q, nil, errors.New("the body is not a JSON object")
	}
	if err := codec.Unmarshal(body, &q); err != nil {
		return q, nil, fmt.Errorf("a field has the wrong type: %s", firstLine(err.Error()))
	}
	switch {
	case q.Model == "":
		return q, nil, paramError{"model", "missing"}
	case len(q.Messages) == 0 || len(q.Messages) > maxMessages:
		return q, nil, paramError{"messages", "none, or too many"}
	case q.N != nil && *q.N != 1:
		return q, nil, paramError{"n", "only 1 is supported"}
	}
	for _, limit := range []struct {
		param string
		value *int
	}{{"max_tokens", q.MaxTokens}, {"max_completion_tokens", q.MaxCompletionTokens}} {
		if limit.value != nil && *limit.value < 1 {
			return q, nil, paramError{limit.param, "must be at least 1"}
		}
	}
	for i, m := range q.Messages {
		param := fmt.Sprintf("messages[%d]", i)
		if m.Role == "" {
			return q, nil, paramError{param, "role is missing"}
		}
		if _, err := m.text(); err != nil {
			return q, nil, paramError{param, err.Error()}
		}
	}
	all["stream"], all["stream_options"] = jsoniter.RawMessage("true"), jsoniter.RawMessage(`{"include_usage":true}`)
	out, err := codec.Marshal(all)
	if err != nil {
		return q, nil, fmt.Errorf("write the body anew: %w", err)
	}
	return q, out, nil
}

func firstLine(s string) string {
	s, _, _ = strings.Cut(s, "\n")
	if len(s) > 120 {
		s = s[:120]
	}
	return s
}

// shape is what the module is told of a conversation.
type shape struct {
	session, opening           string
	prompt, openingLen, maxOut int
}

// derive reads a conversation's shape from its messages. All its turns begin with
// the same messages up to the caller's first, so these name the session; the
// first message, if it is not all there is, is the opening that others share.
func (q *chatRequest) derive(team string) shape {
	s := shape{maxOut: defaultOut}
	if q.MaxTokens != nil {
		s.maxOut = *q.MaxTokens
	}
	if q.MaxCompletionTokens != nil {
		s.maxOut = *q.MaxCompletionTokens
	}
	s.maxOut = min(s.maxOut, mostOut)
	session := sha256.New()
	fmt.Fprintf(session, "%q %q %q", team, q.Model, q.User)
	begun := false
	for i, m := range q.Messages {
		text, _ := m.text() // parseChat has read it before
		tokens := (utf8.RuneCountInString(text)+charsPerToken-1)/charsPerToken + messageTokens
		s.prompt += tokens
		if i == 0 && len(q.Messages) > 1 && m.Role != "user" {
			sum := sha256.Sum256([]byte(q.Model + "\x00" + text))
			s.opening, s.openingLen = hex.EncodeToString(sum[:8]), tokens
		}
		if !begun {
			fmt.Fprintf(session, " %q %q", m.Role, text)
			begun = m.Role == "user"
		}
	}
	s.session = hex.EncodeToString(session.Sum(nil)[:8])
	return s
}
