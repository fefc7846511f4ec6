package upstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// chunked reads a chunked body and returns what has come at once. The library's
// reader waits for the whole of a chunk that has begun, and so would hold back an
// event that has arrived while the next one stalls.
type chunked struct {
	r     *bufio.Reader
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
	if c.err == nil && c.left == 0 {
		c.err = c.next()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

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
	raw, err := c.r.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(raw), "\r\n"), err
}
