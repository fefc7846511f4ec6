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

var errChecksum = errors.New("record checksum mismatch")

// record is the stored form of an entry: a checksum, followed by record as JSON. The format must not
// change, since files of earlier versions have to remain readable. Since is a wall clock time, which may
// be stepped, so ages are calculated from At.
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

// recordKey is the JSON form of an entry's key.
type recordKey struct {
	Team string `json:"Team"`
	Name string `json:"Name"`
}

// databaseKey returns the key of a record in the database. Idempotency keys are printable ASCII, so the
// zero byte separates the team name from them unambiguously.
func databaseKey(k deduplication.Key) []byte { return []byte(k.Team + "\x00" + k.Name) }

// clock reads the wall clock and the boot clock.
type clock struct {
	wall func() time.Time
	boot func() bootclock.Moment // the zero value if it is unknown
}

// instant is a point in time by both clocks.
type instant struct {
	wall time.Time
	boot bootclock.Moment
}

func (c clock) now() instant { return instant{wall: c.wall(), boot: c.boot()} }

// encodeRecord returns the stored form of an entry.
func encodeRecord(e deduplication.Entry, now instant) ([]byte, error) {
	body, err := jsoniter.Marshal(record{
		Key: recordKey(e.Key), Digest: e.Digest, State: e.State, Since: e.Since, ID: e.RequestID, Type: e.ContentType,
		Answer: e.Answer, At: now.boot.Ago(now.wall.Sub(e.Since)),
	})
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), nil
}

// decodeRecord returns the entry of a record, with Since set by its age at now. The age is unknown if the
// machine has been rebooted or an earlier version wrote the record. Such an entry gets age 0, so that it
// is retained too long rather than removed too early.
func decodeRecord(raw []byte, now instant) (deduplication.Entry, error) {
	if len(raw) < checksumBytes || binary.BigEndian.Uint64(raw) != xxhash.Sum64(raw[checksumBytes:]) {
		return deduplication.Entry{}, errChecksum
	}
	var r record
	if err := jsoniter.Unmarshal(raw[checksumBytes:], &r); err != nil {
		return deduplication.Entry{}, err
	}
	age, _ := now.boot.Since(r.At)
	return deduplication.Entry{
		Key: deduplication.Key(r.Key), Digest: r.Digest, State: r.State, Since: now.wall.Add(-age), RequestID: r.ID,
		ContentType: r.Type, Answer: r.Answer,
	}, nil
}
