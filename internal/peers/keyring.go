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

// keyID identifies a key. It is sent unencrypted: as a prefix of a hash it does not reveal the key.
type keyID [4]byte

func (id keyID) String() string { return hex.EncodeToString(id[:]) }

type key struct {
	id    keyID
	value []byte
}

// Keyring contains the keys of a tier. The first key encrypts; each key decrypts. To rotate keys
// without a restart, add the new key as the second one at every gateway, then move it to the first
// position everywhere, then remove the old key.
type Keyring struct {
	path     string
	keys     atomic.Pointer[[]key]
	lastText []byte // content of the key file when it was last parsed successfully
}

// ReadKeyring reads a file with one base64-encoded key per line. Empty lines and lines that begin
// with # are skipped. An error about a malformed key contains its line number.
func ReadKeyring(path string) (*Keyring, error) {
	k := &Keyring{path: path}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the key file and reports whether its content has changed. On an error the keyring
// is unchanged. Reload is not safe for concurrent calls.
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

var errNoKey = errors.New("key file: contains no key")

// parseKeys parses the content of a key file.
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

// sealing returns the key that encrypts outgoing datagrams.
func (k *Keyring) sealing() key { return (*k.keys.Load())[0] }

// SealingKeyID returns the identifier of the key that encrypts outgoing datagrams.
func (k *Keyring) SealingKeyID() string { return k.sealing().id.String() }

// find returns the key with an identifier, nil if the keyring does not contain it.
func (k *Keyring) find(id keyID) *key {
	for _, candidate := range *k.keys.Load() {
		if candidate.id == id {
			return &candidate
		}
	}
	return nil
}
