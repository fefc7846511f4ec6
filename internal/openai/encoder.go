package openai

import (
	"wellgw/decide/resume"
)

// encoder turns an engine's stream into the answer that the client gets. It is used by one
// goroutine at a time.
type encoder interface {
	contentType() string
	// translate appends to dst what the client gets for p, the next bytes of the stream.
	translate(dst, p []byte) ([]byte, error)
	// finish does the same at the end of the stream. An error says that the answer is truncated.
	finish(dst []byte) ([]byte, error)
	// progress tells how far the answer has come.
	progress() *resume.Progress
	// complete tells whether translate has returned the whole answer, before the stream's end.
	complete() bool
	// discardPartial drops the incomplete event that a broken stream has left.
	discardPartial()
	// nextAttempt prepares for the stream of another engine, which continues the answer or, if
	// nothing has been sent to the client, begins it anew.
	nextAttempt()
	// failure returns what ends an answer that broke after a part of it was sent.
	failure(apiError) []byte
}
