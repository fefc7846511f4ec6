package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// chunked decodes a chunked body. Read returns the bytes that have arrived. The reader of net/http
// waits for the remainder of a chunk that has begun, and so would delay an event that has arrived
// while the next one stalls.
type chunked struct {
	reader         *bufio.Reader
	remaining      int64 // bytes of the chunk that is being read
	lineEndPending bool  // a chunk has been read, but not the line end after it
	err            error
}

// Limits of a chunk. An engine that declares a chunk of gigabytes is broken, and all bytes that it
// sends would be forwarded as part of that chunk.
const (
	maxChunk    = 1 << 20
	maxChunkHex = 8
)

var errMalformedChunk = errors.New("malformed chunk")

func (c *chunked) Read(p []byte) (int, error) {
	total := 0
	for {
		if c.err == nil && c.remaining == 0 {
			c.err = c.nextChunk()
		}
		if c.err != nil || len(p) == 0 {
			if total > 0 {
				return total, nil // the next call returns the error
			}
			return 0, c.err
		}
		n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
		if c.remaining -= int64(n); errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		c.err = err
		if total += n; err != nil {
			return total, err
		}
		if p = p[n:]; len(p) == 0 || !c.moreBuffered() {
			return total, nil
		}
	}
}

// moreBuffered reports whether more of the body can be read without blocking: the remainder of a
// chunk, or the size of the next chunk and a part of its data.
func (c *chunked) moreBuffered() bool {
	available := c.reader.Buffered()
	if c.remaining > 0 || available == 0 {
		return available > 0
	}
	const maxSizeLine = len("\r\n") + maxChunkHex + len("\r\n")
	next, err := c.reader.Peek(min(available, maxSizeLine))
	if err != nil {
		return false
	}
	_, next, found := bytes.Cut(next, lineFeed)
	if !found {
		return false
	}
	digits, _, complete := bytes.Cut(next, lineFeed)
	// The last chunk is followed by a trailer, which may not have arrived.
	return complete && len(digits) > 0 && digits[0] != '0'
}

var lineFeed = []byte("\n")

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the last chunk only.
func (c *chunked) nextChunk() error {
	if c.lineEndPending {
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
	if c.lineEndPending = true; c.remaining > 0 {
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
	raw, err := c.reader.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(string(raw), "\r\n"), err
}
