package routing

import (
	"maps"
	"time"
)

const (
	// Most turns of a session are less than a minute apart. An older prompt is as likely evicted as cached.
	cacheEntryTTL   = time.Minute
	maxCacheEntries = 4096 // sessions per engine above which expired entries are deleted
)

// prefixCache is an index of the estimated contents of one engine's prefix cache. Finished prefills add
// entries, a restart of the engine clears it, and placement uses it.
type prefixCache struct {
	sessions, prefixes map[string]cacheEntry
}

// cacheEntry is a prompt or prefix that is probably cached.
type cacheEntry struct {
	tokens   int
	cachedAt Time
}

func newPrefixCache() prefixCache {
	return prefixCache{sessions: map[string]cacheEntry{}, prefixes: map[string]cacheEntry{}}
}

// cachedTokens is the estimated number of cached prompt tokens of a request.
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

// record adds the entries for a finished prefill. They replace earlier entries, so that the cached tokens
// which the engine reported are not needed to correct those.
func (c *prefixCache) record(req *Request, now Time) {
	if req.Session != "" {
		c.sessions[req.Session] = cacheEntry{req.PromptTokens, now}
	}
	if req.Prefix != "" {
		c.prefixes[req.Prefix] = cacheEntry{req.PrefixLen, now}
	}
	expired := func(_ string, entry cacheEntry) bool { return now-entry.cachedAt > cacheEntryTTL }
	if len(c.sessions) > maxCacheEntries {
		maps.DeleteFunc(c.sessions, expired)
		maps.DeleteFunc(c.prefixes, expired)
	}
}

// cachedTokens is the estimated number of prompt tokens that an engine has cached, according to its index.
// At a prefix home it is at least the length of the shared prefix.
func (r *Router) cachedTokens(req *request, e *engine) int {
	best := e.cache.cachedTokens(&req.Request, r.now)
	switch e {
	case req.home: // earlier turns of the session may be cached, too
		best = max(best, (req.PrefixLen+req.PromptTokens)/2)
	case req.secondHome:
		best = max(best, req.PrefixLen)
	}
	return max(min(best, req.PromptTokens-1), 0)
}
