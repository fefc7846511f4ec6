package conformance

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// checkError checks an error's status and code; an empty code matches any.
func checkError(err error, status int, code string) error {
	var e *openai.Error
	if !errors.As(err, &e) {
		return fmt.Errorf("not an error of the API: %w", err)
	}
	return want(e.StatusCode == status && (code == "" || e.Code == code), "status %d, code %q, want %d, %q", e.StatusCode, e.Code, status, code)
}

func (s *suite) wrongKey(ctx context.Context) error {
	_, err := s.client.Chat.Completions.New(ctx, s.params("x"), option.WithAPIKey("wrong"))
	return checkError(err, http.StatusUnauthorized, "invalid_api_key")
}

func (s *suite) unknownModel(ctx context.Context) error {
	p := s.params("x")
	p.Model = "no-such-model"
	_, err := s.client.Chat.Completions.New(ctx, p)
	return checkError(err, http.StatusNotFound, "model_not_found")
}

func (s *suite) invalidField(ctx context.Context) error {
	p := s.params("x")
	p.Messages = nil
	_, err := s.client.Chat.Completions.New(ctx, p, option.WithJSONSet("messages", "none"))
	var e *openai.Error
	if errors.As(err, &e) && e.Param != "messages" {
		return fmt.Errorf("param %q, want \"messages\"", e.Param)
	}
	return checkError(err, http.StatusBadRequest, "invalid_parameter")
}

func (s *suite) unknownPath(ctx context.Context) error {
	return checkError(s.client.Post(ctx, "no/such/path", map[string]any{}, nil), http.StatusNotFound, "unknown_url")
}

func (s *suite) requestID(ctx context.Context) error {
	var resp *http.Response
	_, err := s.client.Chat.Completions.New(ctx, s.params("x"), option.WithResponseInto(&resp))
	if err != nil {
		return err
	}
	return want(resp.Header.Get("X-Request-Id") != "", "no X-Request-Id header")
}
