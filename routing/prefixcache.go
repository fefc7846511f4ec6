package routing

import (
	"maps"
	"time"
)

const (
	horizon   = time.Minute // most sessions' turns lie closer; older entries are as likely gone as kept
	tableMost = 4096        // entries a prefill engine; a sweep drops the aged ones beyond it
)

type held struct {
	tokens int
	seen   Time
}

// match is how many of a prompt's tokens an engine is believed to keep: what its
// table says or, at the prompt's home, the shared beginning.
func (r *Router) match(q *request, w *engine) int {
	best := 0
	if h, ok := w.sessions[q.Session]; ok && q.Session != "" && r.now-h.seen < horizon {
		best = h.tokens
	}
	if h, ok := w.prefixes[q.Prefix]; ok && q.Prefix != "" && r.now-h.seen < horizon {
		best = max(best, min(h.tokens, q.PrefixLen))
	}
	switch w {
	case q.home: // perhaps the session's earlier turns too
		best = max(best, (q.PrefixLen+q.PromptTokens)/2)
	case q.spare:
		best = max(best, q.PrefixLen)
	}
	return max(min(best, q.PromptTokens-1), 0)
}

// noteKept enters what an engine keeps after a read. It needs no correction by what
// the read found: an entry that was wrong is right now.
func (r *Router) noteKept(q *request, w *engine) {
	if q.Session != "" {
		w.sessions[q.Session] = held{q.PromptTokens, r.now}
	}
	if q.Prefix != "" {
		w.prefixes[q.Prefix] = held{q.PrefixLen, r.now}
	}
	if aged := func(_ string, h held) bool { return r.now-h.seen > horizon }; len(w.sessions) > tableMost {
		maps.DeleteFunc(w.sessions, aged)
		maps.DeleteFunc(w.prefixes, aged)
	}
}
