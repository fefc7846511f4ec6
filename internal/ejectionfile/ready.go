package ejectionfile

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Self is one process of a gateway. Of two that share the clients' socket, the
// newer takes the clients once it is ready; the older then takes nothing new.
type Self struct {
	Started time.Time // when this process began
	PID     int
}

// Newer tells whether o began after s; a tie goes by the process id.
func (s Self) Newer(o Self) bool {
	if !o.Started.Equal(s.Started) {
		return o.Started.After(s.Started)
	}
	return o.PID > s.PID
}

// MarkReady says in the file beside the ejections that s is ready to serve.
func (s *Store) MarkReady(self Self) error {
	return writeAside(s.ready, strconv.FormatInt(self.Started.UnixNano(), 10)+" "+strconv.Itoa(self.PID)+"\n")
}

// Ready returns the process that last said it was ready; false if none did.
func (s *Store) Ready() (Self, bool) {
	text, err := os.ReadFile(s.ready)
	if err != nil {
		return Self{}, false
	}
	f := strings.Fields(string(text))
	if len(f) != 2 {
		return Self{}, false
	}
	ns, err1 := strconv.ParseInt(f[0], 10, 64)
	pid, err2 := strconv.Atoi(f[1])
	if err1 != nil || err2 != nil {
		return Self{}, false
	}
	return Self{Started: time.Unix(0, ns), PID: pid}, true
}

// writeAside writes text to a file beside path, then renames it into place, so
// that a reader never sees half of it.
func writeAside(path, text string) error {
	aside := path + ".new"
	if err := os.WriteFile(aside, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.Rename(aside, path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
