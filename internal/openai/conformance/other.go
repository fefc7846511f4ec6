package conformance

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/responses"
)

func (s *suite) completionParams() openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: openai.CompletionNewParamsModel(s.Model), MaxTokens: openai.Int(5),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a hull")},
	}
}

func (s *suite) completion(ctx context.Context) error {
	r, err := s.client.Completions.New(ctx, s.completionParams())
	if err != nil {
		return err
	}
	return want(len(r.Choices) == 1 && r.Choices[0].Text != "" && r.Choices[0].FinishReason != "" && string(r.Object) == "text_completion", "%s", r.RawJSON())
}

func (s *suite) completionStreamed(ctx context.Context) error {
	stream := s.client.Completions.NewStreaming(ctx, s.completionParams())
	defer stream.Close()
	text := ""
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text += c.Text
		}
	}
	return errors.Join(stream.Err(), want(text != "", "no text"))
}

func (s *suite) embeddings(ctx context.Context) error {
	for n, input := range []openai.EmbeddingNewParamsInputUnion{{OfString: openai.String("hull")}, {OfArrayOfStrings: []string{"hull", "keel"}}} {
		r, err := s.client.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: s.Model, Input: input})
		if err != nil {
			return err
		}
		if len(r.Data) != n+1 || len(r.Data[0].Embedding) == 0 || r.Model != s.Model {
			return fmt.Errorf("unexpected model or embeddings: %s", r.RawJSON())
		}
	}
	return nil
}

func (s *suite) responseParams() responses.ResponseNewParams {
	return responses.ResponseNewParams{
		Model: s.Model, Instructions: openai.String("be short"), MaxOutputTokens: openai.Int(6),
		Input: responses.ResponseNewParamsInputUnion{OfString: openai.String("a hull fitting")},
	}
}

func (s *suite) response(ctx context.Context) error {
	r, err := s.client.Responses.New(ctx, s.responseParams())
	if err != nil {
		return err
	}
	return want(r.OutputText() != "" && r.Model == s.Model && r.Status != "" && r.Usage.OutputTokens > 0, "%s", r.RawJSON())
}

func (s *suite) responseStreamed(ctx context.Context) error {
	stream := s.client.Responses.NewStreaming(ctx, s.responseParams())
	defer stream.Close()
	var kinds []string
	text, finalText, lastSequence := "", "", int64(-1)
	for stream.Next() {
		e := stream.Current()
		if e.SequenceNumber != lastSequence+1 {
			return fmt.Errorf("sequence number %d after %d", e.SequenceNumber, lastSequence)
		}
		lastSequence = e.SequenceNumber
		kinds = append(kinds, e.Type)
		switch e.Type {
		case "response.output_text.delta":
			text += e.Delta
		case "response.completed", "response.incomplete":
			finalText = e.Response.OutputText()
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return want(len(kinds) > 6 && kinds[0] == "response.created" && finalText != "" && finalText == text, "events %v, text of the deltas %q, of the final event %q", kinds, text, finalText)
}

func (s *suite) responseTools(ctx context.Context) error {
	p := s.responseParams()
	p.MaxOutputTokens = openai.Int(200)
	p.Tools = []responses.ToolUnionParam{{OfFunction: &responses.FunctionToolParam{
		Name: "look_up", Strict: openai.Bool(false), Parameters: map[string]any{"type": "object", "properties": map[string]any{}},
	}}}
	p.ToolChoice = responses.ResponseNewParamsToolChoiceUnion{OfToolChoiceMode: openai.Opt(responses.ToolChoiceOptionsRequired)}
	r, err := s.client.Responses.New(ctx, p)
	if err != nil {
		return err
	}
	for _, item := range r.Output {
		if item.Type == "function_call" {
			call := item.AsFunctionCall()
			return want(call.Name == "look_up" && call.CallID != "" && strings.HasSuffix(call.Arguments, "}"), "%s", r.RawJSON())
		}
	}
	return fmt.Errorf("no function call: %s", r.RawJSON())
}

func (s *suite) models(ctx context.Context) error {
	page, err := s.client.Models.List(ctx)
	if err != nil {
		return err
	}
	for _, m := range page.Data {
		if m.ID == s.Model {
			one, err := s.client.Models.Get(ctx, s.Model)
			if err != nil {
				return err
			}
			return want(one.ID == s.Model && strings.Contains(one.RawJSON(), `"contract":{`), "%s", one.RawJSON())
		}
	}
	return fmt.Errorf("%s is not listed", s.Model)
}
