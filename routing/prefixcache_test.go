package routing

import (
	"fmt"
	"testing"
)

func TestCacheEntriesExpireAndAreClearedOnRestart(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	w := r.engines.byName["a"]
	q := &request{Request: Request{Session: "s", Prefix: "p", PrefixLen: 300, PromptTokens: 1000}}
	w.cache.record(&q.Request, r.now)
	if m := r.cachedTokens(q, w); m != 999 {
		t.Errorf("%d tokens cached after a prefill, want 999: all but one token", m)
	}
	r.now += cacheEntryTTL
	if m := r.cachedTokens(q, w); m != 0 {
		t.Errorf("an expired entry counts %d cached tokens, want 0", m)
	}
	other := &request{Request: Request{Session: "t", PromptTokens: 1000}}
	cacheSession(r, "a", "t", 900)
	restarted := testEngine("a", "r", 0)
	restarted.StartTime = r.now
	r.Handle(r.now, EngineList{Scope: EngineListDelta, Engines: []EngineInfo{restarted}})
	if m := r.cachedTokens(other, w); m != 0 {
		t.Error("cache entries were not cleared on a restart of the engine")
	}
}

// The index of an engine must not grow without bound: above maxCacheEntries, expired entries are deleted.
func TestCacheIndexDeletesExpiredEntries(t *testing.T) {
	cache := newPrefixCache()
	record := func(from, to int, now Time) {
		for i := from; i < to; i++ {
			cache.record(&Request{
				Session: fmt.Sprint("s", i), Prefix: fmt.Sprint("p", i%50+from), PromptTokens: 100}, now)
		}
	}
	record(0, maxCacheEntries, 0)
	record(maxCacheEntries, maxCacheEntries+1, cacheEntryTTL)
	if len(cache.sessions) != maxCacheEntries+1 {
		t.Errorf("%d sessions, want all, as none has expired", len(cache.sessions))
	}
	record(maxCacheEntries+1, maxCacheEntries+2, cacheEntryTTL+1)
	if len(cache.sessions) != 2 || len(cache.prefixes) != 2 {
		t.Errorf("%d sessions and %d prefixes, want the 2 that have not expired",
			len(cache.sessions), len(cache.prefixes))
	}
}
