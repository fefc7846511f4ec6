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

// maxIncarnationFile limits how many bytes are read from the incarnation file.
const maxIncarnationFile = 64

// startIncarnation returns an incarnation above that of any earlier process of this gateway: one
// more than the value in the file, or the wall clock's Unix time if that is higher or there is no
// file. If the file is lost and the clock was set back, the value may be too low; the protocol
// then raises it, because the other members of the tier report a higher one. An error means that
// the file can't be read or written; the returned incarnation is valid nevertheless, so the
// gateway can start.
func startIncarnation(path string, wall time.Time) (uint64, error) {
	fromClock := uint64(wall.Unix())
	if path == "" {
		return fromClock, nil
	}
	next := fromClock
	text, err := files.Read(path, maxIncarnationFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		err = nil
	case err == nil:
		var last uint64
		if last, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil {
			next = max(last+1, fromClock)
		}
	}
	return next, errors.Join(err, writeIncarnation(path, next))
}

// writeIncarnation replaces the incarnation file atomically.
func writeIncarnation(path string, n uint64) error {
	if err := files.WriteAtomic(path, []byte(strconv.FormatUint(n, 10)+"\n")); err != nil {
		return fmt.Errorf("peers.incarnation_file: %w", err)
	}
	return nil
}

// incarnationRetryInterval is the time between attempts to write the incarnation file.
const incarnationRetryInterval = time.Second

// persistIncarnations writes each incarnation that this gateway raises to refute a suspicion,
// and retries failed writes, until ctx ends.
func (p *Peers) persistIncarnations(ctx context.Context) {
	pending := uint64(0)
	retry := time.NewTicker(incarnationRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case pending = <-p.incarnations:
		case <-retry.C:
		}
		if p.opt.IncarnationFile == "" || pending == 0 {
			continue
		}
		if err := writeIncarnation(p.opt.IncarnationFile, pending); err != nil {
			p.opt.Log.Warn("incarnation write failed, retrying", "cause", err)
			continue
		}
		pending = 0
	}
}
