// Package fetch reads JSON documents over HTTP. It sets no timeout and does not retry: the caller's context
// limits the duration of a call.
package fetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	jsoniter "github.com/json-iterator/go"
)

// ErrTooLong is the error for a document over the size limit.
var ErrTooLong = errors.New("the document is too long")

// StatusError is a response status other than 200.
type StatusError struct{ Code int }

func (e StatusError) Error() string { return fmt.Sprintf("status %d", e.Code) }

// JSON reads the document at url, of at most limit bytes, into v.
func JSON(ctx context.Context, client *http.Client, url string, limit int64, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StatusError{resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return ErrTooLong
	}
	return jsoniter.Unmarshal(body, v)
}
