package jsonscan

import (
	"encoding/json"
	"testing"
)

// members reads an object with a Walker. Of members with the same name it returns the last.
func members(data []byte) (map[string]string, error) {
	m := map[string]string{}
	w := Object(data)
	for {
		name, value, ok := w.Next()
		if !ok {
			return m, w.Err()
		}
		m[string(name)] = string(value.Of(data))
	}
}

// FuzzObject compares the walker with encoding/json: both must accept the same texts and return the same
// members.
func FuzzObject(f *testing.F) {
	for _, s := range []string{
		`{}`, `{"a":1}`, ` {"a" : [1, 2 , {"b":null}] , "c":"\u00e9\n"} `, `{"a":1,}`, `{"a":01}`, `{"a":-0.5e+3}`, `{"a":"`, `[]`, `{"a":tru}`,
		`{"mod\u0065l":"x","model":"y"}`, `{"a":"` + "\x01" + `"}`, `{"a":{"b":[{}]}}x`, `{"a":1 "b":2}`, `{"":""}`, "{\"\xff\":\"\xff\"}", `{"a":[1,]}`, `{"a":1e}`, `{a:1}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var want map[string]json.RawMessage
		wantErr := json.Unmarshal(data, &want)
		got, err := members(data)
		if wantErr == nil && want == nil {
			wantErr = ErrSyntax // the text is null
		}
		if (wantErr == nil) != (err == nil) {
			t.Fatalf("%q: error %v, encoding/json returns %v", data, err, wantErr)
		}
		if err != nil {
			return
		}
		if len(got) != len(want) {
			// encoding/json replaces invalid UTF-8, so that different names may become equal.
			if json.Valid(data) && allUTF8(got) {
				t.Fatalf("%q: %v, encoding/json returns %v", data, got, want)
			}
			return
		}
		for name, value := range got {
			if raw, found := want[name]; found && string(raw) != value {
				t.Fatalf("%q: %s is %s, encoding/json returns %s", data, name, value, raw)
			}
		}
	})
}

// allUTF8 reports whether encoding/json preserves all names, that is, whether they are valid UTF-8.
func allUTF8(m map[string]string) bool {
	for name := range m {
		var back string
		raw, err := json.Marshal(name)
		if err != nil || json.Unmarshal(raw, &back) != nil || back != name {
			return false
		}
	}
	return true
}

func TestArrays(t *testing.T) {
	for text, want := range map[string]int{`[]`: 0, `[1]`: 1, ` [ {"a":[]}, "b" , null ] `: 3, `[1,]`: -1, `[1 2]`: -1, `{}`: -1, `[`: -1, `[1]]`: -1} {
		w, n := Array([]byte(text)), 0
		for _, ok := w.Element(); ok; _, ok = w.Element() {
			n++
		}
		if w.Err() != nil {
			n = -1
		}
		if n != want {
			t.Errorf("%s: %d elements, want %d (-1 for an error)", text, n, want)
		}
	}
}

func TestNestingIsLimited(t *testing.T) {
	deep := []byte(`{"a":`)
	for range 100_000 {
		deep = append(deep, '[')
	}
	if _, err := members(deep); err == nil {
		t.Error("accepted a value with 100,000 levels of nesting")
	}
}

func TestNoAllocations(t *testing.T) {
	event := []byte(`{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"a word"},"finish_reason":null}]}`)
	if n := testing.AllocsPerRun(100, func() {
		w := Object(event)
		for _, _, ok := w.Next(); ok; _, _, ok = w.Next() {
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkObject(b *testing.B) {
	event := []byte(`{"id":"chatcmpl-0123456789abcdef01234567","object":"chat.completion.chunk","created":1700000000,"model":"parts","choices":[{"index":0,"delta":{"content":"a word"},"finish_reason":null}]}`)
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	for b.Loop() {
		w := Object(event)
		for _, _, ok := w.Next(); ok; _, _, ok = w.Next() {
		}
	}
}
