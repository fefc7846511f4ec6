package peers

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"strconv"
	"strings"
	"time"

	"wellgw/internal/files"
)

// maxIncarnationFile bounds what is read of the file, in bytes.
const maxIncarnationFile = 64

// startIncarnation returns an incarnation above that of any earlier process, by the file or,
// without one, by the wall clock. If both are lost the tier corrects it. An error is that of a file
// that can't be read or written, and no reason not to start.
func startIncarnation(path string, wall time.Time) (uint64, error) {
	clock := uint64(wall.Unix())
	if path == "" {
		return clock, nil
	}
	next := clock
	text, err := files.Read(path, maxIncarnationFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		err = nil
	case err == nil:
		var last uint64
		if last, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil {
			next = max(last+1, clock)
		}
	}
	return next, errors.Join(err, writeIncarnation(path, next))
}

// writeIncarnation replaces the file atomically.
func writeIncarnation(path string, n uint64) error {
	if err := files.WriteAtomic(path, []byte(strconv.FormatUint(n, 10)+"\n")); err != nil {
		return fmt.Errorf("peers.incarnation_file: %w", err)
	}
	return nil
}

// incarnationRetryInterval is how soon a write that failed is tried again.
const incarnationRetryInterval = time.Second

// persistIncarnations writes the incarnations that this gateway has raised to refute, and
// retries a write that failed, until ctx ends.
func (p *Peers) persistIncarnations(ctx context.Context) {
	unwritten := uint64(0)
	retry := time.NewTicker(incarnationRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case unwritten = <-p.incarnations:
		case <-retry.C:
		}
		if p.opt.IncarnationFile == "" || unwritten == 0 {
			continue
		}
		if err := writeIncarnation(p.opt.IncarnationFile, unwritten); err != nil {
			p.opt.Log.Warn("incarnation write failed, retrying", "cause", err)
			continue
		}
		unwritten = 0
	}
}
