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

// keySize is the length of a key, in bytes.
const keySize = 32

// keyID identifies a key to the gateways that have it; it is part of a hash and reveals nothing.
type keyID [4]byte

func (id keyID) String() string { return hex.EncodeToString(id[:]) }

type key struct {
	id    keyID
	value []byte
}

// Keyring holds the keys of a tier. The first seals; any of them opens. To rotate keys in
// service, a new key is put second at every gateway, then first, then the old one is removed.
type Keyring struct {
	path     string
	keys     atomic.Pointer[[]key]
	lastText []byte // the file as last read
}

// ReadKeyring reads a file with one key in base64 to a line; lines that begin with # and
// empty ones are skipped. An error names the line.
func ReadKeyring(path string) (*Keyring, error) {
	k := &Keyring{path: path}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the file again and tells whether its keys have changed. On an error the keys
// stay as they were. It is not to be called from two goroutines at once.
func (k *Keyring) Reload() (bool, error) {
	text, err := os.ReadFile(k.path)
	if err != nil {
		return false, fmt.Errorf("key file: %w", err)
	}
	if bytes.Equal(text, k.lastText) {
		return false, nil
	}
	keys, err := parseKeys(text)
	if err != nil {
		return false, err
	}
	k.lastText = text
	k.keys.Store(&keys)
	return true, nil
}

var errNoKey = errors.New("key file: holds no key")

// parseKeys reads the lines of a key file.
func parseKeys(text []byte) ([]key, error) {
	var keys []key
	scan := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		value, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(value) != keySize {
			return nil, fmt.Errorf("key file: line %d: not %d bytes in base64", n, keySize)
		}
		sum := sha256.Sum256(append([]byte("wellgw key id "), value...))
		keys = append(keys, key{id: keyID(sum[:4]), value: value})
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	if len(keys) == 0 {
		return nil, errNoKey
	}
	return keys, nil
}

// sealing returns the key that seals now.
func (k *Keyring) sealing() key { return (*k.keys.Load())[0] }

// SealingKeyID returns the identifier of the key that seals now.
func (k *Keyring) SealingKeyID() string { return k.sealing().id.String() }

// find returns a key, nil if the ring does not have it.
func (k *Keyring) find(id keyID) *key {
	for _, candidate := range *k.keys.Load() {
		if candidate.id == id {
			return &candidate
		}
	}
	return nil
}
