package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// chunked reads a chunked body and returns what has arrived at once. The library's reader waits for
// the rest of a chunk that has begun, and so would hold back an event that has arrived while the
// next one stalls.
type chunked struct {
	from       *bufio.Reader
	remaining  int64 // bytes of the current chunk
	lineEndDue bool  // a chunk has been read, and the line end after it has not
	err        error
}

// Limits of a chunk. An engine that declares gigabytes is broken, and its bytes would be forwarded
// for as long as they come.
const (
	maxChunk    = 1 << 20
	maxChunkHex = 8
)

var errMalformedChunk = errors.New("malformed chunk")

func (c *chunked) Read(p []byte) (int, error) {
	all := 0
	for {
		if c.err == nil && c.remaining == 0 {
			c.err = c.nextChunk()
		}
		if c.err != nil || len(p) == 0 {
			if all > 0 {
				return all, nil // the next call returns the error
			}
			return 0, c.err
		}
		n, err := c.from.Read(p[:min(int64(len(p)), c.remaining)])
		if c.remaining -= int64(n); errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		c.err = err
		if all += n; err != nil {
			return all, err
		}
		if p = p[n:]; len(p) == 0 || !c.moreBuffered() {
			return all, nil
		}
	}
}

// moreBuffered reports whether more of the body can be read without blocking: the rest of a chunk,
// or the next one's size and a part of it.
func (c *chunked) moreBuffered() bool {
	have := c.from.Buffered()
	if c.remaining > 0 || have == 0 {
		return have > 0
	}
	const size = len("\r\n") + maxChunkHex + len("\r\n")
	ahead, err := c.from.Peek(min(have, size))
	if err != nil {
		return false
	}
	_, ahead, ended := bytes.Cut(ahead, lineFeed)
	if !ended {
		return false
	}
	number, _, whole := bytes.Cut(ahead, lineFeed)
	// The last chunk has a trailer, which may not have arrived.
	return whole && len(number) > 0 && number[0] != '0'
}

var lineFeed = []byte("\n")

// nextChunk reads up to the next chunk's bytes; it returns io.EOF after the last chunk only.
func (c *chunked) nextChunk() error {
	if c.lineEndDue {
		if line, err := c.readLine(); err != nil || line != "" {
			return errors.Join(err, errMalformedChunk)
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 32)
	if err != nil || len(size) > maxChunkHex || n > maxChunk {
		return errMalformedChunk
	}
	c.remaining = int64(n)
	if c.lineEndDue = true; c.remaining > 0 {
		return nil
	}
	for { // the trailer
		if line, err := c.readLine(); err != nil {
			return err
		} else if line == "" {
			return io.EOF
		}
	}
}

func (c *chunked) readLine() (string, error) {
	raw, err := c.from.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(raw), "\r\n"), err
}
