package routing

import (
	"maps"
	"time"
)

const (
	cacheEntryTTL   = time.Minute // most sessions' turns lie closer; older text is as likely evicted as cached
	maxCacheEntries = 4096        // sessions for each engine; beyond it the aged entries are dropped
)

// prefixCache is the index of what one engine is believed to have in its prefix cache. It reads and
// changes nothing else. Finished prefills enter what they leave; placement asks; a restart clears it.
type prefixCache struct {
	sessions, prefixes map[string]cacheEntry
}

// cacheEntry is a text believed to be cached.
type cacheEntry struct {
	tokens   int
	cachedAt Time
}

func newPrefixCache() prefixCache {
	return prefixCache{sessions: map[string]cacheEntry{}, prefixes: map[string]cacheEntry{}}
}

// cachedTokens is how many of a request's prompt cachedTokens are believed to be cached.
func (c *prefixCache) cachedTokens(req *Request, now Time) int {
	best := 0
	if entry, ok := c.sessions[req.Session]; ok && req.Session != "" && now-entry.cachedAt < cacheEntryTTL {
		best = entry.tokens
	}
	if entry, ok := c.prefixes[req.Prefix]; ok && req.Prefix != "" && now-entry.cachedAt < cacheEntryTTL {
		best = max(best, min(entry.tokens, req.PrefixLen))
	}
	return best
}

// record enters what is cached after a prefill. What the prefill itself found needs no entry: one that
// was wrong is right now.
func (c *prefixCache) record(req *Request, now Time) {
	if req.Session != "" {
		c.sessions[req.Session] = cacheEntry{req.PromptTokens, now}
	}
	if req.Prefix != "" {
		c.prefixes[req.Prefix] = cacheEntry{req.PrefixLen, now}
	}
	aged := func(_ string, entry cacheEntry) bool { return now-entry.cachedAt > cacheEntryTTL }
	if len(c.sessions) > maxCacheEntries {
		maps.DeleteFunc(c.sessions, aged)
		maps.DeleteFunc(c.prefixes, aged)
	}
}

// cachedTokens is how many of a prompt's tokens an engine is believed to have cached: what the index
// says or, at the prefix's homes, the shared prefix.
func (r *Router) cachedTokens(req *request, e *engine) int {
	best := e.cache.cachedTokens(&req.Request, r.now)
	switch e {
	case req.home: // perhaps the session's earlier turns too
		best = max(best, (req.PrefixLen+req.PromptTokens)/2)
	case req.secondHome:
		best = max(best, req.PrefixLen)
	}
	return max(min(best, req.PromptTokens-1), 0)
}
