package routing

import (
	"fmt"
	"testing"
)

func TestTableAgesAndIsCorrected(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	w := r.engines.byName["a"]
	q := &request{Request: Request{Session: "s", Prefix: "p", PrefixLen: 300, PromptTokens: 1000}}
	w.cache.record(&q.Request, r.now)
	if m := r.cachedTokens(q, w); m != 999 {
		t.Errorf("after a read: match %d, want all but one token", m)
	}
	r.now += cacheEntryTTL
	if m := r.cachedTokens(q, w); m != 0 {
		t.Errorf("aged entry still matches %d", m)
	}
	other := &request{Request: Request{Session: "t", PromptTokens: 1000}}
	cacheSession(r, "a", "t", 900)
	fresh := testEngine("a", "r", 0)
	fresh.StartTime = r.now
	r.Handle(r.now, EngineList{Scope: EngineListDelta, Engines: []EngineInfo{fresh}})
	if m := r.cachedTokens(other, w); m != 0 {
		t.Error("entries outlived a restart")
	}
}

// The index of an engine does not grow without end: beyond its bound, what has aged is dropped.
func TestCacheIndexDropsAgedEntries(t *testing.T) {
	cache := newPrefixCache()
	enter := func(from, to int, now Time) {
		for i := from; i < to; i++ {
			cache.record(&Request{Session: fmt.Sprint("s", i), Prefix: fmt.Sprint("p", i%50+from), PromptTokens: 100}, now)
		}
	}
	enter(0, maxCacheEntries, 0)
	enter(maxCacheEntries, maxCacheEntries+1, cacheEntryTTL)
	if len(cache.sessions) != maxCacheEntries+1 {
		t.Errorf("%d sessions, want all: none has aged", len(cache.sessions))
	}
	enter(maxCacheEntries+1, maxCacheEntries+2, cacheEntryTTL+1)
	if len(cache.sessions) != 2 || len(cache.prefixes) != 2 {
		t.Errorf("%d sessions and %d prefixes, want the 2 that have not aged", len(cache.sessions), len(cache.prefixes))
	}
}
