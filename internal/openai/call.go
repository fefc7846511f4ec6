package openai

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/decide/resume"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/streambuffer"
	"wellgw/routing"
)

// call is one request to a model, from its head to the end of its answer. It belongs to the
// goroutine of its handler.
type call struct {
	*Front
	w               http.ResponseWriter
	r               *http.Request
	controller      *http.ResponseController
	request         *apiRequest
	head            head
	contract        config.Contract
	team            *config.Team
	arrived         time.Time
	atMostOnce      bool // the request must not run twice
	encoder         encoder
	responseStarted bool      // a part of the answer has been sent
	deadlineSetAt   time.Time // when the write deadline was last set
	resumptions     int       // how often the answer has been continued at another engine

	key            deduplication.Key
	claimed        bool
	result         deduplication.Result
	recorded       []byte // the answer as sent, to be replayed under the key
	recordOverflow bool   // the answer is larger than what may be recorded
}

// Headers of retried requests.
const (
	keyHeader      = "Idempotency-Key"
	retryHeader    = "X-Stainless-Retry-Count" // the official libraries' count of their own retries
	replayedHeader = "Idempotent-Replayed"
)

// submit passes a request to the core under an id and waits for its answer; see
// core.SubmitAndWait. It is false if the client has gone before there is one.
func (c *call) submit(a *apiRequest, id string) (core.Answer, *core.Ticket, bool) {
	request := core.Request{
		ClientRequestID: id, Arrived: time.Now(),
		Payload: core.Payload{Method: http.MethodPost, Target: a.path, Body: a.body, Unary: a.path == embeddingPath, BufferUntilFirstToken: !c.atMostOnce},
	}
	if id == c.head.id {
		request.Arrived = c.arrived
	}
	s := a.shape
	request.Request = routing.Request{
		Class: c.contract.Name, Tenant: c.team.Name, Session: s.session, Prefix: s.prefix, PrefixLen: s.prefixLen,
		PromptTokens: s.promptTokens, MaxTokens: s.maxOutputTokens, TTL: c.contract.Deadline(),
	}
	return core.SubmitAndWait(c.r.Context(), c.core, request)
}

// resumeElsewhere decides what becomes of a broken answer, and continues it at another engine if its
// contract allows that and an engine accepts it.
func (c *call) resumeElsewhere(err error) (resume.Step, core.Stream, *core.Ticket) {
	var reported reportedError
	terms := resume.Terms{Free: !c.atMostOnce, Allowed: c.contract.Continue, Plain: c.request.path == chatPath && c.request.choices == 1}
	if c.request.hasOutputLimit {
		terms.Most = c.request.shape.maxOutputTokens
	}
	step := resume.Decide(terms, c.encoder.progress(), resume.Break{
		Lost:     errors.Is(err, streambuffer.ErrClientGone) || errors.Is(err, streambuffer.ErrSlowClient) || c.r.Context().Err() != nil,
		Reported: errors.As(err, &reported), Times: c.resumptions, Since: time.Since(c.arrived),
	})
	c.counts.brokenAnswers[step].Add(1)
	a := c.request
	switch step {
	case resume.GiveUp, resume.Finish:
		return step, nil, nil
	case resume.GoOn:
		if a, err = c.request.continuation(c.encoder.progress().Said()); err != nil {
			return resume.GiveUp, nil, nil
		}
	}
	c.resumptions++
	answer, ticket, answered := c.submit(a, c.head.id+"-"+strconv.Itoa(c.resumptions))
	if !answered || answer.Verdict != core.Streaming {
		return resume.GiveUp, nil, nil
	}
	return step, answer.Stream, ticket
}

