package openai

import (
	"bytes"
	"errors"
	"strconv"

	"wellgw/decide/resume"
	"wellgw/internal/jsonscan"
	"wellgw/internal/sse"
)

// done is the data of the event that ends a stream.
const done = "[DONE]"

// Faults of a stream that its client is told of.
var (
	errNotChunk = errors.New("an event that is no JSON object")
	errCut      = errors.New("the stream ended before its answer did")
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
	scan    sse.Scanner
	each    func(sse.Event) error
	out     []byte
	id      []byte // JSON texts
	model   []byte
	object  []byte
	created []byte
	usage   bool // the client wants to see it
	follows bool // events are numbered, and what they say is noted, so that an answer which breaks can go on
	like    template
	so      resume.Answer
}

func newRewriter(h head, usage, follows bool) *rewriter {
	r := &rewriter{
		id: quoted(h.id), model: quoted(h.model), object: quoted(h.object), created: strconv.AppendInt(nil, h.created, 10),
		usage: usage, follows: follows,
	}
	r.each = r.event
	return r
}

func (r *rewriter) kind() string           { return eventStream }
func (r *rewriter) answer() *resume.Answer { return &r.so }
func (r *rewriter) complete() bool         { return r.so.Over() }
func (r *rewriter) drop()                  { r.scan = sse.Scanner{} }
func (r *rewriter) next()                  { r.so.Next() }

// take adds what the client gets, now that p has come, to dst.
func (r *rewriter) take(dst, p []byte) ([]byte, error) {
	r.out = dst
	err := r.scan.Write(p, r.each)
	return r.out, err
}

// end takes in the end of a stream. Engines are known to leave out the last event; an
// answer of which a choice has not ended is cut off.
func (r *rewriter) end(dst []byte) ([]byte, error) {
	r.out = dst
	if err := r.scan.End(r.each); err != nil || r.so.Over() {
		return r.out, err
	}
	if !r.so.Whole() {
		return r.out, errCut
	}
	return r.over(), nil
}

// over writes the last event.
func (r *rewriter) over() []byte {
	r.so.Last()
	r.out = append(r.out, "data: "+done+"\n\n"...)
	return r.out
}

// fail is the event that ends an answer which broke.
func (r *rewriter) fail(e apiError) []byte {
	return append(append([]byte("data: "), e.object()...), "\n\n"...)
}

var (
	lastData    = []byte(done)
	nameID      = []byte("id")
	nameObject  = []byte("object")
	nameCreated = []byte("created")
	nameModel   = []byte("model")
)

func (r *rewriter) event(e sse.Event) error {
	data := bytes.TrimSpace(e.Data)
	if r.so.Over() || len(data) == 0 {
		return nil
	}
	if bytes.Equal(data, lastData) {
		r.over()
		return nil
	}
	if r.like.of > 0 && r.repeat(data) {
		return nil
	}
	from := len(r.out)
	r.like.of = 0
	if r.follows {
		r.number()
	}
	r.out = append(r.out, "data: {"...)
	has, err := r.members(data, from)
	if err != nil {
		r.out = r.out[:from]
		return err
	}
	r.missing(has)
	if bytes.IndexByte(data, '\n') >= 0 || bytes.IndexByte(data, '\r') >= 0 {
		flat(r.out[bytes.IndexByte(r.out[from:], '{')+from:]) // in JSON a line feed stands between values only
	}
	r.out = append(r.out, "}\n\n"...)
	if has.choices {
		some, err := progress(&r.so, has.choicesSpan.Of(data), r.follows)
		if err != nil {
			r.out = r.out[:from]
			return err
		}
		if !some && has.counts && !r.usage {
			r.out = r.out[:from] // asked for by the gateway, not by the client
			return nil
		}
		if !has.counts {
			r.like.learn(data, has.choicesSpan, has.choicesAt, r.out[from:])
		}
	}
	r.so.Passed()
	return nil
}

// found is what an event had of the members that the rewriter looks at.
type found struct {
	id, model, object, created, counts, choices bool

	choicesSpan jsonscan.Span // in what came
	choicesAt   int           // in what goes out, from the event's begin
}

// members writes an event's members, those that name the answer replaced. from is where the
// event begins in what goes out.
func (r *rewriter) members(data []byte, from int) (has found, err error) {
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
			has.counts = !value.Null(data)
			if !r.usage {
				continue
			}
		case "error":
			if value.Null(data) {
				continue
			}
			return has, reportedError{message(text)}
		}
		if r.out[len(r.out)-1] != '{' {
			r.out = append(r.out, ',')
		}
		member := w.Member()
		// The name as it came, then the value.
		r.out = append(append(r.out, data[member.Start:value.Start]...), text...)
		if has.choices && value == has.choicesSpan {
			has.choicesAt = len(r.out) - len(text) - from
		}
	}
	if w.Err() != nil {
		return has, errNotChunk
	}
	return has, nil
}

