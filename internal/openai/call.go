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

// form is the way in which a client gets its answer.
type form interface {
	kind() string // the content type
	// take adds what the client gets, now that p has come of the stream, to dst.
	take(dst, p []byte) ([]byte, error)
	// end does the same once the stream has ended. An error says that the answer has not.
	end(dst []byte) ([]byte, error)
	// answer is how far it has come.
	answer() *resume.Answer
	// complete tells whether take has returned the whole of it, before the stream's end.
	complete() bool
	// drop forgets the part of an event that a break has left.
	drop()
	// next makes ready for another engine's stream, which goes on with the answer or, if the
	// client has been given nothing, begins it anew.
	next()
	// fail is what ends an answer that has begun and broke.
	fail(apiError) []byte
}

// call is one request that the front serves.
type call struct {
	*Front
	w        http.ResponseWriter
	r        *http.Request
	out      *http.ResponseController
	ask      *apiRequest
	head     head
	contract config.Contract
	team     *config.Team
	arrived  time.Time
	once     bool // it must not run twice
	form     form
	begun    bool      // the client has been given something
	armed    time.Time // when the write deadline was set
	resumed  int       // times that its answer has gone on at another engine

	key     deduplication.Key
	claimed bool
	ending  deduplication.Result
	kept    []byte // of the answer as it went out
	tooMuch bool   // more than is kept
}

// Headers of requests that clients send again.
const (
	keyHeader      = "Idempotency-Key"
	retryHeader    = "X-Stainless-Retry-Count" // the official libraries' count of their own retries
	replayedHeader = "Idempotent-Replayed"
)

// submit hands a call to the core under a name and waits for its answer; see core.SubmitAndWait.
func (c *call) submit(a *apiRequest, wire string) (core.Answer, *core.Ticket, bool) {
	q := core.Request{
		ClientRequestID: wire, Arrived: time.Now(),
		Payload: core.Payload{Method: http.MethodPost, Target: a.path, Body: a.body, Unary: a.path == embeddingPath, BufferUntilFirstToken: !c.once},
	}
	if wire == c.head.id {
		q.Arrived = c.arrived
	}
	s := a.shape
	q.Request = routing.Request{
		Class: c.contract.Name, Tenant: c.team.Name, Session: s.session, Prefix: s.opening, PrefixLen: s.openingLen,
		PromptTokens: s.prompt, MaxTokens: s.maxOut, TTL: c.contract.Deadline(),
	}
	return core.SubmitAndWait(c.r.Context(), c.core, q)
}

// resume says what becomes of an answer that broke, and has it go on at another engine if
// its contract says so and an engine takes it.
func (c *call) resume(err error) (resume.Step, core.Stream, *core.Ticket) {
	var told reportedError
	terms := resume.Terms{Free: !c.once, Allowed: c.contract.Continue, Plain: c.ask.path == chatPath && c.ask.choices == 1}
	if c.ask.limited {
		terms.Most = c.ask.shape.maxOut
	}
	step := resume.Decide(terms, c.form.answer(), resume.Break{
		Lost:     errors.Is(err, streambuffer.ErrClientGone) || errors.Is(err, streambuffer.ErrSlowClient) || c.r.Context().Err() != nil,
		Reported: errors.As(err, &told), Times: c.resumed, Since: time.Since(c.arrived),
	})
	c.counts.breaks[step].Add(1)
	a := c.ask
	switch step {
	case resume.GiveUp, resume.Finish:
		return step, nil, nil
	case resume.GoOn:
		if a, err = c.ask.goOn(c.form.answer().Said()); err != nil {
			return resume.GiveUp, nil, nil
		}
	}
	c.resumed++
	answer, ticket, here := c.submit(a, c.head.id+"-"+strconv.Itoa(c.resumed))
	if !here || answer.Verdict != core.Streaming {
		return resume.GiveUp, nil, nil
	}
	return step, answer.Stream, ticket
}

// claim looks a request's key up. It returns true if the request has been answered, by what
// is known of the key; else it may run, and settle must follow.
func (c *call) claim(body []byte) (answered bool) {
	name := c.r.Header.Get(keyHeader)
	if name == "" || c.keys == nil {
		return false
	}
	if len(name) > maxKey || strings.IndexFunc(name, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		apiError{status: http.StatusBadRequest, kind: typeRequest, code: codeKeyLength, param: keyHeader,
			text: "an idempotency key has at most " + strconv.Itoa(maxKey) + " printable ASCII characters"}.send(c.w)
		return true
	}
	sum := sha256.New()
	sum.Write([]byte(c.r.URL.Path + "\x00"))
	sum.Write(body)
	a := deduplication.Request{Key: deduplication.Key{Team: c.team.Name, Name: name}, Digest: hex.EncodeToString(sum.Sum(nil)), RequestID: c.head.id}
	a.RetryCount, _ = strconv.Atoi(c.r.Header.Get(retryHeader))
	a.MayHaveRunElsewhere = c.others != nil && c.others()
	verdict, e := c.keys.Begin(a)
	c.counts.keys[verdict].Add(1)
	conflict := apiError{status: http.StatusConflict, kind: typeRequest, param: keyHeader}
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
		conflict.code, conflict.retryAfter = codeUnderWay, keyPause
		conflict.text = "a request under this key is under way"
	case deduplication.AnswerUnavailable:
		conflict.code, conflict.final = codeNotKept, true
		conflict.text = "a request under this key has been carried out; its answer was too large, or is too old, to be kept"
	case deduplication.KeyReused:
		conflict.status, conflict.code, conflict.final = http.StatusUnprocessableEntity, codeReused, true
		conflict.text = "this key was used for another request"
	case deduplication.PriorOutcomeUnknown:
		conflict.code, conflict.final = codeUnknown, true
		conflict.text = "an earlier request under this key may have been carried out, or may not; it is not carried out again. Look before asking under another key"
	default:
		conflict = apiError{status: http.StatusServiceUnavailable, kind: typeServer, code: codeOverloaded, retryAfter: roomPause,
			text: "no more idempotency keys can be kept; nothing was done"}
	}
	conflict.send(c.w)
	return true
}

