package peers

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

// keySize is what a key must hold, in bytes.
const keySize = 32

// keyID names a key to those who have it, and tells nothing of it.
type keyID [4]byte

func (id keyID) String() string { return hex.EncodeToString(id[:]) }

type key struct {
	id    keyID
	value []byte
}

// Keyring holds the keys of a tier. The first seals; each opens. To rotate without a gap, a
// new key is put second at every gateway, then first, and the old one is taken out last.
type Keyring struct {
	path     string
	keys     atomic.Pointer[[]key]
	lastText []byte // as last read
}

// ReadKeyring reads a file with one key in base64 to a line; lines that begin with # and
// empty ones are passed over. An error names the line.
func ReadKeyring(path string) (*Keyring, error) {
	k := &Keyring{path: path}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the file again and tells whether its keys have changed. One that can't be
// used changes nothing. It is not to be called from two goroutines at once.
func (k *Keyring) Reload() (bool, error) {
	text, err := os.ReadFile(k.path)
	if err != nil {
		return false, fmt.Errorf("key file: %w", err)
	}
	if bytes.Equal(text, k.lastText) {
		return false, nil
	}
	var keys []key
	scan := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		value, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(value) != keySize {
			return false, fmt.Errorf("key file: line %d: not %d bytes in base64", n, keySize)
		}
		sum := sha256.Sum256(append([]byte("wellgw key id "), value...))
		keys = append(keys, key{id: keyID(sum[:4]), value: value})
	}
	if err := scan.Err(); err != nil {
		return false, fmt.Errorf("key file: %w", err)
	}
	if len(keys) == 0 {
		return false, errors.New("key file: holds no key")
	}
	k.lastText = text
	k.keys.Store(&keys)
	return true, nil
}

// SealingKeyID names the key that seals now.
func (k *Keyring) SealingKeyID() string { return (*k.keys.Load())[0].id.String() }

func (k *Keyring) find(id keyID) *key {
	for i, x := range *k.keys.Load() {
		if x.id == id {
			return &(*k.keys.Load())[i]
		}
	}
	return nil
}
