package openai

import (
	"bytes"
	"errors"
	"strconv"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Faults of a stream that its client is told of.
var (
	errInvalidChunk = errors.New("an event that is no JSON object")
	errTruncated    = errors.New("the stream ended before its answer did")
)

// reportedError is an engine's own word, in the middle of a stream, that it has failed.
type reportedError struct{ text string }

func (e reportedError) Error() string { return "the engine reports an error: " + e.text }

// head is what every event of an answer repeats.
type head struct {
	id, model, object string
	created           int64
}

// rewriter turns an engine's events into those that a client gets: the id and the model
// are the gateway's, what engines leave out is added, and all else passes byte by byte.
// Nothing is decoded, and nothing allocated for an event.
type rewriter struct {
	scanner      sse.Scanner
	onEvent      func(sse.Event) error
	out          []byte
	id           []byte // JSON texts
	model        []byte
	object       []byte
	created      []byte
	includeUsage bool // the client wants to see it
	resumable    bool // events are numbered, and what they say is noted, so that an answer which breaks can go on
	template     template
	state        resume.Answer
}

func newRewriter(h head, usage, follows bool) *rewriter {
	r := &rewriter{
		id: quote(h.id), model: quote(h.model), object: quote(h.object), created: strconv.AppendInt(nil, h.created, 10),
		includeUsage: usage, resumable: follows,
	}
	r.onEvent = r.handleEvent
	return r
}

func (r *rewriter) contentType() string      { return eventStream }
func (r *rewriter) progress() *resume.Answer { return &r.state }
func (r *rewriter) complete() bool           { return r.state.Over() }
func (r *rewriter) discardPartial()          { r.scanner = sse.Scanner{} }
func (r *rewriter) nextAttempt()             { r.state.Next() }

// translate adds what the client gets, now that p has come, to dst.
func (r *rewriter) translate(dst, p []byte) ([]byte, error) {
	r.out = dst
	err := r.scanner.Write(p, r.onEvent)
	return r.out, err
}

// finish takes in the end of a stream. Engines are known to leave out the last event; an
// answer of which a choice has not ended is cut off.
func (r *rewriter) finish(dst []byte) ([]byte, error) {
	r.out = dst
	if err := r.scanner.End(r.onEvent); err != nil || r.state.Over() {
		return r.out, err
	}
	if !r.state.Whole() {
		return r.out, errTruncated
	}
	return r.writeDone(), nil
}

// writeDone writes the last event.
func (r *rewriter) writeDone() []byte {
	r.state.Last()
	r.out = append(r.out, "data: "+doneData+"\n\n"...)
	return r.out
}

// failure is the event that ends an answer which broke.
func (r *rewriter) failure(e apiError) []byte {
	return append(append([]byte("data: "), e.object()...), "\n\n"...)
}

var (
	doneBytes   = []byte(doneData)
	nameID      = []byte("id")
	nameObject  = []byte("object")
	nameCreated = []byte("created")
	nameModel   = []byte("model")
)

func (r *rewriter) handleEvent(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if r.state.Over() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, doneBytes) {
		r.writeDone()
		return nil
	}
	if r.template.prefixLen > 0 && r.applyTemplate(data) {
		return nil
	}
	from := len(r.out)
	r.template.prefixLen = 0
	if r.resumable {
		r.writeEventID()
	}
	r.out = append(r.out, "data: {"...)
	has, err := r.rewriteMembers(data, from)
	if err != nil {
		r.out = r.out[:from]
		return err
	}
	r.addMissing(has)
	if bytes.IndexByte(data, '\n') >= 0 || bytes.IndexByte(data, '\r') >= 0 {
		replaceLineBreaks(r.out[bytes.IndexByte(r.out[from:], '{')+from:]) // in JSON a line feed stands between values only
	}
	r.out = append(r.out, "}\n\n"...)
	if has.choices {
		some, err := recordChoices(&r.state, has.choicesSpan.Of(data), r.resumable)
		if err != nil {
			r.out = r.out[:from]
			return err
		}
		if !some && has.usage && !r.includeUsage {
			r.out = r.out[:from] // asked for by the gateway, not by the client
			return nil
		}
		if !has.usage {
			r.template.capture(data, has.choicesSpan, has.choicesStart, r.out[from:])
		}
	}
	r.state.Passed()
	return nil
}

// memberSet is what an event had of the members that the rewriter looks at.
type memberSet struct {
	id, model, object, created, usage, choices bool

	choicesSpan  jsonscan.Span // in what came
	choicesStart int           // in what goes out, from the event's begin
}

// rewriteMembers writes an event's members, those that name the answer replaced. from is where the
// event begins in what goes out.
func (r *rewriter) rewriteMembers(data []byte, from int) (has memberSet, err error) {
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
			has.usage = !value.Null(data)
			if !r.includeUsage {
				continue
			}
		case "error":
			if value.Null(data) {
				continue
			}
			return has, reportedError{errorMessage(text)}
		}
		if r.out[len(r.out)-1] != '{' {
			r.out = append(r.out, ',')
		}
		member := w.Member()
		// The name as it came, then the value.
		r.out = append(append(r.out, data[member.Start:value.Start]...), text...)
		if has.choices && value == has.choicesSpan {
			has.choicesStart = len(r.out) - len(text) - from
		}
	}
	if w.Err() != nil {
		return has, errInvalidChunk
	}
	return has, nil
}

// addMissing adds the members that every event has and this one had not.
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

// writeEventID writes the number of the event under way.
func (r *rewriter) writeEventID() {
	r.out = append(strconv.AppendInt(append(r.out, "id: "...), int64(r.state.Seen()), 10), '\n')
}

func replaceLineBreaks(text []byte) {
	for i, c := range text {
		if c == '\n' || c == '\r' {
			text[i] = ' '
		}
	}
}