// requestID is the part of an answer's id that names the request.
func requestID(id string) string {
	if _, after, found := strings.Cut(id, "-"); found {
		return after
	}
	return id
}

// whole notes that the answer is whole, and kept, though its client may go before it has it all.
// A client may ask again as soon as it has the last of it, so the key is settled before that
// goes out.
func (c *call) whole() {
	c.ending.Complete = true
	c.settle()
}

// settle tells, once, how a claimed request has ended.
func (c *call) settle() {
	if !c.claimed {
		return
	}
	c.claimed = false
	c.keeping.Add(-int64(len(c.kept)))
	if c.tooMuch && c.ending.Complete {
		c.counts.notKept.Add(1)
	}
	c.keys.End(c.key, c.head.id, c.ending.Outcome(), c.form.kind(), c.kept)
}

// keep notes what goes out, for a client that asks again.
func (c *call) keep(p []byte) {
	if !c.claimed || c.tooMuch {
		return
	}
	c.keeping.Add(int64(len(p)))
	c.kept = append(c.kept, p...)
	if len(c.kept) > c.keys.MaxAnswerBytes() || c.keeping.Load() > c.keepMost {
		c.keeping.Add(-int64(len(c.kept)))
		c.kept, c.tooMuch = nil, true
	}
}

const (
	eventStream = "text/event-stream"
	jsonType    = "application/json"
)

// put gives the client a part of its answer, the head before the first. It blocks for
// writeLimit at most.
func (c *call) put(p []byte) error {
	if !c.begun {
		c.begun = true
		h := c.w.Header()
		h["Content-Type"] = []string{c.form.kind()}
		if c.form.kind() == eventStream {
			h["Cache-Control"] = []string{"no-cache"}
			h["X-Accel-Buffering"] = []string{"no"}
		} else { // which comes in one piece
			h["Content-Length"] = []string{strconv.Itoa(len(p))}
		}
	}
	// A deadline that is near enough to what it should be is left alone.
	if now := time.Now(); now.Sub(c.armed) > writeLimit/writePart {
		if err := c.out.SetWriteDeadline(now.Add(writeLimit)); err != nil {
			return err
		}
		c.armed = now
	}
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return c.out.Flush()
}

// serve passes an answer on as it comes, what comes together at once. If it breaks, and
// does not go on elsewhere, its client is told: by a status if it has been given nothing,
// else by an error event, after which the connection ends without the last chunk. Either
// is the one final answer; the request is not sent again.
func (c *call) serve(s core.Stream, t *core.Ticket) {
	pipe := streambuffer.Pipe{
		Take: func(dst, p []byte) ([]byte, error) {
			dst, err := c.form.take(dst, p)
			if c.keep(dst); err == nil && c.form.complete() {
				c.whole()
			}
			return dst, err
		},
		End: func(dst []byte) ([]byte, error) {
			from := len(dst)
			dst, err := c.form.end(dst)
			if c.keep(dst[from:]); err == nil {
				c.whole()
			}
			return dst, err
		},
		Write: c.put,
	}
	err := streambuffer.Run(c.r.Context(), t, s, pipe, c.bounds)
	for err != nil {
		step, next, ticket := c.resume(err)
		if step == resume.GiveUp {
			c.broke(err)
			return
		}
		c.form.drop()
		if next != nil {
			c.form.next()
			err = streambuffer.Run(c.r.Context(), ticket, next, pipe, c.bounds)
			continue
		}
		var last []byte
		if last, err = pipe.End(nil); err == nil {
			err = c.put(last)
		}
		if err != nil {
			c.broke(err)
			return
		}
	}
	_ = c.out.SetWriteDeadline(time.Time{})
}

// broke ends a call whose answer broke; it does not return unless by a status.
func (c *call) broke(err error) {
	if errors.Is(err, streambuffer.ErrSlowClient) {
		c.counts.slow.Add(1)
	}
	if c.r.Context().Err() == nil && c.begun {
		_ = c.put(c.form.fail(broken(err)))
	} else if c.r.Context().Err() == nil {
		e := refusal(core.Answer{Verdict: core.Failed, Status: routing.StatusReset}, c.once)
		var told reportedError
		if errors.As(err, &told) {
			e.code, e.text = codeReported, told.Error()+"; the request may have been carried out"
		}
		e.send(c.w)
		_ = c.out.Flush()
		return
	}
	panic(http.ErrAbortHandler)
}

var _ streambuffer.Ticket = (*core.Ticket)(nil)
