package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// chunked reads a chunked body and returns what has come at once. The library's
// reader waits for the whole of a chunk that has begun, and so would hold back an
// event that has arrived while the next one stalls.
type chunked struct {
	from  *bufio.Reader
	left  int64 // of the chunk under way
	begun bool  // a chunk has been read, and the line end after it has not
	err   error
}

// Bounds of a chunk. An engine that declares gigabytes is broken, and would have
// its junk passed on for as long as it comes.
const (
	maxChunk    = 1 << 20
	maxChunkHex = 8
)

var errChunk = errors.New("malformed chunk")

func (c *chunked) Read(p []byte) (int, error) {
	all := 0
	for {
		if c.err == nil && c.left == 0 {
			c.err = c.next()
		}
		if c.err != nil || len(p) == 0 {
			if all > 0 {
				return all, nil // the error is told by the next call
			}
			return 0, c.err
		}
		n, err := c.from.Read(p[:min(int64(len(p)), c.left)])
		if c.left -= int64(n); errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		c.err = err
		if all += n; err != nil {
			return all, err
		}
		if p = p[n:]; len(p) == 0 || !c.here() {
			return all, nil
		}
	}
}

// here tells whether more of the body has come and can be read without waiting: the rest
// of a chunk, or the next one's size and a part of it.
func (c *chunked) here() bool {
	have := c.from.Buffered()
	if c.left > 0 || have == 0 {
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
	// The last chunk has a trailer, which may not have come.
	return whole && len(number) > 0 && number[0] != '0'
}

var lineFeed = []byte("\n")

// next reads up to the next chunk; io.EOF comes after the last one alone.
func (c *chunked) next() error {
	if c.begun {
		if line, err := c.line(); err != nil || line != "" {
			return errors.Join(err, errChunk)
		}
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 32)
	if err != nil || len(size) > maxChunkHex || n > maxChunk {
		return errChunk
	}
	c.left = int64(n)
	if c.begun = true; c.left > 0 {
		return nil
	}
	for { // the trailer
		if line, err := c.line(); err != nil {
			return err
		} else if line == "" {
			return io.EOF
		}
	}
}

func (c *chunked) line() (string, error) {
	raw, err := c.from.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(raw), "\r\n"), err
}
