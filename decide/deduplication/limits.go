package deduplication

import (
	"time"

	"wellgw/decide/setting"
)

// Limits are the capacity and retention limits of a Table.
type Limits struct {
	MaxEntries          int
	MaxEntriesPerTeam   int           // 0: MaxEntries applies
	MaxTotalAnswerBytes int64         // total size of all answers
	MaxAnswerBytes      int           // a larger answer is not stored
	Retention           time.Duration // time from the end of a request to the removal of its entry
	MinRetention        time.Duration // minimum retention, even if capacity is exhausted
	// UncertaintyPeriod is the time after a start that may have lost entries in which a retry with an
	// unseen key is not run.
	UncertaintyPeriod time.Duration
}

// DefaultLimits returns the limits for settings that the operator does not specify.
func DefaultLimits() Limits {
	return Limits{
		MaxEntries: 20_000, MaxTotalAnswerBytes: 16 << 20, MaxAnswerBytes: 256 << 10,
		Retention: 24 * time.Hour, MinRetention: 10 * time.Minute, UncertaintyPeriod: 10 * time.Minute,
	}
}

// Validate returns an error that names the invalid setting as it is spelt in the operator's file.
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
