package openai

import (
	"wellgw/decide/resume"
)

// encoder converts an engine's stream to the client's answer. It is not safe for concurrent use.
type encoder interface {
	contentType() string
	// translate appends to dst the output for p, the next bytes of the engine's stream.
	translate(dst, p []byte) ([]byte, error)
	// finish appends the output for the end of the stream. It returns an error if the answer is
	// truncated.
	finish(dst []byte) ([]byte, error)
	// progress returns the parts of the answer received and sent so far.
	progress() *resume.Progress
	// complete reports whether translate has returned the entire answer before the end of the stream.
	complete() bool
	// heldBytes returns the approximate number of bytes of the answer that the encoder holds until its
	// end; 0 if it holds none.
	heldBytes() int
	// discardPartial drops the incomplete event at the end of a broken stream.
	discardPartial()
	// nextAttempt prepares for the stream of another engine, which continues the answer or, if
	// nothing has been sent to the client, restarts it.
	nextAttempt()
	// failure returns the output that ends an answer that broke after a part of it was sent.
	failure(apiError) []byte
}
