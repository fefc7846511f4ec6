// Package openai implements the chat front, an HTTP handler that serves an OpenAI-compatible API from
// the core, and the dialect of engines that offer only that API.
//
// Front authenticates a request, reads its body and parses it. A call submits it to the core and
// writes the answer through an encoder: rewriter for streamed chats and completions, collector for
// chats and completions that are not streamed, passthrough for embeddings, responsesEncoder for the
// responses API.
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

// Limits and size estimates, in tokens unless stated otherwise. The sizes of parts other than text
// are estimates that the routing policy uses to weigh requests; they are not used for billing.
const (
	charsPerToken       = 4
	defaultOutputTokens = 512   // if the client sets no limit
	maxOutputTokens     = 16384 // cap on the client's limit for routing; a higher value means only that the client wants no limit
	messageTokens       = 4     // of a message's role and delimiters
	maxMessages         = 2048
	maxChoices          = 128
	maxInputs           = 2048 // prompts or inputs per call
	maxAlternatives     = 20   // log probabilities per token besides its own

	imageTokensLow     = 85
	imageTokensHigh    = 765
	audioBytesPerToken = 1600 // bytes of base64 text per token: 100 ms at 12 kB/s
	fileBytesPerToken  = 6    // bytes of base64 text per token
	unknownPartTokens  = 64
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// Paths of the API.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	embeddingPath  = "/v1/embeddings"
	responsePath   = "/v1/responses"
	modelPath      = "/v1/models"
)

// apiRequest holds the fields of an API request that the gateway reads. Other fields of the body are
// forwarded unchanged.
type apiRequest struct {
	path           string // of the request to an engine
	model          string
	stream         bool
	includeUsage   bool // the client requested the usage event
	choices        int
	inputs         int    // of an embedding request
	hasOutputLimit bool   // the client set a limit on output tokens
	body           []byte // as sent to engines
	hints          routingHints
	// logProbabilities is the number of log probabilities that the client wants for each token, with that
	// of the token itself.
	logProbabilities int
}

// routingHints are the properties of a request that the routing policy uses.
type routingHints struct {
	session, prefix                          string
	promptTokens, prefixLen, maxOutputTokens int
}

// parse parses a request. Except for embeddings, the request to an engine always asks for a stream
// with usage, even if the client's does not.
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

// parseEmbedding parses the fields specific to embeddings.
func (a *apiRequest) parseEmbedding(f *fields) error {
	if a.stream {
		return paramError{"stream", "embeddings are not streamed"}
	}
	tokens, inputs, err := countPrompts(f.get("input"), "input", io.Discard)
	if err != nil {
		return err
	}
	a.inputs = inputs
	a.hints = routingHints{promptTokens: tokens, maxOutputTokens: 1}
	a.body = f.replace(nil)
	return nil
}

// parseGeneration parses the fields specific to chats and completions.
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
		a.hints.promptTokens = tokens
		a.choices *= n
	} else if err := a.parseMessages(f, session); err != nil {
		return err
	}
	a.hints.maxOutputTokens = min(limit*a.choices, maxOutputTokens)
	a.logProbabilities = logProbabilities(f)
	a.hints.session = hex.EncodeToString(session.Sum(nil)[:8])
	options, err := streamOptions(f, a)
	if err != nil {
		return err
	}
	a.body = f.replace(map[string][]byte{"stream": []byte("true"), "stream_options": options}, "stream", "stream_options")
	return nil
}

// continuation returns the request by which another engine continues an answer, given its text and
// number of tokens so far. It uses an option of engines with a chat template: the engine continues
// the last message, which is the assistant's, instead of answering it.
func (a *apiRequest) continuation(text []byte, tokens int) (*apiRequest, error) {
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
	messages = append(append(messages, quote(string(text))...), "}]"...)
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
	next.hints.promptTokens += estimateTokens(text) + messageTokens
	next.hints.maxOutputTokens = max(1, a.hints.maxOutputTokens-tokens)
	return &next, nil
}

// firstError returns the first of several joined errors.
func firstError(err error) error {
	if j, is := err.(interface{ Unwrap() []error }); is {
		return j.Unwrap()[0]
	}
	return err
}

// streamOptions returns the stream options for engines: the client's, with include_usage set.
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

// logProbabilities returns the number of log probabilities for each token. Chats have a flag and a number,
// completions a number. Values that engines reject count as none.
func logProbabilities(f *fields) int {
	logprobs := f.get("logprobs")
	alternatives, is := jsonscan.Int(logprobs)
	if !is && string(logprobs) != "true" {
		return 0
	}
	if !is {
		alternatives, _ = jsonscan.Int(f.get("top_logprobs"))
	}
	return 1 + min(alternatives, maxAlternatives)
}

// outputLimit returns the limit on the length of one choice, in tokens.
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
