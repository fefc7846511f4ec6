package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"testing"
)

// fragmentReader returns at most size bytes of a text per read.
type fragmentReader struct {
	text []byte
	size int
}

func (p *fragmentReader) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// FuzzChunked compares the chunked decoder with that of net/http. Every body that it accepts must
// decode to the same bytes where net/http accepts it too, and the result must not depend on how the
// bytes are split into reads.
func FuzzChunked(f *testing.F) {
	for _, s := range []string{
		"5\r\nhello\r\n0\r\n\r\n", "5;x=y\r\nhello\r\n3\r\nyou\r\n0\r\nTrailer: x\r\n\r\n", "0\r\n\r\n", "zz\r\n", "5\r\nhel", "5\r\nhelloXX3\r\nyou\r\n0\r\n\r\n",
		"00000005\r\nhello\r\n00\r\n\r\n", "fffffff\r\n", "-1\r\n", "5 \r\nhello\r\n0\r\n\r\n", "5\nhello\n0\n\n", "",
	} {
		f.Add([]byte(s), 1)
		f.Add([]byte(s), 7)
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		read := func(size int) ([]byte, error) {
			return io.ReadAll(&chunked{reader: bufio.NewReader(&fragmentReader{text: text, size: size})})
		}
		got, err := read(1 + size&63)
		unsplit, unsplitErr := read(1 << 20)
		if !bytes.Equal(got, unsplit) || (err == nil) != (unsplitErr == nil) {
			t.Fatalf("%q: %q, %v in fragments; %q, %v in one read", text, got, err, unsplit, unsplitErr)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				t.Fatalf("%q: a broken body ends with io.EOF, as a complete one does", text)
			}
			return
		}
		want, libraryErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if libraryErr == nil && !bytes.Equal(got, want) {
			t.Fatalf("%q: %q, net/http reads %q", text, got, want)
		}
	})
}
