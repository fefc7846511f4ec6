package routing

import (
	"maps"
	"time"
)

const (
	cacheEntryTTL   = time.Minute // most sessions' turns lie closer; older text is as likely evicted as cached
	maxCacheEntries = 4096        // sessions for each engine; beyond it the aged entries are dropped
)

type cacheEntry struct {
	tokens   int
	cachedAt Time
}

// cachedTokens is how many of a prompt's tokens an engine is believed to have cached: what the index
// says or, at the prefix's homes, the shared prefix.
func (r *Router) cachedTokens(req *request, e *engine) int {
	best := 0
	if h, ok := e.sessions[req.Session]; ok && req.Session != "" && r.now-h.cachedAt < cacheEntryTTL {
		best = h.tokens
	}
	if h, ok := e.prefixes[req.Prefix]; ok && req.Prefix != "" && r.now-h.cachedAt < cacheEntryTTL {
		best = max(best, min(h.tokens, req.PrefixLen))
	}
	switch e {
	case req.home: // perhaps the session's earlier turns too
		best = max(best, (req.PrefixLen+req.PromptTokens)/2)
	case req.secondHome:
		best = max(best, req.PrefixLen)
	}
	return max(min(best, req.PromptTokens-1), 0)
}

// recordCached enters what an engine has cached after a prefill. What the prefill itself found needs no
// entry: one that was wrong is right now.
func (r *Router) recordCached(req *request, e *engine) {
	if req.Session != "" {
		e.sessions[req.Session] = cacheEntry{req.PromptTokens, r.now}
	}
	if req.Prefix != "" {
		e.prefixes[req.Prefix] = cacheEntry{req.PrefixLen, r.now}
	}
	aged := func(_ string, entry cacheEntry) bool { return r.now-entry.cachedAt > cacheEntryTTL }
	if len(e.sessions) > maxCacheEntries {
		maps.DeleteFunc(e.sessions, aged)
		maps.DeleteFunc(e.prefixes, aged)
	}
}
