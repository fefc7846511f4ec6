package clientconn

import "testing"

// FuzzFraming checks that the result doesn't depend on how the bytes are split over calls of advance:
// the same number of requests, and an error in both cases or in neither. It also checks that the number
// of valid bytes doesn't exceed the length of the input.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\n\r\n"), uint8(2))
	f.Add([]byte("\r\nGET / HTTP/1.1\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var whole framing
		valid, err := whole.advance(text)
		if valid < 0 || valid > len(text) || err == nil && valid != len(text) {
			t.Fatalf("%d of %d bytes valid, error %v", valid, len(text), err)
		}
		var split framing
		var splitErr error
		for at, size := 0, int(step)+1; at < len(text) && splitErr == nil; at += size {
			p := text[at:min(at+size, len(text))]
			var n int
			if n, splitErr = split.advance(p); n < 0 || n > len(p) {
				t.Fatalf("%d of %d bytes valid", n, len(p))
			}
		}
		if (err == nil) != (splitErr == nil) || whole.complete != split.complete || whole.betweenRequests() != split.betweenRequests() {
			t.Errorf("in one call: %d complete, error %v; in calls of %d bytes: %d complete, error %v", whole.complete, err, int(step)+1, split.complete, splitErr)
		}
	})
}
