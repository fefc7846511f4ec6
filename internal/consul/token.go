package consul

import (
	"os"
	"strings"
)

// readToken returns the ACL token. A token file is read again when its modification time changes.
// While the file is unreadable the last token remains in use, since the file may be about to be
// replaced.
func (c *Client) readToken() string {
	if c.cfg.TokenFile == "" {
		return c.cfg.Token
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.cfg.TokenFile)
	if err == nil && !info.ModTime().Equal(c.tokenModTime) {
		var raw []byte
		if raw, err = os.ReadFile(c.cfg.TokenFile); err == nil {
			c.token, c.tokenModTime = strings.TrimSpace(string(raw)), info.ModTime()
		}
	}
	if err != nil && c.token == "" {
		c.log.Warn("token file unreadable", "cause", err)
		return c.cfg.Token
	}
	return c.token
}
