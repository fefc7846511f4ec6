package conformance

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/shared"
)

func (s *suite) notStreamed(ctx context.Context) error {
	r, err := s.client.Chat.Completions.New(ctx, s.params("a hull fitting"))
	if err != nil {
		return err
	}
	ok := len(r.Choices) == 1 && r.Choices[0].Message.Content != "" && r.Choices[0].FinishReason != "" && string(r.Choices[0].Message.Role) == "assistant" &&
		r.Model == s.Model && string(r.Object) == "chat.completion" && r.Created > 0 && r.Usage.CompletionTokens > 0
	return want(ok, "%s", r.RawJSON())
}

func (s *suite) streamed(ctx context.Context) error {
	acc, err := s.collect(ctx, s.params("a hull fitting"), nil)
	if err != nil {
		return err
	}
	return want(len(acc.Choices) == 1 && acc.Choices[0].Message.Content != "" && acc.Choices[0].FinishReason != "", "%+v", acc.Choices)
}

func (s *suite) oneID(ctx context.Context) error {
	ids, models, objects := map[string]bool{}, map[string]bool{}, map[string]bool{}
	_, err := s.collect(ctx, s.params("a hull fitting"), func(c openai.ChatCompletionChunk) error {
		ids[c.ID], models[c.Model], objects[string(c.Object)] = true, true, true
		return nil
	})
	if err != nil {
		return err
	}
	return want(len(ids) == 1 && !ids[""] && len(models) == 1 && models[s.Model] && len(objects) == 1 && objects["chat.completion.chunk"], "ids %v, models %v, objects %v", ids, models, objects)
}

func (s *suite) usage(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	last, events := 0, 0
	_, err := s.collect(ctx, p, func(c openai.ChatCompletionChunk) error {
		if events++; c.Usage.CompletionTokens > 0 {
			last = events
		}
		return nil
	})
	if err != nil {
		return err
	}
	return want(last > 0 && last == events, "usage in event %d of %d", last, events)
}

func (s *suite) noUsage(ctx context.Context) error {
	_, err := s.collect(ctx, s.params("a hull fitting"), func(c openai.ChatCompletionChunk) error {
		return want(len(c.Choices) > 0 && c.Usage.TotalTokens == 0, "an event of usage: %s", c.RawJSON())
	})
	return err
}

func (s *suite) choices(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.N = openai.Int(3)
	r, err := s.client.Chat.Completions.New(ctx, p)
	if err != nil {
		return err
	}
	for i, c := range r.Choices {
		if int(c.Index) != i || c.Message.Content == "" || c.FinishReason == "" {
			return fmt.Errorf("choice %d: %s", i, c.RawJSON())
		}
	}
	return want(len(r.Choices) == 3, "%d choices", len(r.Choices))
}

func (s *suite) choicesStreamed(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.N = openai.Int(3)
	acc, err := s.collect(ctx, p, nil)
	if err != nil {
		return err
	}
	for i, c := range acc.Choices {
		if c.Message.Content == "" || c.FinishReason == "" {
			return fmt.Errorf("choice %d: %+v", i, c)
		}
	}
	return want(len(acc.Choices) == 3, "%d choices", len(acc.Choices))
}

func (s *suite) withTools() openai.ChatCompletionNewParams {
	p := s.params("look up two fittings")
	for _, name := range []string{"look_up", "price"} {
		p.Tools = append(p.Tools, openai.ChatCompletionFunctionTool(shared.FunctionDefinitionParam{
			Name: name, Parameters: shared.FunctionParameters{"type": "object", "properties": map[string]any{"part": map[string]any{"type": "string"}}},
		}))
	}
	p.ToolChoice = openai.ChatCompletionToolChoiceOptionUnionParam{OfAuto: openai.String("required")}
	p.MaxCompletionTokens = openai.Int(200)
	return p
}

func checkCalls(calls []openai.ChatCompletionMessageToolCallUnion) error {
	if len(calls) == 0 {
		return errNoToolCall
	}
	for i, c := range calls {
		if c.ID == "" || c.Function.Name == "" || !strings.HasPrefix(c.Function.Arguments, "{") || !strings.HasSuffix(c.Function.Arguments, "}") {
			return fmt.Errorf("call %d: %+v", i, c)
		}
	}
	return nil
}

func (s *suite) tools(ctx context.Context) error {
	r, err := s.client.Chat.Completions.New(ctx, s.withTools())
	if err != nil {
		return err
	}
	if len(r.Choices) != 1 || r.Choices[0].FinishReason != "tool_calls" {
		return fmt.Errorf("%s", r.RawJSON())
	}
	return checkCalls(r.Choices[0].Message.ToolCalls)
}

