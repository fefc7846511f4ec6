package upstream

import (
	"bytes"

	jsoniter "github.com/json-iterator/go"
)

// usage holds the token counts of an event of a stream.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

var usageKey = []byte(`"usage"`)

// Usage returns the number of prompt tokens found in the prefix cache and the number of output
// tokens, from the last event with usage figures in a part of a stream; 0 if there is none.
func Usage(events []byte) (cached, output int) {
	for {
		nameAt := bytes.LastIndex(events, usageKey)
		if nameAt < 0 {
			return 0, 0
		}
		start := bytes.LastIndexByte(events[:nameAt], '\n') + 1
		line := events[start:]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end]
		}
		var event struct {
			Usage *usage `json:"usage"`
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok && jsoniter.Unmarshal(data, &event) == nil && event.Usage != nil {
			return max(0, event.Usage.Details.Cached), max(0, event.Usage.Completion)
		}
		events = events[:start]
	}
}
