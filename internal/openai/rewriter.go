package openai

import (
	"bytes"
	"strconv"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

// rewriter converts an engine's events to the client's: it replaces the id, object and model by the
// gateway's, adds members of the metadata that an event lacks and copies all other bytes. To avoid
// allocations per event, it does not decode values.
type rewriter struct {
	scanner      sse.Scanner
	onEvent      func(sse.Event) error
	out          []byte
	id           []byte // this and the next three are JSON texts
	model        []byte
	object       []byte
	created      []byte
	includeUsage bool // the client requested the usage event
	resumable    bool // events get ids and their content is recorded, so that a broken answer can be continued
	template     template
	state        resume.Progress
}

func newRewriter(h metadata, includeUsage, resumable bool) *rewriter {
	r := &rewriter{
		id: quote(h.id), model: quote(h.model), object: quote(h.object), created: strconv.AppendInt(nil, h.created, 10),
		includeUsage: includeUsage, resumable: resumable,
	}
	r.onEvent = r.handleEvent
	return r
}

func (r *rewriter) contentType() string        { return eventStream }
func (r *rewriter) progress() *resume.Progress { return &r.state }
func (r *rewriter) complete() bool             { return r.state.StreamEnded() && r.state.Complete() }
func (r *rewriter) heldBytes() int             { return 0 }
func (r *rewriter) discardPartial()            { r.scanner = sse.Scanner{} }
func (r *rewriter) nextAttempt()               { r.state.PrepareNextAttempt() }

// translate appends to dst the client's events for p, the next bytes of the stream.
func (r *rewriter) translate(dst, p []byte) ([]byte, error) {
	r.out = dst
	err := r.scanner.Write(p, r.onEvent)
	return r.out, err
}

// finish handles the end of a stream. Some engines omit the final [DONE] event, so it is added if
// every choice has finished; otherwise the answer is truncated.
func (r *rewriter) finish(dst []byte) ([]byte, error) {
	r.out = dst
	if err := r.scanner.End(r.onEvent); err != nil || r.complete() {
		return r.out, err
	}
	if !r.state.Complete() {
		return r.out, errTruncated
	}
	return r.writeDone(), nil
}

// handleDone handles the engine's end marker. An answer that lacks a choice is truncated all the same.
func (r *rewriter) handleDone() error {
	r.state.RecordStreamEnd()
	if !r.state.Complete() {
		return errTruncated
	}
	r.writeDone()
	return nil
}

// writeDone appends the [DONE] event that ends a stream.
func (r *rewriter) writeDone() []byte {
	r.state.RecordStreamEnd()
	r.out = append(r.out, "data: "+doneData+"\n\n"...)
	return r.out
}

// failure returns the error event that ends a broken answer.
func (r *rewriter) failure(e apiError) []byte {
	return append(append([]byte("data: "), e.object()...), "\n\n"...)
}

// handleEvent converts one event of the engine.
func (r *rewriter) handleEvent(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if r.state.StreamEnded() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, doneBytes) {
		return r.handleDone()
	}
	if r.template.prefixLen > 0 && r.applyTemplate(data) {
		return nil
	}
	start := len(r.out)
	r.template.prefixLen = 0
	if r.resumable {
		r.writeEventID()
	}
	r.out = append(r.out, "data: {"...)
	has, err := r.rewriteMembers(data, start)
	if err != nil {
		r.out = r.out[:start]
		return err
	}
	r.addMissing(has)
	if bytes.IndexByte(data, '\n') >= 0 || bytes.IndexByte(data, '\r') >= 0 {
		replaceLineBreaks(r.out[bytes.IndexByte(r.out[start:], '{')+start:])
	}
	r.out = append(r.out, "}\n\n"...)
	if has.choices {
		hasChoices, err := recordChoices(&r.state, has.choicesSpan.Of(data), r.resumable)
		if err != nil {
			r.out = r.out[:start]
			return err
		}
		if !hasChoices && has.usage && !r.includeUsage {
			r.out = r.out[:start] // the usage event was requested by the gateway, not by the client
			return nil
		}
		if !has.usage {
			r.template.capture(data, has.choicesSpan, has.choicesStart, r.out[start:])
		}
	}
	r.state.RecordSent()
	return nil
}

// memberSet records which of the members that the rewriter reads were present in an event.
type memberSet struct {
	id, model, object, created, usage, choices bool

	choicesSpan  jsonscan.Span // in the input
	choicesStart int           // in the output, from the start of the event
}

// rewriteMembers appends an event's members, with the engine's metadata replaced. start is the offset
// of the event in the output.
func (r *rewriter) rewriteMembers(data []byte, start int) (has memberSet, err error) {
	w := jsonscan.Object(data)
	for {
		name, value, ok := w.Next()
		if !ok {
			break
		}
		text := value.Of(data)
		switch string(name) {
		case "id":
			has.id, text = true, r.id
		case "model":
			has.model, text = true, r.model
		case "object":
			has.object, text = true, r.object
		case "created":
			has.created = true
		case "choices":
			has.choices, has.choicesSpan = true, value
		case "usage":
			has.usage = !value.IsNull(data)
			if !r.includeUsage {
				continue
			}
		case "error":
			if value.IsNull(data) {
				continue
			}
			return has, reportedError{errorMessage(text)}
		}
		if r.out[len(r.out)-1] != '{' {
			r.out = append(r.out, ',')
		}
		member := w.Member()
		// The name is copied with its escapes.
		r.out = append(append(r.out, data[member.Start:value.Start]...), text...)
		if has.choices && value == has.choicesSpan {
			has.choicesStart = len(r.out) - len(text) - start
		}
	}
	if w.Err() != nil {
		return has, errInvalidChunk
	}
	return has, nil
}

// addMissing appends the metadata members that an event lacked.
func (r *rewriter) addMissing(has memberSet) {
	if !has.id {
		r.out = appendMember(r.out, nameID, r.id)
	}
	if !has.object {
		r.out = appendMember(r.out, nameObject, r.object)
	}
	if !has.created {
		r.out = appendMember(r.out, nameCreated, r.created)
	}
	if !has.model {
		r.out = appendMember(r.out, nameModel, r.model)
	}
}

// writeEventID appends the id of the current event, its sequence number.
func (r *rewriter) writeEventID() {
	r.out = append(strconv.AppendInt(append(r.out, "id: "...), int64(r.state.SentEvents()), 10), '\n')
}

// replaceLineBreaks replaces line breaks, which would end the event's data line, by spaces. In JSON,
// unescaped line breaks occur only between tokens.
func replaceLineBreaks(text []byte) {
	for i, c := range text {
		if c == '\n' || c == '\r' {
			text[i] = ' '
		}
	}
}
