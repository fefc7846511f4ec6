package upstream

import (
	"compress/gzip"
	"io"
)

// gzipBody is a response body that an engine has compressed (RFC 9110, 8.4.1.3). The gzip header is
// read with the first byte of the body, as the body may begin long after the response head.
type gzipBody struct {
	source io.Reader
	reader *gzip.Reader
}

func (b *gzipBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		r, err := gzip.NewReader(b.source)
		if err != nil {
			return 0, err
		}
		b.reader = r
	}
	n, err := b.reader.Read(p)
	if err == io.EOF {
		// The framing must end here as well. Its unread end would be read as the beginning of the next
		// response.
		var next [1]byte
		if extra, sourceErr := b.source.Read(next[:]); extra > 0 || sourceErr != io.EOF {
			return n, errNotEventStream
		}
	}
	return n, err
}