func (s *suite) toolsStreamed(ctx context.Context) error {
	acc, err := s.collect(ctx, s.withTools(), nil)
	if err != nil {
		return err
	}
	if len(acc.Choices) != 1 {
		return fmt.Errorf("%d choices", len(acc.Choices))
	}
	return checkCalls(acc.Choices[0].Message.ToolCalls)
}

func (s *suite) toolResult(ctx context.Context) error {
	p := s.params("look it up")
	p.Messages = append(p.Messages, openai.ChatCompletionMessageParamUnion{OfAssistant: &openai.ChatCompletionAssistantMessageParam{
		ToolCalls: []openai.ChatCompletionMessageToolCallUnionParam{{OfFunction: &openai.ChatCompletionMessageFunctionToolCallParam{
			ID: "call_1", Function: openai.ChatCompletionMessageFunctionToolCallFunctionParam{Name: "look_up", Arguments: "{}"},
		}}},
	}}, openai.ToolMessage("three on stock", "call_1"))
	r, err := s.client.Chat.Completions.New(ctx, p)
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && r.Choices[0].Message.Content != "", "%s", r.RawJSON())
}

func (s *suite) format(ctx context.Context) error {
	p := s.params("answer in JSON")
	p.ResponseFormat = openai.ChatCompletionNewParamsResponseFormatUnion{OfJSONObject: &shared.ResponseFormatJSONObjectParam{}}
	r, err := s.client.Chat.Completions.New(ctx, p)
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && strings.HasPrefix(strings.TrimSpace(r.Choices[0].Message.Content), "{"), "%s", r.RawJSON())
}

func (s *suite) logprobs(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.Logprobs = openai.Bool(true)
	r, err := s.client.Chat.Completions.New(ctx, p)
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && int64(len(r.Choices[0].Logprobs.Content)) == r.Usage.CompletionTokens, "%s", r.RawJSON())
}

func (s *suite) logprobsStreamed(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.Logprobs = openai.Bool(true)
	n := 0
	_, err := s.collect(ctx, p, func(c openai.ChatCompletionChunk) error {
		for _, x := range c.Choices {
			n += len(x.Logprobs.Content)
		}
		return nil
	})
	return errors.Join(err, want(n > 0, "no logprobs"))
}

// oneChoice asks for a chat that must have one choice.
func (s *suite) oneChoice(ctx context.Context, p openai.ChatCompletionNewParams) error {
	r, err := s.client.Chat.Completions.New(ctx, p)
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1, "%s", r.RawJSON())
}

func (s *suite) fields(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.Seed, p.Temperature, p.TopP = openai.Int(7), openai.Float(0.5), openai.Float(0.9)
	p.Stop = openai.ChatCompletionNewParamsStopUnion{OfStringArray: []string{"never", "ever"}}
	p.SetExtraFields(map[string]any{"top_k": 20, "unknown_to_all": map[string]any{"a": []int{1}}})
	return s.oneChoice(ctx, p)
}

func (s *suite) parts(ctx context.Context) error {
	p := s.params("")
	p.Messages[1] = openai.UserMessage([]openai.ChatCompletionContentPartUnionParam{
		openai.TextContentPart("which fitting is this, and what is said?"),
		openai.ImageContentPart(openai.ChatCompletionContentPartImageImageURLParam{URL: "data:image/png;base64,iVBORw0KGgo=", Detail: "low"}),
		openai.InputAudioContentPart(openai.ChatCompletionContentPartInputAudioInputAudioParam{Data: "UklGRg==", Format: "wav"}),
	})
	return s.oneChoice(ctx, p)
}

func (s *suite) length(ctx context.Context) error {
	p := s.params("a hull fitting")
	p.MaxCompletionTokens = openai.Int(2)
	r, err := s.client.Chat.Completions.New(ctx, p)
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && r.Choices[0].FinishReason == "length", "%s", r.RawJSON())
}

func (s *suite) refusal(ctx context.Context) error {
	r, err := s.client.Chat.Completions.New(ctx, s.params(s.RefusalPrompt))
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && r.Choices[0].Message.Refusal != "" && r.Choices[0].Message.Content == "", "%s", r.RawJSON())
}

func (s *suite) reasoning(ctx context.Context) error {
	r, err := s.client.Chat.Completions.New(ctx, s.params(s.ReasoningPrompt))
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && strings.Contains(r.Choices[0].Message.RawJSON(), `"reasoning_content":"let me see"`), "%s", r.RawJSON())
}
