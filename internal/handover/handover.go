// Package handover lets two processes of one gateway that share the clients'
// socket tell each other which is the newer: once a new version is ready, the
// older one takes nothing new, so that its streams may end before it is killed.
//
// They meet in a file in a directory both see ($TMPDIR on the platform). The
// ready process writes its start time and process id there; the older one reads
// it every Look.
package handover

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Look is how often the file is read, and readiness looked at.
const Look = 100 * time.Millisecond

// Self is one process of a gateway.
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

func (s Self) text() string {
	return strconv.FormatInt(s.Started.UnixNano(), 10) + " " + strconv.Itoa(s.PID) + "\n"
}

func parse(text string) (Self, error) {
	f := strings.Fields(text)
	if len(f) != 2 {
		return Self{}, fmt.Errorf("handover: %q is not two numbers", text)
	}
	ns, err1 := strconv.ParseInt(f[0], 10, 64)
	pid, err2 := strconv.Atoi(f[1])
	if err1 != nil || err2 != nil {
		return Self{}, fmt.Errorf("handover: %q is not two numbers", text)
	}
	return Self{Started: time.Unix(0, ns), PID: pid}, nil
}

// Place is the file of one gateway.
type Place struct{ path string }

// At returns the place in dir for the gateway of this name.
func At(dir, gateway string) Place {
	return Place{path: filepath.Join(dir, "wellgw-ready-"+strings.ReplaceAll(gateway, "/", "_"))}
}

// Mark says that s is ready: written aside, then renamed.
func (p Place) Mark(s Self) error {
	aside := p.path + ".new"
	if err := os.WriteFile(aside, []byte(s.text()), 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(aside, p.path); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Ready returns the process that last said it was ready; false if none did.
func (p Place) Ready() (Self, bool) {
	text, err := os.ReadFile(p.path)
	if err != nil {
		return Self{}, false
	}
	s, err := parse(string(text))
	return s, err == nil
}

// Watch marks s ready once ready() says so, and calls newer once, when a newer
// process has said it is ready. It returns when ctx ends or newer has been called.
func (p Place) Watch(ctx context.Context, s Self, ready func() bool, newer func(Self)) error {
	t := time.NewTicker(Look)
	defer t.Stop()
	marked := false
	for {
		if !marked && ready() {
			if err := p.Mark(s); err != nil {
				return err
			}
			marked = true
		}
		if o, ok := p.Ready(); ok && s.Newer(o) {
			newer(o)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}
