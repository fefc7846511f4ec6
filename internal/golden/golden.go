// Package golden hashes what decisions return, for tests that compare the hash with one recorded
// earlier. What is hashed has no Go names in it, so that a hash outlives renames in the code.
package golden

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Recorder hashes results in the order in which they are given. Use NewRecorder.
type Recorder struct{ sum hash.Hash }

// NewRecorder returns a recorder that has been given nothing.
func NewRecorder() Recorder { return Recorder{sha256.New()} }

// Number adds numbers, and kinds by their number.
func (r Recorder) Number(values ...int64) {
	for _, v := range values {
		r.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(v)))
	}
}

// Flag adds a truth value.
func (r Recorder) Flag(v bool) {
	if v {
		r.Number(1)
	} else {
		r.Number(0)
	}
}

// Text adds texts that the test itself has given.
func (r Recorder) Text(values ...string) {
	for _, v := range values {
		r.Number(int64(len(v)))
		r.sum.Write([]byte(v))
	}
}

// Hash returns the hash of what has been added, in hexadecimal digits.
func (r Recorder) Hash() string { return hex.EncodeToString(r.sum.Sum(nil)) }
