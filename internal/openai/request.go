// Package openai is the chat front: an HTTP handler for an OpenAI-style API in front of the core,
// and the dialect of engines that offer nothing but that API.
//
// Front authenticates a request and reads its body; a call parses it, submits it to the core and
// writes the answer by an encoder: rewriter for streams of chats and completions, collector for
// the same in one piece, passthrough for embeddings, responsesEncoder for the responses API.
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

// Limits and estimates of sizes, in tokens unless said otherwise. What a part other than text
// takes is an estimate, by which the routing policy weighs requests; nothing is billed by it.
const (
	charsPerToken       = 4
	defaultOutputTokens = 512   // if the client sets no limit
	maxOutputTokens     = 16384 // of a limit that is believed; a higher one says only that there is none
	messageTokens       = 4     // of a message's role and delimiters
	maxMessages         = 2048
	maxChoices          = 128
	maxInputs           = 2048 // prompts or inputs of one call

	imageTokensLow     = 85
	imageTokensHigh    = 765
	audioBytesPerToken = 1600 // bytes of base64 text a token: 100 ms at 12 kB/s
	fileBytesPerToken  = 6    // bytes of base64 text a token
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

// apiRequest is one call of the API, as far as the gateway reads it. The rest of its body passes
// unread.
type apiRequest struct {
	path           string // of the call to an engine
	model          string
	stream         bool
	includeUsage   bool // the client has asked for the event with the usage
	choices        int
	hasOutputLimit bool   // the client has limited the length of the answer
	body           []byte // as sent to engines
	shape          shape
}

// shape is what the routing policy knows of a conversation.
type shape struct {
	session, prefix                          string
	promptTokens, prefixLen, maxOutputTokens int
}

// parse reads a call. Engines are always asked for a stream with its usage, whatever the client
// has asked for; only embeddings are not streamed.
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

// parseEmbedding reads the fields that only embeddings have.
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

// parseGeneration reads the fields that chats and completions have beside those of every call.
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

// continuation returns the call by which another engine continues an answer whose text so far is
// said. It uses what engines with a chat template offer: the last message is the assistant's own,
// and is continued instead of answered.
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

// firstError returns the first of joined errors.
func firstError(err error) error {
	if j, is := err.(interface{ Unwrap() []error }); is {
		return j.Unwrap()[0]
	}
	return err
}

// streamOptions returns the stream options for engines: the client's, with the usage included.
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

// outputLimit returns the limit of one choice's length, in tokens.
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
