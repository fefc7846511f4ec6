package peers

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/membership"
)

func testdata(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The incarnation file is read as earlier versions wrote it, and written in the same bytes.
func TestIncarnationFileForm(t *testing.T) {
	path := filepath.Join(t.TempDir(), "incarnation")
	if err := os.WriteFile(path, testdata(t, "incarnation"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := startIncarnation(path, time.Unix(1_700_000_000, 0))
	if err != nil || got != 1_800_000_008 {
		t.Fatalf("%d, %v", got, err)
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != "1800000008\n" {
		t.Errorf("the file after a start holds %q, %v", text, err)
	}
	if err := writeIncarnation(path, 1_800_000_007); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(path); err != nil || !bytes.Equal(text, testdata(t, "incarnation")) {
		t.Errorf("written as %q, %v", text, err)
	}
}

// storedMessages are the messages that testdata/datagrams holds sealed, in its order: each
// with the version of its form.
func storedMessages() (list []membership.Message, forms []byte) {
	updates := []membership.Update{
		{ID: "edge-b", Addr: "10.0.0.2:7946", Incarnation: 1_800_000_007, Status: membership.Status(0)},
		{ID: "edge-c", Addr: "10.0.0.3:7946", Incarnation: 3, Status: membership.Status(1), SuspicionAge: 1270 * time.Millisecond, Heartbeat: 70_000},
		{ID: "edge-d", Incarnation: 1 << 40, Status: membership.Status(3)},
	}
	for form := byte(1); form <= 2; form++ {
		for kind := membership.Kind(0); kind <= 4; kind++ {
			if form == 1 && kind > 2 {
				break
			}
			m := membership.Message{
				Kind: kind, From: "edge-a", Instance: 0x0102030405060708, Addr: "10.0.0.1:7946", Seq: 300 + uint32(kind), Epoch: 4711,
				Digest: 0xfedcba9876543210, Heartbeat: 123_456, Updates: append([]membership.Update(nil), updates...),
			}
			if kind >= 2 {
				m.Subject = "edge-x"
			}
			if form == 1 { // knows no beats
				m.Heartbeat = 0
				for i := range m.Updates {
					m.Updates[i].Heartbeat = 0
				}
			}
			list, forms = append(list, m), append(forms, form)
		}
	}
	return list, forms
}

func storedRing(t *testing.T) *Keyring {
	t.Helper()
	return ring(t, filepath.Join("testdata", "keys"))
}

// Datagrams are sealed in the bytes in which earlier versions sealed them, and theirs are read
// with all that they hold.
func TestDatagramBytes(t *testing.T) {
	keys := storedRing(t)
	first := (*keys.keys.Load())[0]
	if got := keys.SealingKeyID(); got != "7d068f95" {
		t.Errorf("the key in use is called %s", got)
	}
	from := process{instance: 0x0102030405060708, random: 0x1112131415161718}
	aead, err := newAEAD(first.value, "lagos", from)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(testdata(t, "datagrams")))
	messages, forms := storedMessages()
	if len(lines) != len(messages) {
		t.Fatalf("%d datagrams for %d messages", len(lines), len(messages))
	}
	o := datagramOpener{tier: "lagos", keyring: keys, senders: map[senderID]*replayWindow{}}
	for i, m := range messages {
		payload, err := encode(forms[i], m)
		if err != nil {
			t.Fatal(err)
		}
		counter := uint64(1000 + i)
		if got := hex.EncodeToString(seal(aead, forms[i], first.id, from, counter, payload)); got != lines[i] {
			t.Errorf("datagram %d: %s, want %s", i, got, lines[i])
		}
		stored, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatal(err)
		}
		text, who, err := o.open(stored)
		if err != nil || who != from {
			t.Fatalf("datagram %d: %+v, %v", i, who, err)
		}
		got, err := decode(stored[0], text)
		got.Instance = who.instance
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("datagram %d: %+v, %v, want %+v", i, got, err, m)
		}
	}
}

// fill sets every part of a value to something else than its zero.
func fill(v reflect.Value, n *int64) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.String:
		v.SetString("text " + string(rune('a'+*n%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(uint64(1 + *n%4))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Int, reflect.Int64:
		v.SetInt(*n)
	default:
		panic("no value for a " + v.Kind().String())
	}
}

// The admin page's JSON has the keys, and their order, that earlier versions gave it.
func TestStatusJSON(t *testing.T) {
	var s Status
	n := int64(0)
	fill(reflect.ValueOf(&s).Elem(), &n)
	got, err := jsoniter.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.TrimSpace(testdata(t, "status.json"))
	if !bytes.Equal(got, want) {
		t.Errorf("%s\nwant %s", got, want)
	}
	var read Status
	if err := jsoniter.Unmarshal(want, &read); err != nil || !reflect.DeepEqual(read, s) {
		t.Errorf("read as %+v, %v", read, err)
	}
}
