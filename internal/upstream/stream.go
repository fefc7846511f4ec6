package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/sse"
	"wellgw/routing"
)

// stream is the response to an attempt from its first event on.
type stream struct {
	*attemptHandle
	conn            *conn
	resp            *http.Response
	body            io.Reader
	dialect         Dialect
	opener          Opener // set until the answer has begun; nil if the dialect has none
	preambleScanner sse.Scanner
	check           AnswerCheck // nil if the dialect has none
	checkScanner    sse.Scanner // of the events for check
	broken          error       // why the answer is not complete, or can't become so
	wait            eventWait
	lines           lineFilter
	unary           bool // a single body of any type, not events
	unaryBytes      int  // of a unary body that have arrived
	answerBegun     bool
	pending         []byte // valid, and not yet read
	tail            streamTail
	err             error
	finished        bool  // finish has been called
	engineError     error // reported by the engine within the stream
	result          core.Result
}

// openStream reads a response until the answer begins, and returns the stream from there. An error
// before that fails the attempt, as nothing has reached the client.
func (client *Client) openStream(
	t *attemptHandle, c *conn, resp *http.Response, p core.Payload, dialect Dialect, deadline time.Time,
) (core.Stream, core.Result) {
	s := client.newStream(t, c, resp, p, dialect)
	c.SetDeadline(deadline) // an engine may send its response head long before the first event
	s.readPreamble(p)
	if s.answerBegun && s.broken == nil {
		if s.lines.lastEventSeen {
			s.wait.restart(lastChunkTimeout)
		}
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
func (client *Client) newStream(t *attemptHandle, c *conn, resp *http.Response, p core.Payload, dialect Dialect) *stream {
	s := &stream{
		attemptHandle: t, conn: c, resp: resp, body: resp.Body, dialect: dialect,
		wait: eventWait{limit: eventTimeout(client.pool.opt.StreamSilenceTimeout, p)}, unary: p.Unary, tail: newStreamTail(),
	}
	s.opener, _ = dialect.(Opener)
	if checker, ok := dialect.(AnswerChecker); ok && !p.Unary {
		s.check = checker.NewAnswerCheck()
	}
	if slices.Contains(resp.TransferEncoding, "chunked") {
		s.body = &chunked{reader: c.buffered}
	}
	if strings.EqualFold(resp.Header.Get("Content-Encoding"), "gzip") { // not requested, but some engines compress
		s.body = &gzipBody{source: s.body}
	}
	return s
}

// readPreamble reads until the answer begins, ends or fails.
func (s *stream) readPreamble(p core.Payload) {
	buf := preambleBuffers.Get().(*[preambleSize]byte)
	defer preambleBuffers.Put(buf)
	for s.err == nil && !s.answerBegun {
		if s.readMore(buf[:], p); !s.answerBegun && len(s.pending) > maxPreamble {
			s.err = errNotEventStream // an unlimited series of comments, or of events before the first token
		}
	}
	s.opener = nil
}

// Read returns events as they arrive. It returns io.EOF after the last chunk only: if the
// connection closes earlier, the stream is broken.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.finish(s.err)
		}
		valid := s.readInTime(p)
		// In most cases the valid bytes are in p already, so that copy moves nothing.
		n := copy(p, valid)
		if s.pending = append(s.pending[:0], valid[n:]...); n > 0 {
			return n, nil
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// readInTime is readValid within the limit on the wait for the next event. A machine that has failed
// does not close its connections, and an engine that hangs may go on sending comments. An answer in
// one piece has no events, so that the limit applies to all of it.
func (s *stream) readInTime(p []byte) []byte {
	events, lastEventSeen, limit := s.lines.events, s.lines.lastEventSeen, s.wait.limit
	begin := time.Now()
	s.wait.beginRead(s.conn, begin)
	valid := s.readValid(p)
	s.wait.endRead(time.Since(begin))
	switch {
	case errors.Is(s.err, os.ErrDeadlineExceeded):
		s.err = &eventTimeoutError{limit: limit, bytes: s.lines.sinceEvent + len(s.lines.partialLine)}
	case s.lines.lastEventSeen && !lastEventSeen:
		s.wait.restart(lastChunkTimeout)
	case s.lines.events > events:
		s.wait.restart(limit)
	case !s.lines.lastEventSeen:
		s.wait.progress(s.arrivingData(valid))
	}
	return valid
}

// arrivingData returns how many bytes of data have arrived of the event that has not ended. An answer in one
// piece counts as one event, without the white space around what has arrived.
func (s *stream) arrivingData(arrived []byte) int {
	if !s.unary {
		return s.lines.arrivingData()
	}
	s.unaryBytes += len(bytes.TrimSpace(arrived))
	return s.unaryBytes
}

// readValid reads into p and returns the valid part.
func (s *stream) readValid(p []byte) []byte {
	n, err := s.body.Read(p)
	valid, invalid := p[:n], error(nil)
	if !s.unary {
		valid, invalid = s.lines.filter(valid)
	}
	if invalid != nil {
		err = invalid
	}
	if err != nil && (errors.Is(err, io.EOF) || failureStatus(err) == routing.StatusReset) {
		// Bytes that arrived before a break are forwarded.
		if last := s.lines.flush(); len(last) > 0 {
			valid = append(slices.Clone(valid), last...)
		}
		if errors.Is(err, io.EOF) {
			s.lines.endStream(s.framed())
		}
	}
	if s.broken = s.checkEvents(valid, err); s.broken != nil {
		valid, err = nil, s.broken
	}
	s.err = err
	s.tail.record(valid)
	return valid
}

// checkEvents checks the events that end in bytes that have arrived. streamErr is the error after them; at
// the end of the stream its answer must be complete.
func (s *stream) checkEvents(arrived []byte, streamErr error) error {
	if s.check == nil {
		return nil
	}
	onEvent := func(e sse.Event) error { return s.check.Event(e.Data) }
	if err := s.checkScanner.Write(arrived, onEvent); err != nil {
		return err
	}
	if !errors.Is(streamErr, io.EOF) || !s.framed() && !s.lines.lastEventSeen {
		return nil // finish treats an unframed stream without its last event as broken
	}
	if err := s.checkScanner.End(onEvent); err != nil {
		return err
	}
	return s.check.End()
}

// readMore appends the next part to pending, and checks whether the answer has begun.
func (s *stream) readMore(p []byte, payload core.Payload) {
	valid := s.readValid(p)
	s.pending = append(s.pending, valid...)
	switch {
	case s.unary:
		s.answerBegun = len(s.pending) > 0 || errors.Is(s.err, io.EOF)
	case s.opener == nil:
		s.answerBegun = s.lines.eventSeen
	default:
		onEvent := func(e sse.Event) error {
			if s.answerBegun {
				return nil
			}
			var err error
			s.answerBegun, err = s.opener.StartsAnswer(payload, e.Data)
			return err
		}
		err := s.preambleScanner.Write(valid, onEvent)
		if err == nil && errors.Is(s.err, io.EOF) {
			err = s.preambleScanner.End(onEvent)
		}
		if err != nil && !s.answerBegun {
			s.engineError, s.err = err, err
		}
	}
}

// framed reports whether the end of the stream is marked other than by a close of the connection.
func (s *stream) framed() bool { return s.resp.ContentLength >= 0 || len(s.resp.TransferEncoding) > 0 }

func (s *stream) finish(err error) error {
	if s.finished {
		return err
	}
	framed := s.framed()
	if errors.Is(err, io.EOF) && !framed && !s.lines.lastEventSeen {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		s.result.Status = routing.StatusServed
		s.dialect.Tail(s.tail.bytes, &s.result)
	} else {
		s.result.Status, s.result.Cause = failureStatus(err), err
	}
	s.finished = true
	s.tail.release()
	s.endAttempt(err == io.EOF && framed && !s.resp.Close)
	return err
}

// Result returns how the stream ended.
func (s *stream) Result() core.Result { return s.result }

// Close aborts the stream.
func (s *stream) Close() error {
	s.abort()
	return nil
}
