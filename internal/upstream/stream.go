package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/sse"
	"wellgw/routing"
)

// stream is an attempt's answer from its first event on.
type stream struct {
	*try
	conn       *conn
	resp       *http.Response
	body       io.Reader
	dialect    Dialect
	opener     Opener // until the answer has begun; nil for none
	lead       sse.Scanner
	silence    time.Duration
	until      time.Time // the read deadline, once the answer has begun
	lines      lineFilter
	plain      bool   // a body of any kind, not events
	begun      bool   // the answer has
	pending    []byte // sound, and not yet read
	last       bool   // the last event has passed
	tail       []byte
	tailBuffer *[]byte // of tails, to be given back
	err        error
	ended      bool  // finish has been called
	failed     error // the engine's own word that it has
	result     core.Result
}

// openStream reads an answer until it has begun, and returns the stream from there. Until then
// the client has been given nothing: the attempt has failed, not the stream.
func (e *Engine) openStream(t *try, c *conn, resp *http.Response, p core.Payload, dialect Dialect, until time.Time) (core.Stream, core.Result) {
	s := e.newStream(t, c, resp, p, dialect)
	c.SetDeadline(until) // an engine may send its head before it has an event
	s.readLead(p)
	if s.begun {
		return s, core.Result{}
	}
	t.done(false)
	switch {
	case s.failed != nil:
		return nil, core.Result{Status: routing.StatusError, Cause: s.failed}
	case errors.Is(s.err, io.EOF):
		return nil, core.Result{Status: routing.StatusError, Cause: errNoEvent}
	}
	return nil, core.Result{Status: broken(s.err), Cause: s.err}
}

var errNoEvent = errors.New("stream without an event")

// newStream returns a stream over an answer whose head has been read.
func (e *Engine) newStream(t *try, c *conn, resp *http.Response, p core.Payload, dialect Dialect) *stream {
	s := &stream{
		try: t, conn: c, resp: resp, body: resp.Body, dialect: dialect,
		silence: e.pool.opt.StreamSilence, plain: p.Unary, tailBuffer: tails.Get().(*[]byte),
	}
	s.tail = (*s.tailBuffer)[:0]
	s.opener, _ = dialect.(Opener)
	if slices.Contains(resp.TransferEncoding, "chunked") {
		s.body = &chunked{from: c.buffered}
	}
	if strings.EqualFold(resp.Header.Get("Content-Encoding"), "gzip") { // unasked, but some do
		s.body = &unzipped{from: s.body}
	}
	return s
}

// readLead reads until the answer begins, ends or fails.
func (s *stream) readLead(p core.Payload) {
	buf := leads.Get().(*[leadSize]byte)
	defer leads.Put(buf)
	for s.err == nil && !s.begun {
		if s.fill(buf[:], p); len(s.pending) > maxHead {
			s.err = errJunk // comments without end
		}
	}
	s.opener = nil
}

// Read returns events as they come. io.EOF comes after the last chunk only: a
// connection that just ends is a broken stream.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.finish(s.err)
		}
		s.await()
		sound := s.next(p)
		// Mostly what has come is already where it is wanted.
		n := copy(p, sound)
		if s.pending = append(s.pending[:0], sound[n:]...); n > 0 {
			return n, nil
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// await sets how long the next part is waited for. A deadline that is near enough to what
// it should be is left alone.
func (s *stream) await() {
	var until time.Time
	switch now := time.Now(); {
	case s.last:
		until = now.Add(doneSpan)
	case s.silence > 0: // a machine that has vanished says nothing; a client is not left waiting for it
		if until = now.Add(s.silence); until.Sub(s.until) < s.silence/silencePart {
			return
		}
	case s.begun && s.until.IsZero():
		s.until = now
	default:
		return
	}
	s.conn.SetReadDeadline(until)
	if s.until = until; s.last {
		s.until = time.Time{}
	}
}

// next reads on by way of p and returns what is sound.
func (s *stream) next(p []byte) []byte {
	n, err := s.body.Read(p)
	sound, junk := p[:n], error(nil)
	if !s.plain {
		sound, junk = s.lines.take(sound)
	}
	if junk != nil {
		err = junk
	}
	if err != nil && (errors.Is(err, io.EOF) || broken(err) == routing.StatusReset) {
		if rest := s.lines.left(errors.Is(err, io.EOF) && s.framed()); len(rest) > 0 { // what has come before a break goes out
			sound = append(slices.Clone(sound), rest...)
		}
	}
	s.err = err
	s.note(sound)
	return sound
}

// fill adds what comes next to what is pending, until the answer begins.
func (s *stream) fill(p []byte, payload core.Payload) {
	sound := s.next(p)
	s.pending = append(s.pending, sound...)
	switch {
	case s.plain:
		s.begun = len(s.pending) > 0 || errors.Is(s.err, io.EOF)
	case s.opener == nil:
		s.begun = s.lines.begun
	default:
		each := func(e sse.Event) error {
			if s.begun {
				return nil
			}
			var err error
			s.begun, err = s.opener.Opens(payload, e.Data)
			return err
		}
		err := s.lead.Write(sound, each)
		if err == nil && errors.Is(s.err, io.EOF) {
			err = s.lead.End(each)
		}
		if err != nil && !s.begun {
			s.failed, s.err = err, err
		}
	}
}

// note keeps the last part of what has passed, where the usage stands.
func (s *stream) note(p []byte) {
	if over := len(p) - 2*tailSize; over > 0 {
		s.tail = append(s.tail[:0], p[over:]...)
	} else {
		s.tail = append(s.tail, p...)
	}
	if len(s.tail) > 2*tailSize {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailSize:]...)
	}
	s.last = s.last || bytes.Contains(p[max(0, len(p)-lastWithin):], lastEvent)
}

// lastWithin is how near to the end of what has come the last event stands.
const lastWithin = 1 << 10

var lastEvent = []byte("data: [DONE]")

// framed tells whether the stream's end is told otherwise than by the connection's.
func (s *stream) framed() bool { return s.resp.ContentLength >= 0 || len(s.resp.TransferEncoding) > 0 }

func (s *stream) finish(err error) error {
	if s.ended {
		return err
	}
	framed := s.framed()
	if errors.Is(err, io.EOF) && !framed && !bytes.Contains(s.tail, lastEvent) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		s.result.Status = routing.StatusServed
		s.dialect.Tail(s.tail, &s.result)
	} else {
		s.result.Status, s.result.Cause = broken(err), err
	}
	s.ended = true
	if cap(s.tail) <= 4*tailSize {
		*s.tailBuffer = s.tail[:0]
		tails.Put(s.tailBuffer)
	}
	s.tail = nil
	s.done(err == io.EOF && framed && !s.resp.Close)
	return err
}

// Result tells how the stream ended.
func (s *stream) Result() core.Result { return s.result }

// Close gives the rest of the stream up.
func (s *stream) Close() error {
	s.stop()
	return nil
}
