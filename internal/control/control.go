// Package control answers operators' calls: one line a connection, answered YES
// or NO, then closed.
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

// Bounds of a call.
const (
	// Wait is the longest a call is given, from its connection to its answer: the
	// caller is owed an answer within 1 s.
	Wait = 750 * time.Millisecond
	// writeWait is what the answer itself may take, beyond Wait.
	writeWait = 150 * time.Millisecond
	// MaxOpen is how many calls may be open at once; one more is refused at once.
	MaxOpen = 128
	// MaxLine is the longest line, in bytes, that is read as a call.
	MaxLine = 256
)

// Verb names a call.
type Verb string

// The calls that operators make.
const (
	Status   Verb = "status"    // can this process serve?
	MaintOn  Verb = "maint-on"  // nothing more to engine ID
	MaintOff Verb = "maint-off" // engine ID back
	Standby  Verb = "standby"   // send clients away
	Active   Verb = "active"    // the drain ends
)

// Call is one parsed line.
type Call struct {
	Verb Verb
	ID   string // of maint-on and maint-off
}

// ErrBadCall is returned by Parse for a line that is no call.
var ErrBadCall = errors.New("not a call")

// Parse reads one line, without its end. Spaces round the words do not matter;
// an unknown verb, an id that is missing or too many words are ErrBadCall.
func Parse(line string) (Call, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, ErrBadCall
	}
	c := Call{Verb: Verb(words[0])}
	switch c.Verb {
	case Status, Standby, Active:
		if len(words) != 1 {
			return Call{}, ErrBadCall
		}
	case MaintOn, MaintOff:
		if len(words) != 2 {
			return Call{}, ErrBadCall
		}
		c.ID = words[1]
	default:
		return Call{}, ErrBadCall
	}
	return c, nil
}

// Handler answers a call: true for YES. It must return before ctx ends; an answer
// after that is taken as NO.
type Handler func(ctx context.Context, c Call) bool

// Serve answers calls from l until ctx ends or l fails, for good: errors that pass are l's to deal
// with, see internal/accept. It closes l.
func Serve(ctx context.Context, l net.Listener, h Handler, log *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	open := make(chan struct{}, MaxOpen)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case open <- struct{}{}:
			go func() {
				defer func() { <-open }()
				answer(ctx, conn, h, log)
			}()
		default:
			conn.SetDeadline(time.Now().Add(Wait))
			io.WriteString(conn, "NO busy\n")
			conn.Close()
		}
	}
}

// answer reads one call and answers it.
func answer(ctx context.Context, conn net.Conn, h Handler, log *slog.Logger) {
	defer conn.Close()
	due := time.Now().Add(Wait)
	conn.SetDeadline(due)
	line, err := readLine(conn)
	reply := "NO\n"
	if err == nil {
		if c, perr := Parse(line); perr == nil {
			cctx, done := context.WithDeadline(ctx, due)
			yes := h(cctx, c)
			late := cctx.Err() != nil
			done()
			if yes && !late {
				reply = "YES\n"
			}
			log.Info("call", "verb", string(c.Verb), "id", c.ID, "yes", yes && !late)
		} else {
			log.Warn("call not understood", "line", line)
		}
	}
	conn.SetWriteDeadline(time.Now().Add(writeWait)) // the read may have used all of Wait
	io.WriteString(conn, reply)
}

// readLine reads up to the first line end. A line that ends with the connection's
// write side is taken as it is; one longer than MaxLine, or none by the deadline,
// is an error.
func readLine(conn net.Conn) (string, error) {
	buf := make([]byte, 0, 64)
	chunk := make([]byte, 64)
	for {
		n, err := conn.Read(chunk)
		buf = append(buf, chunk[:n]...)
		if i := bytes.IndexByte(buf, '\n'); i >= 0 {
			return strings.TrimSuffix(string(buf[:i]), "\r"), nil
		}
		if len(buf) > MaxLine {
			return "", errors.New("line too long")
		}
		if errors.Is(err, io.EOF) && len(buf) > 0 {
			return string(buf), nil
		}
		if err != nil {
			return "", err
		}
	}
}
