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
	last, invalid := parseIncarnation(files.Read(path, maxIncarnationFile))
	next := max(last+1, fromClock)
	err := files.Update(path, maxIncarnationFile, func(text []byte, err error) ([]byte, error) {
		last, _ := parseIncarnation(text, err) // again, as it may have changed meanwhile
		next = max(next, last+1)
		return formatIncarnation(next), nil
	})
	return next, errors.Join(invalid, wrapIncarnationError(err))
}

// writeIncarnation raises the number in the incarnation file to n.
func writeIncarnation(path string, n uint64) error {
	return wrapIncarnationError(files.Update(path, maxIncarnationFile, func(text []byte, err error) ([]byte, error) {
		if last, err := parseIncarnation(text, err); err == nil && last >= n {
			return nil, nil // another process of this gateway has a higher one
		}
		return formatIncarnation(n), nil
	}))
}

// parseIncarnation returns the number in the text of an incarnation file, which was read with the given
// error; 0 if there is no file.
func parseIncarnation(text []byte, err error) (uint64, error) {
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, err
	}
	return n, nil
}

func formatIncarnation(n uint64) []byte { return []byte(strconv.FormatUint(n, 10) + "\n") }

// wrapIncarnationError adds the name of the setting to an error.
func wrapIncarnationError(err error) error {
	if err != nil {
		err = fmt.Errorf("peers.incarnation_file: %w", err)
	}
	return err
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
