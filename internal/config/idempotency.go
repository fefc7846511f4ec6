package config

import (
	"wellgw/decide/deduplication"
)

// Idempotency configures the store of idempotency keys. Without this section, keys are stored in memory and
// the defaults apply.
type Idempotency struct {
	File          string `json:"file"`           // where keys are stored across restarts; "" for memory only
	Keys          int    `json:"keys"`           // limit for all keys
	KeysOfTeam    int    `json:"keys_of_team"`   // limit per team; default if several teams: half of keys
	AnswerBytes   int64  `json:"answer_bytes"`   // limit for all stored answers
	LargestAnswer int    `json:"largest_answer"` // limit for one stored answer, in bytes
	AgeMS         int64  `json:"age_ms"`         // retention of a key after its request has ended
	LeastMS       int64  `json:"least_ms"`       // minimum retention, even if capacity is exhausted
	Sticky        bool   `json:"sticky"`         // the load balancer sends a key always to the same gateway
}

// answerMemoryDivisor is the divisor of the memory limit that yields the limit for all stored answers.
const answerMemoryDivisor = 12

// IdempotencyLimits returns the limits for package deduplication.
func (o *Operator) IdempotencyLimits() deduplication.Limits {
	limits := deduplication.DefaultLimits()
	limits.MaxTotalAnswerBytes = min(limits.MaxTotalAnswerBytes, int64(o.Limits.MemoryMB)<<20/answerMemoryDivisor)
	section := o.Idempotency
	if section == nil {
		section = &Idempotency{}
	}
	if section.Keys > 0 {
		limits.MaxEntries = section.Keys
	}
	if limits.MaxEntriesPerTeam = section.KeysOfTeam; limits.MaxEntriesPerTeam == 0 && len(o.Teams) > 1 {
		limits.MaxEntriesPerTeam = max(1, limits.MaxEntries/2)
	}
	if section.AnswerBytes > 0 {
		limits.MaxTotalAnswerBytes = section.AnswerBytes
	}
	if section.LargestAnswer > 0 {
		limits.MaxAnswerBytes = section.LargestAnswer
	}
	limits.Retention, limits.MinRetention = millis(section.AgeMS, limits.Retention), millis(section.LeastMS, limits.MinRetention)
	return limits
}

func (o *Operator) validateKeys() error {
	if err := o.IdempotencyLimits().Validate(); err != nil {
		return inSection("idempotency", err)
	}
	return nil
}
