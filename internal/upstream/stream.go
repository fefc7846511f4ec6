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
	*attemptHandle
	conn           *conn
	resp           *http.Response
	body           io.Reader
	dialect        Dialect
	opener         Opener // until the answer has begun; nil for none
	leadScanner    sse.Scanner
	silenceTimeout time.Duration
	readDeadline   time.Time // as last set, once the answer has begun
	lines          lineFilter
	unary          bool   // one body of any kind, not events
	begun          bool   // the answer has
	pending        []byte // valid, and not yet read
	lastEventSeen  bool   // the last event has been forwarded
	tail           []byte
	tailBuffer     *[]byte // of the pool tails, to be returned
	err            error
	ended          bool  // finish has been called
	engineError    error // reported by the engine within the stream
	result         core.Result
}

// openStream reads a response until the answer begins, and returns the stream from there. An error
// before that fails the attempt: nothing has reached the client.
func (e *Client) openStream(t *attemptHandle, c *conn, resp *http.Response, p core.Payload, dialect Dialect, until time.Time) (core.Stream, core.Result) {
	s := e.newStream(t, c, resp, p, dialect)
	c.SetDeadline(until) // an engine may send its head long before the first event
	s.readLead(p)
	if s.begun {
		return s, core.Result{}
	}
	t.endAttempt(false)
	switch {
	case s.engineError != nil:
		return nil, core.Result{Status: routing.StatusError, Cause: s.engineError}
	case errors.Is(s.err, io.EOF):
		return nil, core.Result{Status: routing.StatusError, Cause: errNoEvent}
	}
	return nil, core.Result{Status: failureStatus(s.err), Cause: s.err}
}

var errNoEvent = errors.New("stream without an event")

// newStream returns a stream over a response whose head has been read.
func (e *Client) newStream(t *attemptHandle, c *conn, resp *http.Response, p core.Payload, dialect Dialect) *stream {
	s := &stream{
		attemptHandle: t, conn: c, resp: resp, body: resp.Body, dialect: dialect,
		silenceTimeout: e.pool.opt.StreamSilenceTimeout, unary: p.Unary, tailBuffer: tails.Get().(*[]byte),
	}
	s.tail = (*s.tailBuffer)[:0]
	s.opener, _ = dialect.(Opener)
	if slices.Contains(resp.TransferEncoding, "chunked") {
		s.body = &chunked{from: c.buffered}
	}
	if strings.EqualFold(resp.Header.Get("Content-Encoding"), "gzip") { // not requested, but some engines compress
		s.body = &unzipped{from: s.body}
	}
	return s
}

// readLead reads until the answer begins, ends or fails.
func (s *stream) readLead(p core.Payload) {
	buf := leads.Get().(*[leadSize]byte)
	defer leads.Put(buf)
	for s.err == nil && !s.begun {
		if s.readMore(buf[:], p); len(s.pending) > maxHead {
			s.err = errNotEventStream // comments without end
		}
	}
	s.opener = nil
}

// Read returns events as they arrive. It returns io.EOF after the last chunk only: a connection that
// merely ends is a broken stream.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.finish(s.err)
		}
		s.setReadDeadline()
		sound := s.readValid(p)
		// Usually the bytes are already in place.
		n := copy(p, sound)
		if s.pending = append(s.pending[:0], sound[n:]...); n > 0 {
			return n, nil
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// setReadDeadline sets the deadline for the next part. One that is close enough to what it should be
// is left as it is, which saves a system call.
func (s *stream) setReadDeadline() {
	var until time.Time
	switch now := time.Now(); {
	case s.lastEventSeen:
		until = now.Add(lastChunkTimeout)
	case s.silenceTimeout > 0: // a machine that has vanished closes nothing; its clients must not wait for it
		if until = now.Add(s.silenceTimeout); until.Sub(s.readDeadline) < s.silenceTimeout/silenceResolution {
			return
		}
	case s.begun && s.readDeadline.IsZero():
		s.readDeadline = now
	default:
		return
	}
	s.conn.SetReadDeadline(until)
	if s.readDeadline = until; s.lastEventSeen {
		s.readDeadline = time.Time{}
	}
}

// readValid reads into p and returns the valid part.
func (s *stream) readValid(p []byte) []byte {
	n, err := s.body.Read(p)
	sound, junk := p[:n], error(nil)
	if !s.unary {
		sound, junk = s.lines.filter(sound)
	}
	if junk != nil {
		err = junk
	}
	if err != nil && (errors.Is(err, io.EOF) || failureStatus(err) == routing.StatusReset) {
		if rest := s.lines.flush(errors.Is(err, io.EOF) && s.framed()); len(rest) > 0 { // what arrived before a break is forwarded
			sound = append(slices.Clone(sound), rest...)
		}
	}
	s.err = err
	s.recordTail(sound)
	return sound
}

// readMore adds the next part to what is pending, and checks whether the answer has begun.
func (s *stream) readMore(p []byte, payload core.Payload) {
	sound := s.readValid(p)
	s.pending = append(s.pending, sound...)
	switch {
	case s.unary:
		s.begun = len(s.pending) > 0 || errors.Is(s.err, io.EOF)
	case s.opener == nil:
		s.begun = s.lines.eventSeen
	default:
		each := func(e sse.Event) error {
			if s.begun {
				return nil
			}
			var err error
			s.begun, err = s.opener.StartsAnswer(payload, e.Data)
			return err
		}
		err := s.leadScanner.Write(sound, each)
		if err == nil && errors.Is(s.err, io.EOF) {
			err = s.leadScanner.End(each)
		}
		if err != nil && !s.begun {
			s.engineError, s.err = err, err
		}
	}
}

// recordTail keeps the last part of what was forwarded, which holds the usage figures.
func (s *stream) recordTail(p []byte) {
	if over := len(p) - 2*tailSize; over > 0 {
		s.tail = append(s.tail[:0], p[over:]...)
	} else {
		s.tail = append(s.tail, p...)
	}
	if len(s.tail) > 2*tailSize {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailSize:]...)
	}
	s.lastEventSeen = s.lastEventSeen || bytes.Contains(p[max(0, len(p)-lastEventWindow):], lastEvent)
}

// lastEventWindow is how far from the end of a read the last event is searched for, in bytes.
const lastEventWindow = 1 << 10

var lastEvent = []byte("data: [DONE]")

// framed reports whether the stream's end is marked otherwise than by closing the connection.
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
		s.result.Status, s.result.Cause = failureStatus(err), err
	}
	s.ended = true
	if cap(s.tail) <= 4*tailSize {
		*s.tailBuffer = s.tail[:0]
		tails.Put(s.tailBuffer)
	}
	s.tail = nil
	s.endAttempt(err == io.EOF && framed && !s.resp.Close)
	return err
}

// Result tells how the stream ended.
func (s *stream) Result() core.Result { return s.result }

// Close abandons the rest of the stream.
func (s *stream) Close() error {
	s.abort()
	return nil
}
