package openai

// Types of output items and of a message's parts in the responses API.
const (
	messageItem      = "message"
	functionCallItem = "function_call"
	textPart         = "output_text"
	refusalPart      = "refusal"
)

// Statuses of a response and of an item in the responses API.
const (
	statusInProgress = "in_progress"
	statusCompleted  = "completed"
	statusIncomplete = "incomplete"
	statusFailed     = "failed"
)

// outputItemBytes is the approximate memory of an item without its texts.
const outputItemBytes = 384

// outputItem is one item of a response's output.
type outputItem struct {
	id, kind     string // kind: messageItem, functionCallItem
	index        int
	openPart     string // the type of the unfinished part; "" for none
	text         []byte
	refusal      []byte
	callID, name string
	arguments    []byte
}

// contentIndex returns the index of a part in the message's content: the text, if there is any,
// precedes a refusal.
func (it *outputItem) contentIndex(kind string) int {
	if kind == refusalPart && len(it.text) > 0 {
		return 1
	}
	return 0
}

// part returns a part of the message in the API's format.
func (it *outputItem) part(kind, text string) map[string]any {
	if kind == refusalPart {
		return map[string]any{"type": refusalPart, "refusal": text}
	}
	return map[string]any{"type": textPart, "text": text, "annotations": []any{}, "logprobs": []any{}}
}

// object returns the item in the API's format.
func (it *outputItem) object(status string) map[string]any {
	if it.kind == functionCallItem {
		return map[string]any{"id": it.id, "type": functionCallItem, "status": status, "call_id": it.callID, "name": it.name, "arguments": string(it.arguments)}
	}
	content := []any{}
	if len(it.text) > 0 {
		content = append(content, it.part(textPart, string(it.text)))
	}
	if len(it.refusal) > 0 {
		content = append(content, it.part(refusalPart, string(it.refusal)))
	}
	return map[string]any{"id": it.id, "type": messageItem, "status": status, "role": "assistant", "content": content}
}
