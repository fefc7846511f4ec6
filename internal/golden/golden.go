// Package golden hashes the results of decisions, for tests that compare the hash with a recorded one. The
// hashed data contains no Go identifiers, so that a hash stays valid when code is renamed.
package golden

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Recorder hashes results in the order in which they are added. Create one with NewRecorder.
type Recorder struct{ sum hash.Hash }

// NewRecorder returns a recorder without any results.
func NewRecorder() Recorder { return Recorder{sha256.New()} }

// Number adds integers, and enumeration values as integers.
func (r Recorder) Number(values ...int64) {
	for _, v := range values {
		r.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(v)))
	}
}

// Flag adds a boolean.
func (r Recorder) Flag(v bool) {
	if v {
		r.Number(1)
	} else {
		r.Number(0)
	}
}

// Text adds strings that the test itself chose, such as names in its input.
func (r Recorder) Text(values ...string) {
	for _, v := range values {
		r.Number(int64(len(v)))
		r.sum.Write([]byte(v))
	}
}

// Hash returns the hash of all added results, in hexadecimal.
func (r Recorder) Hash() string { return hex.EncodeToString(r.sum.Sum(nil)) }
