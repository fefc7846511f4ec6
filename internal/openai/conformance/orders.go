package conformance

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// order is an order under a key that no other run has used.
func (s *suite) order(text string) (openai.ChatCompletionNewParams, option.RequestOption) {
	p := s.params(text)
	p.Model = s.OrderModel
	return p, option.WithHeader("Idempotency-Key", fmt.Sprintf("conformance-%d-%s", time.Now().UnixNano(), text))
}

func (s *suite) replay(ctx context.Context) error {
	p, key := s.order("replay")
	first, err := s.client.Chat.Completions.New(ctx, p, key)
	if err != nil {
		return err
	}
	var resp *http.Response
	again, err := s.client.Chat.Completions.New(ctx, p, key, option.WithResponseInto(&resp))
	if err != nil {
		return err
	}
	return want(again.RawJSON() == first.RawJSON() && resp.Header.Get("Idempotent-Replayed") == "true", "%s, then %s", first.RawJSON(), again.RawJSON())
}

func (s *suite) replayStreamed(ctx context.Context) error {
	p, key := s.order("replay a stream")
	first, err := s.collect(ctx, p, nil, key)
	if err != nil {
		return err
	}
	again, err := s.collect(ctx, p, nil, key)
	if err != nil {
		return err
	}
	return want(first.ID == again.ID && len(again.Choices) == 1 && first.Choices[0].Message.Content == again.Choices[0].Message.Content, "%s, then %s", first.ID, again.ID)
}

func (s *suite) reused(ctx context.Context) error {
	p, key := s.order("reuse")
	if _, err := s.client.Chat.Completions.New(ctx, p, key); err != nil {
		return err
	}
	p.Messages[1] = openai.UserMessage("something else")
	_, err := s.client.Chat.Completions.New(ctx, p, key)
	return fails(err, http.StatusUnprocessableEntity, "idempotency_key_reused")
}

func (s *suite) another(ctx context.Context) error {
	p, key := s.order("another")
	first, err := s.client.Chat.Completions.New(ctx, p, key)
	if err != nil {
		return err
	}
	_, key = s.order("another")
	second, err := s.client.Chat.Completions.New(ctx, p, key)
	if err != nil {
		return err
	}
	return want(first.ID != second.ID, "both are %s", first.ID)
}
