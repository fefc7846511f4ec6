package gateway

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
)

// Tier is what the files of gateways that talk to each other have in common.
type Tier struct {
	dir, keys string
	Join      []string // where some of them are reached
}

// NewTier writes a key of the tier's own into a folder.
func NewTier(dir string, seed uint64) (*Tier, error) {
	t := &Tier{dir: dir, keys: filepath.Join(dir, "keys")}
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(seed), 7}, 16))
	if err := os.WriteFile(t.keys, []byte(key+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("tier: %w", err)
	}
	return t, nil
}

// Peers is the section of one of them, that the others reach at an address.
func (t *Tier) Peers(name, advertise string) map[string]any {
	return map[string]any{
		"listen": "127.0.0.1:0", "advertise": advertise, "name": name, "tier": "lab", "key_file": t.keys,
		"join": t.Join, "incarnation_file": filepath.Join(t.dir, name+".incarnation"),
	}
}
