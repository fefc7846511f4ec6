// Package openai is the chat front: an OpenAI-style API before the core, and the dialect
// of engines that offer nothing else.
package openai

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/jsonscan"
)

// Lengths in the API's terms. What a part that is no text takes is an estimate: the module
// weighs requests by it, nobody is billed by it.
const (
	charsPerToken       = 4
	defaultOutputTokens = 512   // tokens, when the caller sets no limit
	maxOutputTokens     = 16384 // that a limit is believed; a higher one says only that there is none
	messageTokens       = 4     // what a message's frame takes
	maxMessages         = 2048
	maxChoices          = 128
	maxInputs           = 2048 // of an embeddings call

	imageTokensLow     = 85
	imageTokensHigh    = 765
	audioBytesPerToken = 1600 // of base64 text, a token: 100 ms at 12 kB/s
	fileBytesPerToken  = 6    // of base64 text, a token
	unknownPartTokens  = 64
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// The paths of the API.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	embeddingPath  = "/v1/embeddings"
	responsePath   = "/v1/responses"
	modelPath      = "/v1/models"
)

// apiRequest is one call of the API, as far as the gateway reads it; the rest passes.
type apiRequest struct {
	path           string // engines are called by
	model          string
	stream         bool
	includeUsage   bool // the client wants to see it in the stream
	choices        int
	hasOutputLimit bool   // the client has said how long an answer may be
	body           []byte // as engines get it
	shape          shape
}

// shape is what the module is told of a conversation.
type shape struct {
	session, prefix                          string
	promptTokens, prefixLen, maxOutputTokens int
}

// parse reads a call. Engines get it always streamed and with its usage, whatever the
// client wants to see of that; embeddings alone come whole.
func parse(path string, data []byte, team string) (*apiRequest, error) {
	f, err := readFields(data)
	if err != nil {
		return nil, err
	}
	a := &apiRequest{path: path, choices: 1}
	if err := f.decode("model", &a.model); err != nil {
		return nil, err
	}
	if a.model == "" {
		return nil, paramError{"model", "missing"}
	}
	user := ""
	if err := errors.Join(f.decode("stream", &a.stream), f.decode("user", &user), f.decode("n", &a.choices)); err != nil {
		return nil, firstError(err)
	}
	if a.choices < 1 || a.choices > maxChoices {
		return nil, paramError{"n", fmt.Sprintf("must be from 1 to %d", maxChoices)}
	}
	if path == embeddingPath {
		err = a.parseEmbedding(f)
	} else {
		session := sha256.New()
		fmt.Fprintf(session, "%q %q %q", team, a.model, user)
		err = a.parseGeneration(f, session)
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// parseEmbedding reads what is an embeddings call's own.
func (a *apiRequest) parseEmbedding(f *fields) error {
	if a.stream {
		return paramError{"stream", "embeddings are not streamed"}
	}
	tokens, _, err := countPrompts(f.get("input"), "input", io.Discard)
	if err != nil {
		return err
	}
	a.shape = shape{promptTokens: tokens, maxOutputTokens: 1}
	a.body = f.replace(nil)
	return nil
}

// parseGeneration reads what chats and completions have beside the fields of every call.
func (a *apiRequest) parseGeneration(f *fields, session hash.Hash) error {
	limit, err := outputLimit(f, a)
	if err != nil {
		return err
	}
	if a.path == completionPath {
		tokens, n, err := countPrompts(f.get("prompt"), "prompt", session)
		if err != nil {
			return err
		}
		a.shape.promptTokens = tokens
		a.choices *= n
	} else if err := a.parseMessages(f, session); err != nil {
		return err
	}
	a.shape.maxOutputTokens = min(limit*a.choices, maxOutputTokens)
	a.shape.session = hex.EncodeToString(session.Sum(nil)[:8])
	options, err := streamOptions(f, a)
	if err != nil {
		return err
	}
	a.body = f.replace(map[string][]byte{"stream": []byte("true"), "stream_options": options}, "stream", "stream_options")
	return nil
}

// continuation is the call that has an engine go on from an answer's text so far, in the way that
// engines with a chat template offer: the last message is the assistant's own, and is
// continued instead of answered.
func (a *apiRequest) continuation(said []byte, tokens int) (*apiRequest, error) {
	f, err := readFields(a.body)
	if err != nil {
		return nil, err
	}
	list := f.get("messages")
	if len(list) < 2 {
		return nil, errNotObject
	}
	messages := append([]byte(nil), list[:len(list)-1]...)
	messages = append(messages, `,{"role":"assistant","content":`...)
	messages = append(append(messages, quote(string(said))...), "}]"...)
	set := map[string][]byte{"messages": messages, "continue_final_message": []byte("true"), "add_generation_prompt": []byte("false")}
	order := []string{"messages", "continue_final_message", "add_generation_prompt"}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if limit, is := jsonscan.Int(f.get(name)); is {
			set[name] = strconv.AppendInt(nil, int64(max(1, limit-tokens)), 10)
			order = append(order, name)
		}
	}
	next := *a
	next.body = f.replace(set, order...)
	next.shape.promptTokens += estimateTokens(said) + messageTokens
	next.shape.maxOutputTokens = max(1, a.shape.maxOutputTokens-tokens)
	return &next, nil
}

// firstError is the first of joined errors.
func firstError(err error) error {
	if j, is := err.(interface{ Unwrap() []error }); is {
		return j.Unwrap()[0]
	}
	return err
}

// streamOptions returns the stream options that engines get: the client's, and the usage.
func streamOptions(f *fields, a *apiRequest) ([]byte, error) {
	const usage = `{"include_usage":true}`
	raw := f.get("stream_options")
	if raw == nil {
		return []byte(usage), nil
	}
	o, err := readFields(raw)
	if err == nil {
		err = o.decode("include_usage", &a.includeUsage)
	}
	if err != nil {
		return nil, paramError{"stream_options", "has the wrong type"}
	}
	return o.replace(map[string][]byte{"include_usage": []byte("true")}, "include_usage"), nil
}

// outputLimit returns the most tokens of one choice.
func outputLimit(f *fields, a *apiRequest) (int, error) {
	limit := defaultOutputTokens
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		value := 1.0
		if err := f.decode(name, &value); err != nil {
			return 0, err
		}
		if f.get(name) == nil {
			continue
		}
		if value < 1 {
			return 0, paramError{name, "must be at least 1"}
		}
		a.hasOutputLimit = true
		limit = int(min(value, maxOutputTokens))
	}
	return limit, nil
}
