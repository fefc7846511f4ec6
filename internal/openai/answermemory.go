package openai

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/internal/core"
	"wellgw/internal/streambuffer"
)

// Expected sizes of answers, in bytes.
const (
	bytesPerToken       = 8
	bytesPerProbability = 128 // a token with its log probability and its bytes
	bytesPerEmbedding   = 32 << 10
	minExpectedAnswer   = 4 << 10
	memoryStep          = 16 << 10 // by which a reservation grows
)

// reservationWaitFraction is the part of a contract's deadline for which a request waits for the memory of
// its answer.
const reservationWaitFraction = 0.5

// expectedBytes returns how many bytes of the answer the encoder is expected to hold.
func (a *apiRequest) expectedBytes() int {
	if a.path == embeddingPath {
		return min(maxResponseBytes, minExpectedAnswer+a.inputs*bytesPerEmbedding)
	}
	perToken := bytesPerToken
	if a.logProbabilities > 0 {
		perToken += a.logProbabilities * bytesPerProbability
	}
	return min(maxResponseBytes, minExpectedAnswer+a.hints.maxOutputTokens*perToken)
}

// reserveMemory reserves the memory for an answer that is collected before it is sent. It waits if there is
// none, but not past a part of the contract's deadline.
func (c *call) reserveMemory() (err error) {
	if _, forwards := c.encoder.(*rewriter); forwards {
		return nil
	}
	wait := time.Duration(reservationWaitFraction * float64(c.contract.Deadline()))
	c.memory, err = c.answers.reserve(c.r.Context(), c.request.expectedBytes(), time.Until(c.arrived.Add(wait)))
	return err
}

// refuseForMemory answers a request for whose answer there is no memory. It has not been sent to an engine.
func (c *call) refuseForMemory(err error) {
	c.result = deduplication.Result{Refused: true}
	if !errors.Is(err, errAnswerMemory) {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	c.counts.answersRefused.Add(1)
	answerError(core.Answer{Verdict: core.Rejected, RetryAfter: retryAfterBusy}, false).send(c.w)
}

// growMemory extends the reservation to what the encoder holds. While it waits, the engine's stream is not
// read.
func (c *call) growMemory() error {
	held := c.encoder.heldBytes()
	if c.memory == nil || held == 0 {
		return nil
	}
	rounded := (held + memoryStep - 1) / memoryStep * memoryStep
	if err := c.memory.grow(c.r.Context(), rounded); err != nil {
		return fmt.Errorf("%w: %w", streambuffer.ErrClientDisconnected, err)
	}
	return nil
}