// missing adds the members that every event has and this one had not.
func (r *rewriter) missing(has found) {
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

// number writes the number of the event under way.
func (r *rewriter) number() {
	r.out = append(strconv.AppendInt(append(r.out, "id: "...), int64(r.so.Seen()), 10), '\n')
}

// template is an event whose one choice has said a piece of content and nothing else, as it
// came and as it went out. The next event mostly differs in that piece alone: what comes
// before and after it has then been checked already, and goes out as it did.
type template struct {
	of           int // bytes before the piece; 0 = there is no template
	in, out      []byte
	after, outOf int // where what follows the piece begins, in in; and the piece, in out
	outAfter     int
}

// learn takes an event as the template, if it is of that form.
func (t *template) learn(data []byte, choices jsonscan.Span, at int, out []byte) {
	piece, is := onlyContent(choices.Of(data))
	if !is {
		return
	}
	start, end := choices.Start+piece.Start, choices.Start+piece.End
	t.in, t.out = append(t.in[:0], data...), append(t.out[:0], out...)
	t.of, t.after = start, end
	t.outOf, t.outAfter = at+piece.Start, at+piece.End
}

// repeat passes an event on by the template; false if it is of another form.
func (r *rewriter) repeat(data []byte) bool {
	t := &r.like
	rest := t.in[t.after:]
	if len(data) < t.of+len(rest) || !bytes.Equal(data[:t.of], t.in[:t.of]) || !bytes.HasSuffix(data, rest) {
		return false
	}
	if jsonscan.String(data, t.of) != len(data)-len(rest) || data[t.of+1] == '"' {
		return false
	}
	piece := data[t.of : len(data)-len(rest)]
	out := t.out[:t.outOf]
	if r.follows {
		text, is := text(piece)
		if !is {
			return false
		}
		r.so.Say(text)
		r.number()
		out = out[bytes.Index(out, dataField):]
	}
	r.out = append(append(append(r.out, out...), piece...), t.out[t.outAfter:]...)
	r.so.Passed()
	return true
}

var dataField = []byte("data: ")

// onlyContent returns where the content stands in choices that are one, whose delta is a
// piece of content and that has not ended.
func onlyContent(choices []byte) (piece jsonscan.Span, is bool) {
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

func flat(text []byte) {
	for i, c := range text {
		if c == '\n' || c == '\r' {
			text[i] = ' '
		}
	}
}

// progress notes which choices have come and ended and, if it hears, what they say; some
// tells whether there was any.
func progress(so *resume.Answer, choices []byte, hears bool) (some bool, err error) {
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
			return some, errNotChunk
		}
		if hears {
			hear(so, index, delta.Of(choice))
		}
		so.Choice(index, ended)
	}
	if w.Err() != nil && !isNull(choices) {
		return some, errNotChunk
	}
	return some, nil
}

// hear notes what a choice's delta says.
func hear(so *resume.Answer, index int, delta []byte) {
	if index != 0 {
		so.Other()
	}
	d := jsonscan.Object(delta)
	for name, value, ok := d.Next(); ok; name, value, ok = d.Next() {
		v := value.Of(delta)
		switch {
		case string(name) == "role" || value.Null(delta) || string(v) == `""` || string(v) == `[]`:
		case string(name) == "content":
			if t, is := text(v); is {
				so.Say(t)
			}
		default:
			so.Other()
		}
	}
}

func isNull(text []byte) bool { return len(text) > 0 && text[0] == 'n' }

// message is what an error object says.
func message(object []byte) string {
	var e struct {
		Message string `json:"message"`
	}
	if codec.Unmarshal(object, &e) != nil || e.Message == "" {
		return firstLine(string(object))
	}
	return firstLine(e.Message)
}

// opens tells whether an event begins an answer. Where the lead may be held back, that is
// the first one with something in it: a token, a call, an end.
func opens(data []byte, holdLead bool) (bool, error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, lastData) {
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
				return false, reportedError{message(value.Of(data))}
			}
		case "choices":
			token = token || says(value.Of(data))
		}
	}
	if w.Err() != nil {
		return false, errNotChunk
	}
	return token || !holdLead, nil
}

// says tells whether choices hold more than a role.
func says(choices []byte) bool {
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
