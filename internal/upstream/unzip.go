package upstream

import (
	"compress/gzip"
	"io"
)

// unzipped is a body that an engine has compressed (RFC 9110, 8.4.1.3). Its head is read
// with its first byte, as the body may begin long after the answer's head.
type unzipped struct {
	from io.Reader
	zip  *gzip.Reader
}

func (u *unzipped) Read(p []byte) (int, error) {
	if u.zip == nil {
		z, err := gzip.NewReader(u.from)
		if err != nil {
			return 0, err
		}
		u.zip = z
	}
	n, err := u.zip.Read(p)
	if err == io.EOF {
		// The framing has to end as well, lest the next answer begin with its end.
		var one [1]byte
		if more, ferr := u.from.Read(one[:]); more > 0 || ferr != io.EOF {
			return n, errNotEventStream
		}
	}
	return n, err
}
