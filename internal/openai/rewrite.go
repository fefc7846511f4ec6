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

// template is an event whose one choice has said a piece of content and nothing else, as it
// came and as it went out. The next event mostly differs in that piece alone: what comes
// before and after it has then been checked already, and goes out as it did.
type template struct {
	prefixLen                       int // bytes before the piece; 0 = there is no template
	input, output                   []byte
	suffixStart, outputContentStart int // where what follows the piece begins, in in; and the piece, in out
	outputSuffixStart               int
}

// capture takes an event as the template, if it is of that form.
func (t *template) capture(data []byte, choices jsonscan.Span, at int, out []byte) {
	piece, is := soleContent(choices.Of(data))
	if !is {
		return
	}
	start, end := choices.Start+piece.Start, choices.Start+piece.End
	t.input, t.output = append(t.input[:0], data...), append(t.output[:0], out...)
	t.prefixLen, t.suffixStart = start, end
	t.outputContentStart, t.outputSuffixStart = at+piece.Start, at+piece.End
}

// applyTemplate passes an event on by the template; false if it is of another form.
func (r *rewriter) applyTemplate(data []byte) bool {
	t := &r.template
	rest := t.input[t.suffixStart:]
	if len(data) < t.prefixLen+len(rest) || !bytes.Equal(data[:t.prefixLen], t.input[:t.prefixLen]) || !bytes.HasSuffix(data, rest) {
		return false
	}
	if jsonscan.String(data, t.prefixLen) != len(data)-len(rest) || data[t.prefixLen+1] == '"' {
		return false
	}
	piece := data[t.prefixLen : len(data)-len(rest)]
	out := t.output[:t.outputContentStart]
	if r.resumable {
		text, is := unquote(piece)
		if !is {
			return false
		}
		r.state.Say(text)
		r.writeEventID()
		out = out[bytes.Index(out, dataField):]
	}
	r.out = append(append(append(r.out, out...), piece...), t.output[t.outputSuffixStart:]...)
	r.state.Passed()
	return true
}

var dataField = []byte("data: ")

// soleContent returns where the content stands in choices that are one, whose delta is a
// piece of content and that has not ended.
func soleContent(choices []byte) (piece jsonscan.Span, is bool) {
	list := jsonscan.Array(choices)
	at, ok := list.Element()
	if _, more := list.Element(); !ok || more || list.Err() != nil {
		return piece, false
	}
	choice := at.Of(choices)
	var delta jsonscan.Span
	c := jsonscan.Object(choice)
	for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
		switch string(name) {
		case "delta":
			if delta.End > 0 {
				return piece, false
			}
			delta = value
		case "index":
		case "finish_reason", "logprobs":
			if !value.Null(choice) {
				return piece, false
			}
		default:
			return piece, false
		}
	}
	if delta.End == 0 || choice[delta.Start] != '{' {
		return piece, false
	}
	d := jsonscan.Object(delta.Of(choice))
	name, value, ok := d.Next()
	if _, _, more := d.Next(); !ok || more || d.Err() != nil || string(name) != "content" || value.Of(delta.Of(choice))[0] != '"' {
		return piece, false
	}
	from := at.Start + delta.Start + value.Start
	return jsonscan.Span{Start: from, End: from + value.End - value.Start}, true
}

func replaceLineBreaks(text []byte) {
	for i, c := range text {
		if c == '\n' || c == '\r' {
			text[i] = ' '
		}
	}
}

// recordChoices notes which choices have come and ended and, if it hears, what they say; some
// tells whether there was any.
func recordChoices(so *resume.Answer, choices []byte, hears bool) (some bool, err error) {
	w := jsonscan.Array(choices)
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		some = true
		index, ended := 0, false
		var delta jsonscan.Span
		choice := at.Of(choices)
		c := jsonscan.Object(choice)
		for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
			switch string(name) {
			case "index":
				index, _ = jsonscan.Int(value.Of(choice))
			case "finish_reason":
				ended = !value.Null(choice)
			case "delta":
				delta = value
			case "text":
				so.Other()
			}
		}
		if c.Err() != nil {
			return some, errInvalidChunk
		}
		if hears {
			recordDelta(so, index, delta.Of(choice))
		}
		so.Choice(index, ended)
	}
	if w.Err() != nil && !isNull(choices) {
		return some, errInvalidChunk
	}
	return some, nil
}

// recordDelta notes what a choice's delta says.
func recordDelta(so *resume.Answer, index int, delta []byte) {
	if index != 0 {
		so.Other()
	}
	d := jsonscan.Object(delta)
	for name, value, ok := d.Next(); ok; name, value, ok = d.Next() {
		v := value.Of(delta)
		switch {
		case string(name) == "role" || value.Null(delta) || string(v) == `""` || string(v) == `[]`:
		case string(name) == "content":
			if t, is := unquote(v); is {
				so.Say(t)
			}
		default:
			so.Other()
		}
	}
}

func isNull(text []byte) bool { return len(text) > 0 && text[0] == 'n' }

// errorMessage is what an error object says.
func errorMessage(object []byte) string {
	var e struct {
		Message string `json:"message"`
	}
	if codec.Unmarshal(object, &e) != nil || e.Message == "" {
		return firstLine(string(object))
	}
	return firstLine(e.Message)
}

// startsAnswer tells whether an event begins an answer. Where the lead may be held back, that is
// the first one with something in it: a token, a call, an end.
func startsAnswer(data []byte, holdLead bool) (bool, error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, doneBytes) {
		return true, nil
	}
	w := jsonscan.Object(data)
	token := false
	for {
		name, value, ok := w.Next()
		if !ok {
			break
		}
		switch string(name) {
		case "error":
			if !value.Null(data) {
				return false, reportedError{errorMessage(value.Of(data))}
			}
		case "choices":
			token = token || hasContent(value.Of(data))
		}
	}
	if w.Err() != nil {
		return false, errInvalidChunk
	}
	return token || !holdLead, nil
}

// hasContent tells whether choices hold more than a role.
func hasContent(choices []byte) bool {
	w := jsonscan.Array(choices)
	for at, ok := w.Element(); ok; at, ok = w.Element() {
		choice := at.Of(choices)
		c := jsonscan.Object(choice)
		for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
			text := value.Of(choice)
			switch string(name) {
			case "index", "logprobs":
			case "delta":
				d := jsonscan.Object(text)
				for name, value, ok := d.Next(); ok; name, value, ok = d.Next() {
					if v := value.Of(text); string(name) != "role" && !value.Null(text) && string(v) != `""` && string(v) != `[]` {
						return true
					}
				}
			default: // a finish reason, the text of a completion
				if !value.Null(choice) && string(text) != `""` {
					return true
				}
			}
		}
	}
	return false
}
