package openai

import (
	"bytes"
	"errors"

	"wellgw/internal/jsonscan"
)

// paramError is a field of a request that is missing or invalid.
type paramError struct{ param, problem string }

func (e paramError) Error() string { return e.param + ": " + e.problem }

var (
	errNotObject     = errors.New("the body is not a JSON object")
	errTooManyFields = errors.New("the body has too many fields")
)

// fields are the members of a JSON object, such as a request's body. Names are unique: the last of
// several duplicates is used, and engines get no duplicates.
type fields struct {
	data []byte
	list []field
}

type field struct {
	name  []byte
	value jsonscan.Span
}

// readFields reads the members of a JSON object.
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

// index returns the index of a field in the list, -1 if there is none.
func (f *fields) index(name string) int {
	for i := range f.list {
		if string(f.list[i].name) == name {
			return i
		}
	}
	return -1
}

// get returns a field's JSON text, nil if the field is null or missing.
func (f *fields) get(name string) []byte {
	if at := f.index(name); at >= 0 && !f.list[at].value.IsNull(f.data) {
		return f.list[at].value.Of(f.data)
	}
	return nil
}

// decode decodes a field into value, which is unchanged if the field is null or missing.
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

// replace returns the object without the fields in set, followed by the values of set for the names
// in order. A field whose value in set is nil is removed.
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

// appendMember appends a member to out, an object that has no closing brace yet.
func appendMember(out, name, value []byte) []byte { return append(appendName(out, name), value...) }

// appendName appends the name of a member to out, an object that has no closing brace yet. The caller
// must append its value.
func appendName(out, name []byte) []byte {
	if out[len(out)-1] != '{' {
		out = append(out, ',')
	}
	out = append(out, '"')
	if bytes.IndexFunc(name, needsEscape) < 0 {
		out = append(out, name...)
	} else if quoted, err := codec.Marshal(string(name)); err == nil {
		out = append(out, quoted[1:len(quoted)-1]...)
	}
	return append(out, `":`...)
}

// needsEscape reports whether a name that contains c must be encoded by the JSON codec.
func needsEscape(c rune) bool { return c < ' ' || c == '"' || c == '\\' || c > '~' }
