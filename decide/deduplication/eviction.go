package deduplication

import (
	"cmp"
	"slices"
	"time"
)

// An eviction visits every entry. A team that sends many requests while the table is full must not cause an
// eviction for each of them.
const (
	evictionRetryInterval = time.Second // minimum interval after a failed eviction of one team
	maxFailedEvictions    = 256         // number of teams recorded; when it is reached, all are cleared
)

// Fractions of the table, as divisors, that one eviction frees, so that later requests need no eviction.
const (
	evictedAnswersDivisor = 8  // of the answers of the team with the most answer bytes
	freedBytesDivisor     = 16 // of the total answer bytes
	evictedEntriesDivisor = 64 // of all entries
)

// evictAnswers drops the oldest answers of the team with the most answer bytes until the remaining answers
// fit. The entries remain, so their requests are not run again.
func (t *Table) evictAnswers() {
	for t.answerBytes > t.limits.MaxTotalAnswerBytes {
		answered := t.answeredBy(t.teamWithMostAnswerBytes())
		for _, e := range answered[:max(1, len(answered)/evictedAnswersDivisor)] {
			t.dropAnswer(e)
			if t.answerBytes <= t.limits.MaxTotalAnswerBytes-t.limits.MaxTotalAnswerBytes/freedBytesDivisor {
				return
			}
		}
	}
}

// teamWithMostAnswerBytes returns the team with the most answer bytes; of equal teams, the first by name.
func (t *Table) teamWithMostAnswerBytes() string {
	largest := ""
	for name, usage := range t.teams {
		if usage.answerBytes == 0 {
			continue
		}
		if largest == "" || usage.answerBytes > t.teams[largest].answerBytes ||
			usage.answerBytes == t.teams[largest].answerBytes && name < largest {
			largest = name
		}
	}
	return largest
}

// answeredBy returns a team's entries that have an answer, oldest first.
func (t *Table) answeredBy(team string) []*Entry {
	var answered []*Entry
	for k, e := range t.entries {
		if k.Team == team && e.Answer != nil {
			answered = append(answered, e)
		}
	}
	slices.SortFunc(answered, compareAge)
	return answered
}

// compareAge orders entries by age, oldest first, and entries of equal age by name.
func compareAge(a, b *Entry) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Key.Name, b.Key.Name))
}

// ensureCapacity reports whether one more entry of a team can be added. If necessary, it removes complete
// entries that are past MinRetention; see removableFor.
func (t *Table) ensureCapacity(now time.Time, team string) bool {
	if t.hasCapacity(team) {
		return true
	}
	if failedAt, ok := t.failedEvictions[team]; ok && now.Sub(failedAt) < evictionRetryInterval &&
		!now.Before(failedAt) {
		return false
	}
	if t.Expire(now); t.hasCapacity(team) {
		return true
	}
	removable := t.removableFor(team, now)
	if len(removable) == 0 {
		if len(t.failedEvictions) >= maxFailedEvictions {
			clear(t.failedEvictions)
		}
		t.failedEvictions[team] = now
		return false
	}
	for _, e := range removable[:max(1, min(len(removable), t.limits.MaxEntries/evictedEntriesDivisor))] {
		t.remove(e)
	}
	return true
}

func (t *Table) hasCapacity(team string) bool {
	return !t.atTeamLimit(team) && len(t.entries) < t.limits.MaxEntries
}

func (t *Table) atTeamLimit(team string) bool {
	usage := t.teams[team]
	return t.limits.MaxEntriesPerTeam > 0 && usage != nil && usage.entries >= t.limits.MaxEntriesPerTeam
}

// removableFor returns the complete entries past MinRetention that may be removed in favour of an entry of a
// team, oldest first: the team's own entries and, unless the team is at its own limit, those of teams above
// their fair share of the table. A team that floods the table therefore can't displace other teams' keys.
func (t *Table) removableFor(team string, now time.Time) []*Entry {
	teams := len(t.teams)
	if t.teams[team] == nil {
		teams++
	}
	fairShare := t.limits.MaxEntries / teams
	atTeamLimit := t.atTeamLimit(team)
	var removable []*Entry
	for k, e := range t.entries {
		eligible := k.Team == team || !atTeamLimit && t.teams[k.Team].entries > fairShare
		if eligible && e.State == StateComplete && now.Sub(e.Since) >= t.limits.MinRetention {
			removable = append(removable, e)
		}
	}
	slices.SortFunc(removable, compareAge)
	return removable
}

// Expire removes entries past their retention. An entry in progress does not expire.
func (t *Table) Expire(now time.Time) {
	for _, e := range t.entries {
		if t.expired(e, now) {
			t.remove(e)
		}
	}
}

func (t *Table) expired(e *Entry, now time.Time) bool {
	return e.State != StateRunning && now.Sub(e.Since) >= t.limits.Retention
}
