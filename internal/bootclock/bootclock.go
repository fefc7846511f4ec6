// Package bootclock reads the time since the machine was booted. Unlike the wall clock it is never
// stepped, and unlike Go's monotonic clock its readings can be compared across restarts of the process.
package bootclock

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Files of the Linux kernel; see proc(5).
const (
	bootIDFile = "/proc/sys/kernel/random/boot_id"
	uptimeFile = "/proc/uptime"
)

// Moment is a point in time since a boot of the machine. The zero value is an unknown moment.
type Moment struct {
	BootID string        `json:"Boot,omitempty"` // the kernel's random id of the boot
	Uptime time.Duration `json:"Up,omitempty"`   // time since the boot
}

// Now returns the current moment.
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

// parse parses the contents of bootIDFile and uptimeFile.
func parse(id, uptime string) (Moment, error) {
	up, _, _ := strings.Cut(uptime, " ")
	seconds, err := strconv.ParseFloat(up, 64)
	boot := strings.TrimSpace(id)
	if err != nil || seconds < 0 || boot == "" {
		return Moment{}, fmt.Errorf("boot clock: invalid boot id %q or uptime %q", id, uptime)
	}
	return Moment{BootID: boot, Uptime: time.Duration(seconds * float64(time.Second))}, nil
}

// Since returns the time from an earlier moment to m. It returns false if that is unknown: if a moment is
// unknown, if the machine was rebooted in between, or if earlier is after m.
func (m Moment) Since(earlier Moment) (time.Duration, bool) {
	if m.BootID == "" || m.BootID != earlier.BootID || earlier.Uptime > m.Uptime {
		return 0, false
	}
	return m.Uptime - earlier.Uptime, true
}

// Ago returns the moment that is d before m. For an unknown moment it returns m.
func (m Moment) Ago(d time.Duration) Moment {
	if m.BootID == "" {
		return m
	}
	return Moment{BootID: m.BootID, Uptime: m.Uptime - d}
}
