package idempotency

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/deduplication"
	"wellgw/internal/bootclock"
)

// checksumBytes is the length of the checksum that precedes a record's body.
const checksumBytes = 8

var errChecksum = errors.New("its checksum is wrong")

// record is an entry as the file has it: a checksum, then this as JSON. Its form must not change, as
// files of earlier versions are read. Since is by the wall clock, which may be stepped; ages are told
// by At.
type record struct {
	Key    recordKey           `json:"Key"`
	Digest string              `json:"Digest"`
	State  deduplication.State `json:"State"`
	Since  time.Time           `json:"Since"`
	ID     string              `json:"ID"`
	Type   string              `json:"Type"`
	Answer []byte              `json:"Answer"`
	At     bootclock.Moment    `json:"At"` // when the entry entered its state
}

// recordKey is a record's key within its JSON.
type recordKey struct {
	Team string `json:"Team"`
	Name string `json:"Name"`
}

// databaseKey is the database's key of a record. Names of keys are printable ASCII, so that the zero
// byte separates them from the team's.
func databaseKey(k deduplication.Key) []byte { return []byte(k.Team + "\x00" + k.Name) }

// encodeRecord returns an entry in the file's form. now is the present moment.
func encodeRecord(e deduplication.Entry, now bootclock.Moment) ([]byte, error) {
	body, err := jsoniter.Marshal(record{
		Key: recordKey(e.Key), Digest: e.Digest, State: e.State, Since: e.Since, ID: e.RequestID, Type: e.ContentType,
		Answer: e.Answer, At: now.Ago(time.Since(e.Since)),
	})
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), nil
}

// decodeRecord returns the entry of a record with its age at now. An entry whose age is unknown, as the
// machine has been rebooted or an earlier version wrote it, counts as new: it is kept too long rather
// than removed too soon.
func decodeRecord(raw []byte, now bootclock.Moment) (deduplication.Entry, error) {
	if len(raw) < checksumBytes || binary.BigEndian.Uint64(raw) != xxhash.Sum64(raw[checksumBytes:]) {
		return deduplication.Entry{}, errChecksum
	}
	var r record
	if err := jsoniter.Unmarshal(raw[checksumBytes:], &r); err != nil {
		return deduplication.Entry{}, err
	}
	age, _ := now.Since(r.At)
	return deduplication.Entry{
		Key: deduplication.Key(r.Key), Digest: r.Digest, State: r.State, Since: time.Now().Add(-age), RequestID: r.ID,
		ContentType: r.Type, Answer: r.Answer,
	}, nil
}
