// Package pause provides a sleep that a context can end.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
