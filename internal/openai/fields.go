package openai

import (
	"bytes"
	"errors"

	"wellgw/internal/jsonscan"
)

// paramError is a fault in a request's field.
type paramError struct{ param, problem string }

func (e paramError) Error() string { return e.param + ": " + e.problem }

var (
	errNotObject     = errors.New("the body is not a JSON object")
	errTooManyFields = errors.New("the body has too many fields")
)

// fields are a body's members, each name once: of two the last counts, for engines as well.
type fields struct {
	data []byte
	list []field
}

type field struct {
	name  []byte
	value jsonscan.Span
}

func readFields(data []byte) (*fields, error) {
	f := &fields{data: data, list: make([]field, 0, 16)}
	w := jsonscan.Object(data)
	for {
		name, value, ok := w.Next()
		if !ok {
			break
		}
		at := f.index(string(name))
		if at < 0 {
			if len(f.list) >= maxMessages {
				return nil, errTooManyFields
			}
			f.list = append(f.list, field{name, value})
			continue
		}
		f.list[at].value = value
	}
	if w.Err() != nil {
		return nil, errNotObject
	}
	return f, nil
}

func (f *fields) index(name string) int {
	for i := range f.list {
		if string(f.list[i].name) == name {
			return i
		}
	}
	return -1
}

// get returns a field's text, nil if it is null or not there.
func (f *fields) get(name string) []byte {
	if at := f.index(name); at >= 0 && !f.list[at].value.Null(f.data) {
		return f.list[at].value.Of(f.data)
	}
	return nil
}

// decode decodes a field; one that is not there leaves the value.
func (f *fields) decode(name string, value any) error {
	raw := f.get(name)
	if raw == nil {
		return nil
	}
	if codec.Unmarshal(raw, value) != nil {
		return paramError{name, "has the wrong type"}
	}
	return nil
}

// replace writes the body anew, some fields replaced or added.
func (f *fields) replace(set map[string][]byte, order ...string) []byte {
	out := make([]byte, 0, len(f.data)+64)
	out = append(out, '{')
	for _, m := range f.list {
		if _, other := set[string(m.name)]; !other {
			out = appendMember(out, m.name, m.value.Of(f.data))
		}
	}
	for _, name := range order {
		if value := set[name]; value != nil {
			out = appendMember(out, []byte(name), value)
		}
	}
	return append(out, '}')
}

// appendMember adds a member to an object under way.
func appendMember(out, name, value []byte) []byte {
	if out[len(out)-1] != '{' {
		out = append(out, ',')
	}
	out = append(out, '"')
	if bytes.IndexFunc(name, needsEscape) < 0 {
		out = append(out, name...)
	} else if quoted, err := codec.Marshal(string(name)); err == nil {
		out = append(out, quoted[1:len(quoted)-1]...)
	}
	return append(append(out, `":`...), value...)
}

func needsEscape(c rune) bool { return c < ' ' || c == '"' || c == '\\' || c > '~' }
