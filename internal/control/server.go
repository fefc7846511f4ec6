// Package control implements the protocol by which operators send commands to a running gateway:
// each connection carries one command line, gets YES or NO as its answer and is then closed.
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
	// AnswerTimeout is the maximum time from accepting a connection to determining its answer. Callers
	// are promised an answer within 1 s; the difference is margin for writing it.
	AnswerTimeout = 750 * time.Millisecond
	// writeTimeout bounds writing the answer, in addition to AnswerTimeout.
	writeTimeout = 150 * time.Millisecond
	// MaxConnections is the maximum number of concurrently open connections. Connections beyond it
	// are answered with answerBusy without being read.
	MaxConnections = 128
	// MaxLineBytes is the maximum length of a command line.
	MaxLineBytes = 256
	// readChunkBytes is the size of a read; most commands fit into one.
	readChunkBytes = 64
)

// Answers of the protocol.
const (
	answerYes  = "YES\n"
	answerNo   = "NO\n"
	answerBusy = "NO busy\n"
)

var errLineTooLong = errors.New("line too long")

// Handler executes a command and reports whether it was accepted. It must return before ctx is done;
// an acceptance after that is answered with NO.
type Handler func(ctx context.Context, command Command) bool

// Serve accepts connections from l and answers one command on each, until ctx is done or l fails.
// It treats every error of Accept as permanent: l must handle transient errors itself, as a listener of
// internal/accept does. Serve closes l.
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
			// Serve does not wait for these goroutines: deadlines end each of them within
			// AnswerTimeout plus writeTimeout, and there are at most MaxConnections.
			go func() {
				defer func() { <-slots }()
				serveConn(ctx, conn, handle, log)
			}()
		default:
			rejectBusy(conn)
		}
	}
}

// rejectBusy answers a connection beyond MaxConnections. It runs on the accepting goroutine; the
// answer fits into the empty send buffer of the connection, so writing it does not block.
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
	conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // reading may have used up AnswerTimeout
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

// readLine reads up to the first line feed. The last line may also be terminated by the peer closing
// its write side. A line longer than MaxLineBytes is an error, and so is a read deadline that expires
// before the end of the line.
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
