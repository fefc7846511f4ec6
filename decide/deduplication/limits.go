package deduplication

import (
	"time"

	"wellgw/decide/setting"
)

// Limits bound what a Table remembers, and for how long.
type Limits struct {
	MaxEntries          int
	MaxEntriesPerTeam   int           // 0: as many as MaxEntries
	MaxTotalAnswerBytes int64         // of all answers together
	MaxAnswerBytes      int           // a larger answer is not kept
	Retention           time.Duration // an entry is removed this long after its request ended
	MinRetention        time.Duration // and never sooner than this, whatever room is needed
	// UncertaintyPeriod is how long after a restart that may have lost entries a retry under an unseen
	// key is not run.
	UncertaintyPeriod time.Duration
}

// DefaultLimits returns the limits for settings that an operator leaves out.
func DefaultLimits() Limits {
	return Limits{
		MaxEntries: 20_000, MaxTotalAnswerBytes: 16 << 20, MaxAnswerBytes: 256 << 10,
		Retention: 24 * time.Hour, MinRetention: 10 * time.Minute, UncertaintyPeriod: 10 * time.Minute,
	}
}

// Validate returns an error that names the setting at fault, as operators know it.
func (l Limits) Validate() error {
	switch {
	case l.MaxEntries < 1:
		return setting.New("keys", "below 1")
	case l.MaxTotalAnswerBytes < 0 || l.MaxAnswerBytes < 0:
		return setting.New("answer_bytes, largest_answer", "below 0")
	case l.MinRetention <= 0 || l.Retention < l.MinRetention:
		return setting.New("least_ms, age_ms", "the age must be no less than the least, and both above 0")
	}
	return nil
}
