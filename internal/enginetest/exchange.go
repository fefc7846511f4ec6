// Package enginetest provides helpers for tests of several packages: playback of recorded byte exchanges
// against a server under test, engines with scripted answers, and waits for conditions.
package enginetest

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Exchange is one recorded file: the bytes to send and the expected answer. In the file, `> ` prefixes a
// line to send, `< ` an expected line and `# ` a comment. On the wire a line ends in CRLF; a line that
// ends in a backslash in the file has no line end on the wire.
type Exchange struct{ Send, Want string }

// ReadExchange reads a recorded exchange from a file.
func ReadExchange(t testing.TB, path string) Exchange {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var x Exchange
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSuffix(line, "\n") + "\r\n"
		line = strings.Replace(line, "\\\r\n", "", 1)
		switch {
		case strings.HasPrefix(line, ">"):
			x.Send += strings.TrimPrefix(line[1:], " ")
		case strings.HasPrefix(line, "<"):
			x.Want += strings.TrimPrefix(line[1:], " ")
		}
	}
	return x
}

// EachRecording runs a subtest for each recording in the package's testdata directory.
func EachRecording(t *testing.T, run func(t *testing.T, file string)) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no recordings in testdata:", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { run(t, file) })
	}
}

// Play sends a recording's bytes to addr and compares the answer, read until the server closes the
// connection, with the expected one. Dates, ids and creation times differ between runs and are ignored.
// replace lists pairs of old and new texts to substitute in the bytes sent.
func Play(t *testing.T, addr, path string, replace ...string) {
	t.Helper()
	x := ReadExchange(t, path)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, strings.NewReplacer(replace...).Replace(x.Send)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(recordVar) != "" {
		record(t, path, string(got))
		return
	}
	if diff := cmp.Diff(lines(x.Want), lines(string(got))); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// recordVar is an environment variable. If it is set, Play writes the answers into the recordings instead
// of comparing them; review the result before committing it.
const recordVar = "PLAYBACK_RECORD"

func record(t *testing.T, path, got string) {
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for line := range strings.Lines(string(raw)) {
		if !strings.HasPrefix(line, "<") {
			out.WriteString(line)
		}
	}
	head, _, _ := strings.Cut(got, "\r\n\r\n")
	for i, line := range lines(got) {
		if i == len(lines(head)) {
			out.WriteString("< \n")
		}
		out.WriteString("< " + line + "\n")
	}
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// lines normalizes an answer for comparison: it sorts the headers and drops all chunk sizes except that of
// the last chunk, as a server may split chunks freely.
func lines(s string) []string {
	s = regexp.MustCompile(`(cmpl-|resp_|msg_|fc_|X-Request-Id: )[0-9a-f]{24}`).ReplaceAllString(s, "${1}ID")
	s = regexp.MustCompile(`"created(_at)?":[0-9]+`).ReplaceAllString(s, `"created$1":0`)
	head, body, _ := strings.Cut(s, "\r\n\r\n")
	headers := strings.Split(head, "\r\n")
	slices.Sort(headers[1:])
	chunkSize := regexp.MustCompile(`^[1-9a-f][0-9a-f]*$`)
	return slices.DeleteFunc(append(headers, strings.FieldsFunc(body, func(r rune) bool { return r == '\r' || r == '\n' })...),
		func(line string) bool { return strings.HasPrefix(line, "Date:") || chunkSize.MatchString(line) })
}

// StreamHead is the status line and headers of a streamed answer.
const StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
