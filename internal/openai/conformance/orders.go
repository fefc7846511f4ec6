package conformance

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// order returns the parameters of an order and an option with an idempotency key that is unique to
// this call.
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
	second, err := s.client.Chat.Completions.New(ctx, p, key, option.WithResponseInto(&resp))
	if err != nil {
		return err
	}
	return want(second.RawJSON() == first.RawJSON() && resp.Header.Get("Idempotent-Replayed") == "true", "first answer %s, second answer %s", first.RawJSON(), second.RawJSON())
}

func (s *suite) replayStreamed(ctx context.Context) error {
	p, key := s.order("replay a stream")
	first, err := s.collect(ctx, p, nil, key)
	if err != nil {
		return err
	}
	second, err := s.collect(ctx, p, nil, key)
	if err != nil {
		return err
	}
	return want(first.ID == second.ID && len(second.Choices) == 1 && first.Choices[0].Message.Content == second.Choices[0].Message.Content, "id of the first answer %s, of the second %s", first.ID, second.ID)
}

func (s *suite) keyReused(ctx context.Context) error {
	p, key := s.order("reuse")
	if _, err := s.client.Chat.Completions.New(ctx, p, key); err != nil {
		return err
	}
	p.Messages[1] = openai.UserMessage("something else")
	_, err := s.client.Chat.Completions.New(ctx, p, key)
	return checkError(err, http.StatusUnprocessableEntity, "idempotency_key_reused")
}

func (s *suite) otherKey(ctx context.Context) error {
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
	return want(first.ID != second.ID, "both answers have the id %s", first.ID)
}