// claim looks up the request's idempotency key. It returns true if the request has been answered
// by what is known of the key; else it may run, and settle must be called when it has ended.
func (c *call) claim(body []byte) (answered bool) {
	name := c.r.Header.Get(keyHeader)
	if name == "" || c.keys == nil {
		return false
	}
	if len(name) > maxKeyBytes || strings.IndexFunc(name, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		apiError{status: http.StatusBadRequest, errorType: typeRequest, code: codeKeyInvalid, param: keyHeader,
			message: "an idempotency key has at most " + strconv.Itoa(maxKeyBytes) + " printable ASCII characters"}.send(c.w)
		return true
	}
	sum := sha256.New()
	sum.Write([]byte(c.r.URL.Path + "\x00"))
	sum.Write(body)
	a := deduplication.Request{Key: deduplication.Key{Team: c.team.Name, Name: name}, Digest: hex.EncodeToString(sum.Sum(nil)), RequestID: c.head.id}
	a.RetryCount, _ = strconv.Atoi(c.r.Header.Get(retryHeader))
	a.MayHaveRunElsewhere = c.hasPeers != nil && c.hasPeers()
	verdict, e := c.keys.Begin(a)
	c.counts.keys[verdict].Add(1)
	conflict := apiError{status: http.StatusConflict, errorType: typeRequest, param: keyHeader}
	switch verdict {
	case deduplication.Run:
		c.key, c.claimed = a.Key, true
		return false
	case deduplication.Replay:
		h := c.w.Header()
		h.Set("Content-Type", e.ContentType)
		h.Set(replayedHeader, "true")
		h.Set("X-Request-Id", requestID(e.RequestID))
		c.w.Write(e.Answer)
		return true
	case deduplication.InProgress:
		conflict.code, conflict.retryAfter = codeInProgress, retryAfterInProgress
		conflict.message = "a request under this key is under way"
	case deduplication.AnswerUnavailable:
		conflict.code, conflict.noRetry = codeAnswerUnavailable, true
		conflict.message = "a request under this key has been carried out; its answer was too large, or is too old, to be kept"
	case deduplication.KeyReused:
		conflict.status, conflict.code, conflict.noRetry = http.StatusUnprocessableEntity, codeKeyReused, true
		conflict.message = "this key was used for another request"
	case deduplication.PriorOutcomeUnknown:
		conflict.code, conflict.noRetry = codeOutcomeUnknown, true
		conflict.message = "an earlier request under this key may have been carried out, or may not; it is not carried out again. Look before asking under another key"
	default:
		conflict = apiError{status: http.StatusServiceUnavailable, errorType: typeServer, code: codeOverloaded, retryAfter: retryAfterFull,
			message: "no more idempotency keys can be kept; nothing was done"}
	}
	conflict.send(c.w)
	return true
}

// requestID returns an answer's id without the prefix that names its kind.
func requestID(id string) string {
	if _, after, found := strings.Cut(id, "-"); found {
		return after
	}
	return id
}

// markComplete records that the answer is complete, though its client may disconnect before it has been
// sent. A client may retry as soon as it has the last byte, so the key is settled before that is
// sent.
func (c *call) markComplete() {
	c.result.Complete = true
	c.releaseKey()
}

// releaseKey reports, once, how a claimed request has ended.
func (c *call) releaseKey() {
	if !c.claimed {
		return
	}
	c.claimed = false
	c.recordedBytes.Add(-int64(len(c.recorded)))
	if c.recordOverflow && c.result.Complete {
		c.counts.answersNotRecorded.Add(1)
	}
	c.keys.End(c.key, c.head.id, c.result.Outcome(), c.encoder.contentType(), c.recorded)
}

// record adds what is sent to the recorded answer, as long as that stays within its limits.
func (c *call) record(p []byte) {
	if !c.claimed || c.recordOverflow {
		return
	}
	c.recordedBytes.Add(int64(len(p)))
	c.recorded = append(c.recorded, p...)
	if len(c.recorded) > c.keys.MaxAnswerBytes() || c.recordedBytes.Load() > c.maxRecordedBytes {
		c.recordedBytes.Add(-int64(len(c.recorded)))
		c.recorded, c.recordOverflow = nil, true
	}
}

const (
	eventStream = "text/event-stream"
	jsonType    = "application/json"
)

// writeBody sends a part of the answer, before the first one also the headers. It blocks for
// writeLimit at most.
func (c *call) writeBody(p []byte) error {
	if !c.responseStarted {
		c.responseStarted = true
		h := c.w.Header()
		h["Content-Type"] = []string{c.encoder.contentType()}
		if c.encoder.contentType() == eventStream {
			h["Cache-Control"] = []string{"no-cache"}
			h["X-Accel-Buffering"] = []string{"no"}
		} else { // the answer is written in one piece
			h["Content-Length"] = []string{strconv.Itoa(len(p))}
		}
	}
	// Setting a deadline costs a timer, so one that is nearly right is kept.
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
// the client gets an error: as a status if nothing has been sent yet, else as an event, after
// which the connection is closed without the last chunk. Either is final; the request is not
// sent again.
func (c *call) stream(s core.Stream, t *core.Ticket) {
	pipe := streambuffer.Pipe{
		Take: func(dst, p []byte) ([]byte, error) {
			dst, err := c.encoder.translate(dst, p)
			if c.record(dst); err == nil && c.encoder.complete() {
				c.markComplete()
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
	err := streambuffer.Run(c.r.Context(), t, s, pipe, c.bounds)
	for err != nil {
		step, next, ticket := c.resumeElsewhere(err)
		if step == resume.GiveUp {
			c.abort(err)
			return
		}
		c.encoder.discardPartial()
		if next != nil {
			c.encoder.nextAttempt()
			err = streambuffer.Run(c.r.Context(), ticket, next, pipe, c.bounds)
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

// abort ends a call whose answer broke. It returns if the client was answered by a status, and
// panics with http.ErrAbortHandler if the connection has to be closed.
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
