package openai

import (
	"bytes"

	"wellgw/internal/jsonscan"
)

// template is the input and output of an event whose only choice has a content string and nothing
// else. The next event mostly differs in that string only. The bytes before and after it have then
// been validated already, so the template's output is reused for them.
type template struct {
	prefixLen          int    // bytes of the input before the content; 0 = no template
	suffixStart        int    // offset in the input of the bytes after the content
	outputContentStart int    // offset of the content in the output
	outputSuffixStart  int    // offset in the output of the bytes after the content
	input, output      []byte // both buffers are reused for the next template
}

// capture makes an event the template, if it has the required form. choicesStart is the offset of its
// choices in the output.
func (t *template) capture(data []byte, choices jsonscan.Span, choicesStart int, out []byte) {
	content, is := soleContent(choices.Of(data))
	if !is {
		return
	}
	start, end := choices.Start+content.Start, choices.Start+content.End
	t.input, t.output = append(t.input[:0], data...), append(t.output[:0], out...)
	t.prefixLen, t.suffixStart = start, end
	t.outputContentStart, t.outputSuffixStart = choicesStart+content.Start, choicesStart+content.End
}

// applyTemplate writes an event by the template. It returns false if the event does not match.
func (r *rewriter) applyTemplate(data []byte) bool {
	t := &r.template
	suffix := t.input[t.suffixStart:]
	if len(data) < t.prefixLen+len(suffix) || !bytes.Equal(data[:t.prefixLen], t.input[:t.prefixLen]) || !bytes.HasSuffix(data, suffix) {
		return false
	}
	if jsonscan.StringEnd(data, t.prefixLen) != len(data)-len(suffix) || data[t.prefixLen+1] == '"' {
		return false
	}
	content := data[t.prefixLen : len(data)-len(suffix)]
	out := t.output[:t.outputContentStart]
	if r.resumable {
		text, is := unquote(content)
		if !is {
			return false
		}
		r.state.AppendText(text)
		r.writeEventID()
		out = out[bytes.Index(out, dataField):] // without the id of the template's event
	}
	r.out = append(append(append(r.out, out...), content...), t.output[t.outputSuffixStart:]...)
	r.state.RecordSent()
	return true
}

var dataField = []byte("data: ")

// soleContent returns the position of the content in a list of choices. It returns false unless the
// list has exactly one choice, which is unfinished and whose delta has no member but the content.
func soleContent(choices []byte) (content jsonscan.Span, is bool) {
	list := jsonscan.Array(choices)
	at, ok := list.Element()
	if _, more := list.Element(); !ok || more || list.Err() != nil {
		return content, false
	}
	choice := at.Of(choices)
	var delta jsonscan.Span
	c := jsonscan.Object(choice)
	for name, value, ok := c.Next(); ok; name, value, ok = c.Next() {
		switch string(name) {
		case "delta":
			if delta.End > 0 {
				return content, false
			}
			delta = value
		case "index":
		case "finish_reason", "logprobs":
			if !value.IsNull(choice) {
				return content, false
			}
		default:
			return content, false
		}
	}
	if delta.End == 0 || choice[delta.Start] != '{' {
		return content, false
	}
	d := jsonscan.Object(delta.Of(choice))
	name, value, ok := d.Next()
	if _, _, more := d.Next(); !ok || more || d.Err() != nil || string(name) != "content" || value.Of(delta.Of(choice))[0] != '"' {
		return content, false
	}
	from := at.Start + delta.Start + value.Start
	return jsonscan.Span{Start: from, End: from + value.End - value.Start}, true
}
