package openai

import (
	"bytes"

	"wellgw/internal/jsonscan"
)

// template is an event, as input and as output, whose one choice holds a piece of content and
// nothing else. The next event mostly differs in that piece alone: what stands before and after
// it has then been checked already, and is written as it was.
type template struct {
	prefixLen          int    // bytes of the input before the piece; 0 = there is no template
	suffixStart        int    // where the input goes on behind the piece
	outputContentStart int    // where the piece stands in the output
	outputSuffixStart  int    // where the output goes on behind the piece
	input, output      []byte // both reused from one template to the next
}

// capture makes an event the template, if it is of that form. choicesStart is where its choices
// stand in the output.
func (t *template) capture(data []byte, choices jsonscan.Span, choicesStart int, out []byte) {
	piece, is := soleContent(choices.Of(data))
	if !is {
		return
	}
	start, end := choices.Start+piece.Start, choices.Start+piece.End
	t.input, t.output = append(t.input[:0], data...), append(t.output[:0], out...)
	t.prefixLen, t.suffixStart = start, end
	t.outputContentStart, t.outputSuffixStart = choicesStart+piece.Start, choicesStart+piece.End
}

// applyTemplate writes an event by the template; false if it is of another form.
func (r *rewriter) applyTemplate(data []byte) bool {
	t := &r.template
	suffix := t.input[t.suffixStart:]
	if len(data) < t.prefixLen+len(suffix) || !bytes.Equal(data[:t.prefixLen], t.input[:t.prefixLen]) || !bytes.HasSuffix(data, suffix) {
		return false
	}
	if jsonscan.StringEnd(data, t.prefixLen) != len(data)-len(suffix) || data[t.prefixLen+1] == '"' {
		return false
	}
	piece := data[t.prefixLen : len(data)-len(suffix)]
	out := t.output[:t.outputContentStart]
	if r.resumable {
		text, is := unquote(piece)
		if !is {
			return false
		}
		r.state.AppendText(text)
		r.writeEventID()
		out = out[bytes.Index(out, dataField):] // without the number of the template's event
	}
	r.out = append(append(append(r.out, out...), piece...), t.output[t.outputSuffixStart:]...)
	r.state.RecordSent()
	return true
}

var dataField = []byte("data: ")

// soleContent returns where the content stands in a list of choices that has one element, whose
// delta holds a piece of content alone and which has not ended.
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
			if !value.IsNull(choice) {
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
