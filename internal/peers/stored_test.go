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

// The incarnation file of earlier versions is read, and is written with the same bytes.
func TestIncarnationFileFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "incarnation")
	if err := os.WriteFile(path, testdata(t, "incarnation"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := startIncarnation(path, time.Unix(1_700_000_000, 0))
	if err != nil || got != 1_800_000_008 {
		t.Fatalf("incarnation %d, error %v", got, err)
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != "1800000008\n" {
		t.Errorf("file after a start: %q, error %v", text, err)
	}
	if err := writeIncarnation(path, 1_800_000_007); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "1800000008\n" {
		t.Errorf("file after a lower incarnation was written: %q, error %v", text, err)
	}
	other := filepath.Join(t.TempDir(), "incarnation")
	if err := writeIncarnation(other, 1_800_000_007); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(other); err != nil || !bytes.Equal(text, testdata(t, "incarnation")) {
		t.Errorf("written file: %q, error %v", text, err)
	}
}

// storedMessages returns the messages that testdata/datagrams contains in encrypted form, in the same
// order, and the protocol version of each.
func storedMessages() (messages []membership.Message, versions []byte) {
	updates := []membership.Update{
		{ID: "edge-b", Addr: "10.0.0.2:7946", Incarnation: 1_800_000_007, Status: membership.Status(0)},
		{ID: "edge-c", Addr: "10.0.0.3:7946", Incarnation: 3, Status: membership.Status(1), SuspicionAge: 1270 * time.Millisecond, Heartbeat: 70_000},
		{ID: "edge-d", Incarnation: 1 << 40, Status: membership.Status(3)},
	}
	for version := byte(1); version <= 2; version++ {
		for kind := membership.Kind(0); kind <= 4; kind++ {
			if version == 1 && kind > 2 {
				break
			}
			m := membership.Message{
				Kind: kind, From: "edge-a", Instance: 0x0102030405060708, Addr: "10.0.0.1:7946", Seq: 300 + uint32(kind), Epoch: 4711,
				Digest: 0xfedcba9876543210, Heartbeat: 123_456, Updates: append([]membership.Update(nil), updates...),
			}
			if kind >= 2 {
				m.Subject = "edge-x"
			}
			if version == 1 { // has no heartbeats
				m.Heartbeat = 0
				for i := range m.Updates {
					m.Updates[i].Heartbeat = 0
				}
			}
			messages, versions = append(messages, m), append(versions, version)
		}
	}
	return messages, versions
}

func storedKeyring(t *testing.T) *Keyring {
	t.Helper()
	return readKeyring(t, filepath.Join("testdata", "keys"))
}

// Datagrams have the same bytes as those of earlier versions, and every field of the datagrams of
// earlier versions is decoded.
func TestDatagramBytes(t *testing.T) {
	keys := storedKeyring(t)
	first := (*keys.keys.Load())[0]
	if got := keys.SealingKeyID(); got != "7d068f95" {
		t.Errorf("id of the encrypting key: %s", got)
	}
	from := process{instance: 0x0102030405060708, random: 0x1112131415161718}
	aead, err := newAEAD(first.value, "lagos", from)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(testdata(t, "datagrams")))
	messages, versions := storedMessages()
	if len(lines) != len(messages) {
		t.Fatalf("%d datagrams for %d messages", len(lines), len(messages))
	}
	o := datagramOpener{tier: "lagos", keyring: keys, senders: map[senderID]*replayWindow{}}
	for i, m := range messages {
		payload, err := encode(versions[i], m)
		if err != nil {
			t.Fatal(err)
		}
		counter := uint64(1000 + i)
		if got := hex.EncodeToString(seal(aead, versions[i], first.id, from, counter, payload)); got != lines[i] {
			t.Errorf("datagram %d: %s, want %s", i, got, lines[i])
		}
		stored, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatal(err)
		}
		payload, sender, err := o.open(stored)
		if err != nil || sender != from {
			t.Fatalf("datagram %d: sender %+v, error %v", i, sender, err)
		}
		got, err := decode(stored[0], payload)
		got.Instance = sender.instance
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("datagram %d: decoded %+v, error %v, want %+v", i, got, err, m)
		}
	}
}

// setNonZero sets every field and element of a value to a non-zero value.
func setNonZero(v reflect.Value, n *int64) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			setNonZero(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setNonZero(v.Index(0), n)
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
		panic("setNonZero: unsupported kind " + v.Kind().String())
	}
}

// The JSON of the admin page has the same keys in the same order as in earlier versions.
func TestStatusJSON(t *testing.T) {
	var s Status
	n := int64(0)
	setNonZero(reflect.ValueOf(&s).Elem(), &n)
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
		t.Errorf("decoded %+v, error %v", read, err)
	}
}
