package gateway

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
)

// Tier is the settings that the gateways of one tier share.
type Tier struct {
	dir, keyFile string
	Join         []string // addresses at which a new member joins
}

// NewTier creates a tier, and writes its key, derived from seed, into a directory.
func NewTier(dir string, seed uint64) (*Tier, error) {
	t := &Tier{dir: dir, keyFile: filepath.Join(dir, "keys")}
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(seed), 7}, 16))
	if err := os.WriteFile(t.keyFile, []byte(key+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("tier: %w", err)
	}
	return t, nil
}

// Peers returns the section "peers" of one gateway's settings; advertise is the address that its peers use.
func (t *Tier) Peers(name, advertise string) map[string]any {
	return map[string]any{
		"listen": "127.0.0.1:0", "advertise": advertise, "name": name, "tier": "lab", "key_file": t.keyFile,
		"join": t.Join, "incarnation_file": filepath.Join(t.dir, name+".incarnation"),
	}
}
