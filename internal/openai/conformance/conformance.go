// Package conformance tests a server of the chat API at a given base URL with the official Go client
// library. It tests the published API and the gateway's extensions (idempotency keys, error codes,
// contracts in the list of models), independent of the text of a model's answers.
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

// Options select the server and the cases to run.
type Options struct {
	BaseURL         string // without the trailing /v1
	Key             string
	Model           string // under a free contract
	OrderModel      string // under a contract whose requests must not be executed twice; "" skips its cases
	RefusalPrompt   string // a prompt that the engine refuses; "" skips its cases
	ReasoningPrompt string // a prompt that the engine reasons about; "" skips its cases
}

// Errors in answers for which the library has no error.
var (
	errAccumulate = errors.New("client library failed to accumulate a chunk")
	errNoToolCall = errors.New("no tool call")
)

// Result is the outcome of one case.
type Result struct {
	Name     string
	Passed   bool
	Detail   string // the error of a failed case
	Duration time.Duration
}

const caseTimeout = 15 * time.Second

type suite struct {
	Options
	client openai.Client
}

type testCase struct {
	name string
	skip bool
	run  func(context.Context) error
}

// Run runs all cases that o does not skip, one after the other.
func Run(ctx context.Context, o Options) []Result {
	s := &suite{Options: o, client: openai.NewClient(
		option.WithBaseURL(strings.TrimRight(o.BaseURL, "/")+"/v1/"), option.WithAPIKey(o.Key), option.WithMaxRetries(0),
	)}
	var out []Result
	for _, c := range s.cases() {
		if c.skip {
			continue
		}
		start := time.Now()
		caseCtx, cancel := context.WithTimeout(ctx, caseTimeout)
		err := c.run(caseCtx)
		cancel()
		r := Result{Name: c.name, Passed: err == nil, Duration: time.Since(start)}
		if err != nil {
			r.Detail = err.Error()
		}
		out = append(out, r)
	}
	return out
}

func (s *suite) cases() []testCase {
	skipOrders, skipRefusal, skipReasoning := s.OrderModel == "", s.RefusalPrompt == "", s.ReasoningPrompt == ""
	return []testCase{
		{"chat: an answer that is not streamed", false, s.notStreamed},
		{"chat: a streamed answer is complete", false, s.streamed},
		{"chat: id and model are the same in all events", false, s.consistentIDs},
		{"chat: usage in a stream, if requested", false, s.usage},
		{"chat: no usage event, if not requested", false, s.noUsage},
		{"chat: n choices, not streamed", false, s.choices},
		{"chat: n choices, streamed", false, s.choicesStreamed},
		{"chat: tools, not streamed", false, s.tools},
		{"chat: parallel tool calls, streamed", false, s.toolsStreamed},
		{"chat: a tool's result as input", false, s.toolResult},
		{"chat: response_format", false, s.format},
		{"chat: logprobs, not streamed", false, s.logprobs},
		{"chat: logprobs, streamed", false, s.logprobsStreamed},
		{"chat: seed, stop, temperature and unknown fields are accepted", false, s.fields},
		{"chat: image and audio parts are accepted", false, s.parts},
		{"chat: max_completion_tokens ends an answer with finish reason length", false, s.length},
		{"chat: a refusal", skipRefusal, s.refusal},
		{"chat: reasoning text", skipReasoning, s.reasoning},
		{"completions: not streamed", false, s.completion},
		{"completions: streamed", false, s.completionStreamed},
		{"embeddings: one input and several inputs", false, s.embeddings},
		{"responses: not streamed", false, s.response},
		{"responses: typed events in order", false, s.responseStreamed},
		{"responses: function calls", false, s.responseTools},
		{"models: list and single model", false, s.models},
		{"errors: 401 for a wrong API key", false, s.wrongKey},
		{"errors: 404 for an unknown model", false, s.unknownModel},
		{"errors: 400 for an invalid field, with its name", false, s.invalidField},
		{"errors: 404 for an unknown path", false, s.unknownPath},
		{"headers: X-Request-Id", false, s.requestID},
		{"idempotency keys: a retried request gets the recorded answer", skipOrders, s.replay},
		{"idempotency keys: a retried stream gets the recorded answer", skipOrders, s.replayStreamed},
		{"idempotency keys: 422 for another body under the same key", skipOrders, s.keyReused},
		{"idempotency keys: the same body under another key is a new request", skipOrders, s.otherKey},
	}
}

func (s *suite) params(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: s.Model, MaxCompletionTokens: openai.Int(6),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You know parts of hulls."), openai.UserMessage(text)},
	}
}

// collect reads a stream with the library's accumulator and calls each, if not nil, for every chunk.
func (s *suite) collect(ctx context.Context, p openai.ChatCompletionNewParams, each func(openai.ChatCompletionChunk) error, opts ...option.RequestOption) (openai.ChatCompletionAccumulator, error) {
	var acc openai.ChatCompletionAccumulator
	stream := s.client.Chat.Completions.NewStreaming(ctx, p, opts...)
	defer stream.Close()
	for stream.Next() {
		c := stream.Current()
		if !acc.AddChunk(c) {
			return acc, errAccumulate
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
