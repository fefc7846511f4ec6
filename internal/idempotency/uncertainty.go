package idempotency

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"wellgw/internal/bootclock"
)

// updateUncertainty returns how much longer keys may be missing, and stores the moment from which that
// time counts. It counts from now unless the file, which was closed cleanly, has an earlier moment or says
// that no key can be missing. It also does if the time since that moment is unknown, as after a reboot.
func updateUncertainty(meta *bbolt.Bucket, clean bool, now bootclock.Moment, period time.Duration) (time.Duration, error) {
	if stored := meta.Get(metaUncertain); clean && stored != nil {
		remaining, known, err := remainingUncertainty(stored, now, period)
		if err != nil {
			return 0, err
		}
		if known && remaining == 0 {
			return 0, meta.Put(metaUncertain, noUncertainty)
		}
		if known {
			return remaining, nil
		}
	}
	began, err := json.Marshal(now)
	if err != nil {
		return 0, err
	}
	return period, meta.Put(metaUncertain, began)
}

// remainingUncertainty returns how much of the period is left by a stored value, and whether that is known.
func remainingUncertainty(stored []byte, now bootclock.Moment, period time.Duration) (remaining time.Duration, known bool, err error) {
	if bytes.Equal(stored, noUncertainty) {
		return 0, true, nil
	}
	var began bootclock.Moment
	if err := json.Unmarshal(stored, &began); err != nil {
		return 0, false, fmt.Errorf("%w: uncertainty: %w", errDamaged, err)
	}
	age, known := now.Since(began)
	return max(0, period-age), known, nil
}
