package logging

import (
	"errors"
	"strings"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Each line is one JSON object with the fields that docs/logs.md lists.
func TestLines(t *testing.T) {
	var b strings.Builder
	log := New(&b, false).With("part", "consul")
	log.Debug("not shown")
	log.Warn("agent lost", "agent", "127.0.0.1:1", "cause", errors.New("no\nanswer"), "age", 3*time.Second, "engines", 4)
	var line map[string]any
	if err := jsoniter.Unmarshal([]byte(b.String()), &line); err != nil || strings.Count(b.String(), "\n") != 1 {
		t.Fatalf("%q: %v", b.String(), err)
	}
	if _, err := time.Parse(timeFormat, line["time"].(string)); err != nil {
		t.Error(err)
	}
	delete(line, "time")
	for field, want := range map[string]any{
		"level": "warn", "message": "agent lost", "part": "consul", "agent": "127.0.0.1:1", "cause": "no\nanswer", "age": "3s", "engines": 4.0,
	} {
		if line[field] != want {
			t.Errorf("field %s: %v, want %v", field, line[field], want)
		}
	}
}
