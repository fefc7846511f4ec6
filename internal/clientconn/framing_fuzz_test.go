package clientconn

import "testing"

// However a client's bytes are cut up, its requests end in the same places, or the same
// stretch is in error; what is good never exceeds what was given.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\n\r\n"), uint8(2))
	f.Add([]byte("\r\nGET / HTTP/1.1\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var whole framing
		good, err := whole.advance(text)
		if good < 0 || good > len(text) || err == nil && good != len(text) {
			t.Fatalf("%d of %d good, %v", good, len(text), err)
		}
		var cut framing
		var cutErr error
		for at, size := 0, int(step)+1; at < len(text) && cutErr == nil; at += size {
			p := text[at:min(at+size, len(text))]
			var n int
			if n, cutErr = cut.advance(p); n < 0 || n > len(p) {
				t.Fatalf("%d of %d good", n, len(p))
			}
		}
		if (err == nil) != (cutErr == nil) || whole.complete != cut.complete || whole.betweenRequests() != cut.betweenRequests() {
			t.Errorf("whole: %d complete, %v; by %d: %d, %v", whole.complete, err, int(step)+1, cut.complete, cutErr)
		}
	})
}
