package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"testing"
)

// parts gives a text out in parts of a length.
type parts struct {
	text []byte
	size int
}

func (p *parts) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// FuzzChunked holds the framing of answers against the library's reader: what is accepted
// whole is what that makes of it, and however the bytes come, the result is the same.
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
			return io.ReadAll(&chunked{from: bufio.NewReader(&parts{text: text, size: size})})
		}
		got, err := read(1 + size&63)
		all, allErr := read(1 << 20)
		if !bytes.Equal(got, all) || (err == nil) != (allErr == nil) {
			t.Fatalf("%q: %q, %v in parts; %q, %v at once", text, got, err, all, allErr)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				t.Fatalf("%q: a broken body looks whole", text)
			}
			return
		}
		want, wrong := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if wrong == nil && !bytes.Equal(got, want) {
			t.Fatalf("%q: %q, the library reads %q", text, got, want)
		}
	})
}
