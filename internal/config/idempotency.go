package config

import (
	"wellgw/decide/deduplication"
)

// Idempotency says how keys are remembered under which clients ask for what must not run
// twice. Without it they are, in memory alone.
type Idempotency struct {
	File          string `json:"file"`           // where they are kept over a restart; none without it
	Keys          int    `json:"keys"`           // that are remembered at most
	KeysOfTeam    int    `json:"keys_of_team"`   // of one team at most; default: half, if there are more teams
	AnswerBytes   int64  `json:"answer_bytes"`   // of all answers kept
	LargestAnswer int    `json:"largest_answer"` // bytes
	AgeMS         int64  `json:"age_ms"`
	LeastMS       int64  `json:"least_ms"`
	Sticky        bool   `json:"sticky"` // a key's tries all come to one gateway
}

// answerPart is the most of the memory limit that kept answers take.
const answerPart = 12

// KeyLimits are what decide/deduplication is given.
func (o *Operator) KeyLimits() deduplication.Limits {
	l := deduplication.DefaultLimits()
	l.MaxTotalAnswerBytes = min(l.MaxTotalAnswerBytes, int64(o.Limits.MemoryMB)<<20/answerPart)
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
	if err := o.KeyLimits().Validate(); err != nil {
		return within("idempotency", err)
	}
	return nil
}
