package peers

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// startIncarnation is above that of an earlier life, by what was written down or, without
// it, by the clock. The tier corrects it if both are lost.
func startIncarnation(path string) (uint64, error) {
	clock := uint64(time.Now().Unix())
	if path == "" {
		return clock, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return clock, writeIncarnation(path, clock)
	}
	if err != nil {
		return 0, fmt.Errorf("peers.incarnation_file: %w", err)
	}
	last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil { // cut off or overwritten: the tier knows better
		last = 0
	}
	next := max(last+1, clock)
	return next, writeIncarnation(path, next)
}

// writeIncarnation replaces the file whole.
func writeIncarnation(path string, n uint64) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".incarnation")
	if err != nil {
		return fmt.Errorf("peers.incarnation_file: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintln(f, n)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("peers.incarnation_file: %w", err)
	}
	return nil
}

// keepIncarnation writes down what the tier has made us raise.
func (p *Peers) keepIncarnation(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.inc:
			if p.opt.IncarnationFile == "" {
				continue
			}
			if err := writeIncarnation(p.opt.IncarnationFile, n); err != nil {
				p.opt.Log.Warn("incarnation not written", "cause", err)
			}
		}
	}
}
