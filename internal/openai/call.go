package openai

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/decide/resume"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/streambuffer"
	"wellgw/routing"
)

// call is one request to a model, from its headers to the end of its answer. Only the handler's
// goroutine uses it.
type call struct {
	*Front
	w               http.ResponseWriter
	r               *http.Request
	controller      *http.ResponseController
	request         *apiRequest
	metadata        metadata
	contract        config.Contract
	team            *config.Team
	arrived         time.Time
	atMostOnce      bool // the request must not be executed twice
	encoder         encoder
	responseStarted bool               // the response headers or a part of the body have been sent
	deadlineSetAt   time.Time          // when the write deadline was last set
	resumptions     int                // number of times that the answer was continued at another engine
	memory          *answerReservation // for the part of the answer that the encoder holds; nil if it holds none

	key            deduplication.Key
	claimed        bool
	result         deduplication.Result
	recorded       []byte // the answer as sent, for replay under the idempotency key
	recordOverflow bool   // the answer exceeds the limit for recording
}

// submit passes a request to the core under the given id and waits for its answer; see
// core.SubmitAndWait. It returns false if the client disconnects before the answer arrives.
func (c *call) submit(a *apiRequest, id string) (core.Answer, *core.Ticket, bool) {
	request := core.Request{
		ClientRequestID: id, Arrived: time.Now(), ClientLeft: func() bool { return clientconn.Disconnected(c.r.Context()) },
		Payload: core.Payload{Method: http.MethodPost, Target: a.path, Body: a.body, Unary: a.path == embeddingPath, BufferUntilFirstToken: !c.atMostOnce},
	}
	if !request.Payload.Unary {
		request.Payload.EventTimeout = c.contract.Silence()
	}
	if id == c.metadata.id {
		request.Arrived = c.arrived
	}
	s := a.hints
	request.Request = routing.Request{
		Class: c.contract.Name, Tenant: c.team.Name, Session: s.session, Prefix: s.prefix, PrefixLen: s.prefixLen,
		PromptTokens: s.promptTokens, MaxTokens: s.maxOutputTokens, TTL: c.contract.Deadline(),
	}
	return core.SubmitAndWait(c.r.Context(), c.core, request)
}

// resumeElsewhere decides how to handle a broken answer: abort, finish, restart or continue it. It
// submits the request to another engine if the contract permits that.
func (c *call) resumeElsewhere(err error) (resume.Step, core.Stream, *core.Ticket) {
	var reported reportedError
	terms := resume.Terms{Repeatable: !c.atMostOnce, MaxContinuations: c.contract.Continue, Continuable: c.request.path == chatPath && c.request.choices == 1}
	if c.request.hasOutputLimit {
		terms.MaxTokens = c.request.hints.maxOutputTokens
	}
	step := resume.Decide(terms, c.encoder.progress(), resume.Interruption{
		ClientDisconnected: errors.Is(err, streambuffer.ErrClientDisconnected) || errors.Is(err, streambuffer.ErrSlowClient) || c.r.Context().Err() != nil,
		EngineError:        errors.As(err, &reported), Continuations: c.resumptions, Elapsed: time.Since(c.arrived),
	})
	c.counts.brokenAnswers[step].Add(1)
	a := c.request
	switch step {
	case resume.Abort, resume.Finish:
		return step, nil, nil
	case resume.Continue:
		if a, err = c.request.continuation(c.encoder.progress().Text()); err != nil {
			return resume.Abort, nil, nil
		}
	}
	c.resumptions++
	answer, ticket, answered := c.submit(a, c.metadata.id+"-"+strconv.Itoa(c.resumptions))
	if !answered || answer.Verdict != core.Streaming {
		return resume.Abort, nil, nil
	}
	return step, answer.Stream, ticket
}

const (
	eventStream = "text/event-stream"
	jsonType    = "application/json"
)

// writeBody sends a part of the answer, preceded by the headers on the first call. It blocks for at
// most writeLimit.
func (c *call) writeBody(p []byte) error {
	if !c.responseStarted {
		c.responseStarted = true
		h := c.w.Header()
		h["Content-Type"] = []string{c.encoder.contentType()}
		if c.encoder.contentType() == eventStream {
			h["Cache-Control"] = []string{"no-cache"}
			h["X-Accel-Buffering"] = []string{"no"}
		} else { // the answer is written by a single call
			h["Content-Length"] = []string{strconv.Itoa(len(p))}
		}
	}
	// Each new deadline resets a timer, so a deadline that is short by a fraction of the limit at most
	// is reused.
	if now := time.Now(); now.Sub(c.deadlineSetAt) > writeLimit/writeDeadlineParts {
		if err := c.controller.SetWriteDeadline(now.Add(writeLimit)); err != nil {
			return err
		}
		c.deadlineSetAt = now
	}
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return c.controller.Flush()
}

// stream forwards an answer as it arrives. If it breaks and can't be continued at another engine,
// the client gets an error: a status if nothing has been sent yet, otherwise an event, after
// which the connection is closed without the final chunk. In both cases the request is not sent
// to an engine again.
func (c *call) stream(s core.Stream, t *core.Ticket) {
	pipe := streambuffer.Pipe{
		Convert: func(dst, p []byte) ([]byte, error) {
			dst, err := c.encoder.translate(dst, p)
			if c.record(dst); err == nil && c.encoder.complete() {
				c.markComplete()
			}
			if err == nil {
				err = c.growMemory()
			}
			return dst, err
		},
		End: func(dst []byte) ([]byte, error) {
			from := len(dst)
			dst, err := c.encoder.finish(dst)
			if c.record(dst[from:]); err == nil {
				c.markComplete()
			}
			return dst, err
		},
		Write: c.writeBody,
	}
	err := streambuffer.Run(c.r.Context(), t, s, pipe, c.bufferLimits)
	for err != nil {
		step, next, ticket := c.resumeElsewhere(err)
		if step == resume.Abort {
			c.abort(err)
			return
		}
		c.encoder.discardPartial()
		if next != nil {
			c.encoder.nextAttempt()
			err = streambuffer.Run(c.r.Context(), ticket, next, pipe, c.bufferLimits)
			continue
		}
		var last []byte
		if last, err = pipe.End(nil); err == nil {
			err = c.writeBody(last)
		}
		if err != nil {
			c.abort(err)
			return
		}
	}
	_ = c.controller.SetWriteDeadline(time.Time{})
}

// abort ends a call whose answer broke. It returns if the client received an error status, and
// panics with http.ErrAbortHandler if the connection must be closed.
func (c *call) abort(err error) {
	if errors.Is(err, streambuffer.ErrSlowClient) {
		c.counts.slowClients.Add(1)
	}
	if c.r.Context().Err() == nil && c.responseStarted {
		_ = c.writeBody(c.encoder.failure(streamError(err)))
	} else if c.r.Context().Err() == nil {
		e := answerError(core.Answer{Verdict: core.Failed, Status: routing.StatusReset}, c.atMostOnce)
		var reported reportedError
		if errors.As(err, &reported) {
			e.code, e.message = codeEngineError, reported.Error()+"; the request may have been carried out"
		}
		e.send(c.w)
		_ = c.controller.Flush()
		return
	}
	panic(http.ErrAbortHandler)
}

var _ streambuffer.Ticket = (*core.Ticket)(nil)
