// Package control implements the protocol by which operators send commands to a running gateway:
// one line per connection, answered with YES or NO, after which the connection is closed.
package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"
)

// Limits of the protocol.
const (
	// AnswerTimeout is the longest time from accepting a connection to its answer. Callers are
	// promised an answer within 1 s; the rest is margin for writing it.
	AnswerTimeout = 750 * time.Millisecond
	// writeTimeout bounds writing the answer. It comes on top of AnswerTimeout.
	writeTimeout = 150 * time.Millisecond
	// MaxConnections is how many connections may be open at once. One more is answered
	// answerBusy without being read.
	MaxConnections = 128
	// MaxLineBytes is the longest line that is accepted as a command.
	MaxLineBytes = 256
	// readChunkBytes is the size of a read; most commands fit into one.
	readChunkBytes = 64
)

// The answers.
const (
	answerYes  = "YES\n"
	answerNo   = "NO\n"
	answerBusy = "NO busy\n"
)

var errLineTooLong = errors.New("line too long")

// Handler carries out a command and reports whether it was accepted. It must return before ctx
// ends; an acceptance after that is answered NO.
type Handler func(ctx context.Context, command Command) bool

// Serve accepts connections from l and answers one command on each, until ctx ends or l fails.
// Errors of Accept are taken as permanent; temporary ones are for l to handle, see internal/accept.
// Serve closes l.
func Serve(ctx context.Context, l net.Listener, handle Handler, log *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, MaxConnections)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case slots <- struct{}{}:
			// Nobody waits for these goroutines: deadlines end each of them within
			// AnswerTimeout and writeTimeout, and there are at most MaxConnections.
			go func() {
				defer func() { <-slots }()
				serveConn(ctx, conn, handle, log)
			}()
		default:
			rejectBusy(conn)
		}
	}
}

// rejectBusy answers a connection beyond MaxConnections. It is called on the accepting goroutine;
// an answer that short fits into an empty send buffer, so writing it does not block.
func rejectBusy(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(AnswerTimeout))
	io.WriteString(conn, answerBusy)
	conn.Close()
}

// serveConn reads one command, answers it and closes the connection.
func serveConn(ctx context.Context, conn net.Conn, handle Handler, log *slog.Logger) {
	defer conn.Close()
	deadline := time.Now().Add(AnswerTimeout)
	conn.SetDeadline(deadline)
	answer := answerNo
	if line, err := readLine(conn); err == nil && handleLine(ctx, deadline, line, handle, log) {
		answer = answerYes
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // reading may have taken all of AnswerTimeout
	io.WriteString(conn, answer)
}

// handleLine reports whether line is a command that was accepted before the deadline.
func handleLine(ctx context.Context, deadline time.Time, line string, handle Handler, log *slog.Logger) bool {
	command, err := Parse(line)
	if err != nil {
		log.Warn("malformed command", "line", line)
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	accepted := handle(ctx, command) && ctx.Err() == nil
	log.Info("command", "verb", string(command.Verb), "engine", command.EngineID, "accepted", accepted)
	return accepted
}

// readLine reads up to the first line end. A line may also end with the connection's write side. A
// line longer than MaxLineBytes is an error, and so is none by the connection's deadline.
func readLine(conn net.Conn) (string, error) {
	line := make([]byte, 0, readChunkBytes)
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := conn.Read(chunk)
		line = append(line, chunk[:n]...)
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			return strings.TrimSuffix(string(line[:end]), "\r"), nil
		}
		if len(line) > MaxLineBytes {
			return "", errLineTooLong
		}
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return string(line), nil
		}
		if err != nil {
			return "", err
		}
	}
}
