// Package conformance tests a server of the chat API at any base URL by the official Go client
// library. It tests the published API and what the gateway promises beyond that (idempotency
// keys, error codes, contracts in the list of models), whatever the text of a model's answers.
package conformance

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// Options say what is tested.
type Options struct {
	BaseURL         string // up to and without /v1
	Key             string
	Model           string // under a free contract
	OrderModel      string // under a contract that must not run twice; "" skips its cases
	RefusalPrompt   string // a prompt that the engine refuses; "" skips its cases
	ReasoningPrompt string // a prompt that the engine reasons about; "" skips its cases
}

// Faults of answers that have no error of the library's own.
var (
	errChunk      = errors.New("the library can't add a chunk")
	errNoToolCall = errors.New("no tool call")
)

// Result is the outcome of one case.
type Result struct {
	Name     string
	Passed   bool
	Detail   string // of a failure, or why it was skipped
	Duration time.Duration
}

const caseWait = 15 * time.Second

type suite struct {
	Options
	client openai.Client
}

type testCase struct {
	name string
	skip bool
	run  func(context.Context) error
}

// Run plays all cases, one after the other.
func Run(ctx context.Context, o Options) []Result {
	s := &suite{Options: o, client: openai.NewClient(
		option.WithBaseURL(strings.TrimRight(o.BaseURL, "/")+"/v1/"), option.WithAPIKey(o.Key), option.WithMaxRetries(0),
	)}
	var out []Result
	for _, c := range s.cases() {
		if c.skip {
			continue
		}
		begun := time.Now()
		one, cancel := context.WithTimeout(ctx, caseWait)
		err := c.run(one)
		cancel()
		r := Result{Name: c.name, Passed: err == nil, Duration: time.Since(begun)}
		if err != nil {
			r.Detail = err.Error()
		}
		out = append(out, r)
	}
	return out
}

func (s *suite) cases() []testCase {
	order, refuse, think := s.OrderModel == "", s.RefusalPrompt == "", s.ReasoningPrompt == ""
	return []testCase{
		{"chat: an answer in one piece", false, s.notStreamed},
		{"chat: a stream adds up to an answer", false, s.streamed},
		{"chat: id and model are the same in all events", false, s.oneID},
		{"chat: usage in a stream, if asked for", false, s.usage},
		{"chat: no usage event, if not asked for", false, s.noUsage},
		{"chat: n choices in one piece", false, s.choices},
		{"chat: n choices in a stream", false, s.choicesStreamed},
		{"chat: tools in one piece", false, s.tools},
		{"chat: parallel tool calls in a stream", false, s.toolsStreamed},
		{"chat: a tool's result goes back", false, s.toolResult},
		{"chat: response_format", false, s.format},
		{"chat: logprobs in one piece", false, s.logprobs},
		{"chat: logprobs in a stream", false, s.logprobsStreamed},
		{"chat: seed, stop, temperature and unknown fields pass", false, s.fields},
		{"chat: image and audio parts pass", false, s.parts},
		{"chat: max_completion_tokens ends an answer by length", false, s.length},
		{"chat: a refusal", refuse, s.refusal},
		{"chat: reasoning text", think, s.reasoning},
		{"completions: in one piece", false, s.completion},
		{"completions: a stream", false, s.completionStreamed},
		{"embeddings: one and several", false, s.embeddings},
		{"responses: in one piece", false, s.response},
		{"responses: typed events in order", false, s.responseStreamed},
		{"responses: function calls", false, s.responseTools},
		{"models: list and one", false, s.models},
		{"errors: a wrong key is 401", false, s.wrongKey},
		{"errors: an unknown model is 404", false, s.unknownModel},
		{"errors: a bad field is 400 and named", false, s.invalidField},
		{"errors: an unknown path is 404", false, s.unknownPath},
		{"headers: X-Request-Id", false, s.requestID},
		{"keys: a repeat is replayed", order, s.replay},
		{"keys: a repeated stream is replayed", order, s.replayStreamed},
		{"keys: another body is 422", order, s.reused},
		{"keys: the same text under another key is another order", order, s.another},
	}
}

func (s *suite) params(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: s.Model, MaxCompletionTokens: openai.Int(6),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You know parts of hulls."), openai.UserMessage(text)},
	}
}

// collect reads a stream with the library's own accumulator.
func (s *suite) collect(ctx context.Context, p openai.ChatCompletionNewParams, each func(openai.ChatCompletionChunk) error, opts ...option.RequestOption) (openai.ChatCompletionAccumulator, error) {
	var acc openai.ChatCompletionAccumulator
	stream := s.client.Chat.Completions.NewStreaming(ctx, p, opts...)
	defer stream.Close()
	for stream.Next() {
		c := stream.Current()
		if !acc.AddChunk(c) {
			return acc, errChunk
		}
		if each != nil {
			if err := each(c); err != nil {
				return acc, err
			}
		}
	}
	return acc, stream.Err()
}

func want(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}
