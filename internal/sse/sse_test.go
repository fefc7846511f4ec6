package sse

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// scanAll returns the events of a stream that arrives in parts of partSize bytes.
func scanAll(t testing.TB, text string, partSize int) []string {
	var s Scanner
	var out []string
	handle := func(e Event) error {
		out = append(out, fmt.Sprintf("%s|%s|%s", e.Name, e.ID, e.Data))
		return nil
	}
	for len(text) > 0 {
		n := min(partSize, len(text))
		if err := s.Write([]byte(text[:n]), handle); err != nil {
			t.Fatal(err)
		}
		text = text[n:]
	}
	if err := s.End(handle); err != nil {
		t.Fatal(err)
	}
	return out
}

// reference implements the standard's algorithm literally, line by line over the complete text.
func reference(text string) (out []string) {
	text = strings.TrimPrefix(text, "\xEF\xBB\xBF")
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n") + "\n\n"
	var name, id string
	var data []string
	for line := range strings.SplitSeq(text, "\n") {
		if line == "" {
			if data != nil {
				out = append(out, fmt.Sprintf("%s|%s|%s", name, id, strings.Join(data, "\n")))
			}
			name, id, data = "", "", nil
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "data":
			data = append(data, value)
		case "event":
			name = value
		case "id":
			id = value
		}
	}
	return out
}

var streams = []string{
	"data: a\n\ndata: b\n\n",
	"data: a\r\n\r\ndata: b\r\n\r\n",
	"data: a\r\rdata: b\r\r",
	"data:a\ndata:  b\ndata\n\n",
	": ping\n\ndata: a\n: pong\n\n",
	"\xEF\xBB\xBFdata: a\n\n",
	"event: error\nid: 7\ndata: {}\n\n",
	"data: a\n\ndata: no blank line",
	"data: a\r\n\r\ndata: b\r",
	"\xEF\xBBdata: a\n\n", "\xEF", "", "\n\n\n", "data: a\n\r\ndata: b\r\n\n", "retry: 3\ndata: a\n\n",
}

// TestSplitAtEveryByte checks that a stream has the same events for every size of its parts.
func TestSplitAtEveryByte(t *testing.T) {
	for _, text := range streams {
		for partSize := 1; partSize <= len(text)+1; partSize++ {
			if diff := cmp.Diff(reference(text), scanAll(t, text, partSize)); diff != "" {
				t.Errorf("%q in parts of %d: %s", text, partSize, diff)
			}
		}
	}
}

// FuzzScanner compares the scanner with the reference implementation.
func FuzzScanner(f *testing.F) {
	for _, s := range streams {
		f.Add(s, 1)
		f.Add(s, 5)
	}
	f.Fuzz(func(t *testing.T, text string, partSize int) {
		if diff := cmp.Diff(reference(text), scanAll(t, text, max(1, partSize%64))); diff != "" {
			t.Errorf("%q in parts of %d: %s", text, partSize, diff)
		}
	})
}

func TestOversizedEventIsRejected(t *testing.T) {
	var s Scanner
	var err error
	for range 2 * MaxEventSize / 1024 {
		if err = s.Write(bytes.Repeat([]byte("data: "), 1024/6), func(Event) error { return nil }); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrEventTooLarge) {
		t.Error(err)
	}
}

func TestNoAllocations(t *testing.T) {
	text := []byte(strings.Repeat("data: {\"a\":1}\n\n", 20) + "data: {\"b")
	var s Scanner
	handle := func(Event) error { return nil }
	if n := testing.AllocsPerRun(100, func() {
		s.partial = s.partial[:0]
		_ = s.Write(text, handle)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
