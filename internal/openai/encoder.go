package openai

import (
	"wellgw/decide/resume"
)

// encoder is the way in which a client gets its answer.
type encoder interface {
	contentType() string // the content type
	// translate adds what the client gets, now that p has come of the stream, to dst.
	translate(dst, p []byte) ([]byte, error)
	// finish does the same once the stream has ended. An error says that the answer has not.
	finish(dst []byte) ([]byte, error)
	// progress is how far it has come.
	progress() *resume.Answer
	// complete tells whether take has returned the whole of it, before the stream's end.
	complete() bool
	// discardPartial forgets the part of an event that a break has left.
	discardPartial()
	// nextAttempt makes ready for another engine's stream, which goes on with the answer or, if the
	// client has been given nothing, begins it anew.
	nextAttempt()
	// failure is what ends an answer that has begun and broke.
	failure(apiError) []byte
}
