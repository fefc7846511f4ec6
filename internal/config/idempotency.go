package config

import (
	"wellgw/decide/deduplication"
)

// Idempotency sets up the store of idempotency keys. Without it keys are kept in memory, with
// defaults.
type Idempotency struct {
	File          string `json:"file"`           // where keys are kept over a restart; "" for memory alone
	Keys          int    `json:"keys"`           // limit of all keys
	KeysOfTeam    int    `json:"keys_of_team"`   // limit of one team's keys; default: half of all, if there are several teams
	AnswerBytes   int64  `json:"answer_bytes"`   // limit of all stored answers
	LargestAnswer int    `json:"largest_answer"` // limit of one stored answer, in bytes
	AgeMS         int64  `json:"age_ms"`
	LeastMS       int64  `json:"least_ms"`
	Sticky        bool   `json:"sticky"` // all attempts under a key reach the same gateway
}

// answerMemoryDivisor gives the part of the memory limit that stored answers may take.
const answerMemoryDivisor = 12

// IdempotencyLimits are what decide/deduplication is given.
func (o *Operator) IdempotencyLimits() deduplication.Limits {
	l := deduplication.DefaultLimits()
	l.MaxTotalAnswerBytes = min(l.MaxTotalAnswerBytes, int64(o.Limits.MemoryMB)<<20/answerMemoryDivisor)
	i := o.Idempotency
	if i == nil {
		i = &Idempotency{}
	}
	if i.Keys > 0 {
		l.MaxEntries = i.Keys
	}
	if l.MaxEntriesPerTeam = i.KeysOfTeam; l.MaxEntriesPerTeam == 0 && len(o.Teams) > 1 {
		l.MaxEntriesPerTeam = max(1, l.MaxEntries/2)
	}
	if i.AnswerBytes > 0 {
		l.MaxTotalAnswerBytes = i.AnswerBytes
	}
	if i.LargestAnswer > 0 {
		l.MaxAnswerBytes = i.LargestAnswer
	}
	l.Retention, l.MinRetention = millis(i.AgeMS, l.Retention), millis(i.LeastMS, l.MinRetention)
	return l
}

func (o *Operator) validateKeys() error {
	if err := o.IdempotencyLimits().Validate(); err != nil {
		return inSection("idempotency", err)
	}
	return nil
}
