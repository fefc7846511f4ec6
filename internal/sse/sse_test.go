package sse

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// taken reads a stream that comes in parts of a length.
func taken(t testing.TB, text string, part int) []string {
	var s Scanner
	var out []string
	each := func(e Event) error {
		out = append(out, fmt.Sprintf("%s|%s|%s", e.Name, e.ID, e.Data))
		return nil
	}
	for len(text) > 0 {
		n := min(part, len(text))
		if err := s.Write([]byte(text[:n]), each); err != nil {
			t.Fatal(err)
		}
		text = text[n:]
	}
	if err := s.End(each); err != nil {
		t.Fatal(err)
	}
	return out
}

// slow is the standard's algorithm as it is written there, a line at a time over the
// whole text.
func slow(text string) (out []string) {
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

// However a stream is split, its events are the same.
func TestSplitAtEveryByte(t *testing.T) {
	for _, text := range streams {
		for part := 1; part <= len(text)+1; part++ {
			if diff := cmp.Diff(slow(text), taken(t, text, part)); diff != "" {
				t.Errorf("%q in parts of %d: %s", text, part, diff)
			}
		}
	}
}

func FuzzScanner(f *testing.F) {
	for _, s := range streams {
		f.Add(s, 1)
		f.Add(s, 5)
	}
	f.Fuzz(func(t *testing.T, text string, part int) {
		if diff := cmp.Diff(slow(text), taken(t, text, max(1, part%64))); diff != "" {
			t.Errorf("%q in parts of %d: %s", text, part, diff)
		}
	})
}

func TestUnterminatedEventIsRefused(t *testing.T) {
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
	each := func(Event) error { return nil }
	if n := testing.AllocsPerRun(100, func() {
		s.rest = s.rest[:0]
		_ = s.Write(text, each)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
