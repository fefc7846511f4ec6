// Package bootclock reads how long the machine has run. Unlike the wall clock this is never
// stepped, and unlike a process's monotonic clock it can be compared over restarts of the process.
package bootclock

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The kernel's files; see proc(5).
const (
	bootIDFile = "/proc/sys/kernel/random/boot_id"
	uptimeFile = "/proc/uptime"
)

// Moment is a point in one run of a machine. The zero value is no known one.
type Moment struct {
	BootID string        `json:"Boot,omitempty"` // the run's id
	Uptime time.Duration `json:"Up,omitempty"`   // since its start
}

// Now returns the present moment.
func Now() (Moment, error) {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		return Moment{}, fmt.Errorf("boot clock: %w", err)
	}
	text, err := os.ReadFile(uptimeFile)
	if err != nil {
		return Moment{}, fmt.Errorf("boot clock: %w", err)
	}
	return parse(string(id), string(text))
}

func parse(id, uptime string) (Moment, error) {
	up, _, _ := strings.Cut(uptime, " ")
	seconds, err := strconv.ParseFloat(up, 64)
	boot := strings.TrimSpace(id)
	if err != nil || seconds < 0 || boot == "" {
		return Moment{}, fmt.Errorf("boot clock: %q, %q are no run's id and up time", id, uptime)
	}
	return Moment{BootID: boot, Uptime: time.Duration(seconds * float64(time.Second))}, nil
}

// Since returns the time from an earlier moment to m; false if it can't be told, as the machine was
// started anew in between.
func (m Moment) Since(earlier Moment) (time.Duration, bool) {
	if m.BootID == "" || m.BootID != earlier.BootID || earlier.Uptime > m.Uptime {
		return 0, false
	}
	return m.Uptime - earlier.Uptime, true
}

// Ago returns the moment a span before m.
func (m Moment) Ago(d time.Duration) Moment {
	if m.BootID == "" {
		return m
	}
	return Moment{BootID: m.BootID, Uptime: m.Uptime - d}
}
