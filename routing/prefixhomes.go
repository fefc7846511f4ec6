package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	homeParts  = 4.0   // shared beginnings that a prefill engine is home to: their loads even out
	seenMost   = 400.0 // requests over which the share of a beginning is counted
	seenLeast  = 40.0  // with fewer of them a share is not believed
	mixedShare = 0.6   // work of a mixed engine against a decode engine's, which need not read
)

// count keeps how often each shared beginning comes, and all under ""; old counts fade.
func (r *Router) count(prefix string) {
	r.seen[""]++
	if prefix != "" {
		r.seen[prefix]++
	}
	if r.seen[""] > seenMost {
		maps.DeleteFunc(r.seen, func(_ string, n float64) bool { return n < 2 })
		for k := range r.seen {
			r.seen[k] /= 2
		}
	}
}

// home names two prefill engines at which to expect the text of a session that this router has not
// seen: the same at every router, by rendezvous hash. A shared beginning has more homes the
// more requests begin with it; the session picks among them by the plan's weights. It does
// harm where a home has just lost its text.
func (r *Router) home(q *request, pool []*engine) (home, spare *engine) {
	text := cmp.Or(q.Prefix, q.Session)
	if text == "" || len(pool) == 0 {
		return nil, nil
	}
	sure := r.seen[q.Prefix] - max(1, 0.7*math.Sqrt(r.seen[q.Prefix])) // what chance would not bring
	share := max(0, sure) / max(r.seen[""], seenLeast)
	homes := 2 + int(share*homeParts*float64(len(pool))) // one, a spare and more for a hot one
	ranked := slices.Clone(pool)
	if homes < len(pool) {
		of := make(map[*engine]float64, len(pool))
		for _, w := range pool {
			of[w] = blend(text, w.Name)
		}
		slices.SortFunc(ranked, func(a, b *engine) int { return cmp.Compare(of[a], of[b]) })
		ranked = ranked[:homes]
	}
	low, next := math.Inf(1), math.Inf(1)
	plan := r.plan()
	for _, w := range ranked {
		weight := w.Weight * mixedShare
		if w.role() == RolePrefill {
			c := cellOf(plan, w.Cell)
			weight = w.Weight * c.reads / c.prefillEngines
		}
		if far := -math.Log(blend(cmp.Or(q.Session, text), w.Name)) / max(weight, 1e-9); far < low {
			home, low, spare, next = w, far, home, low
		} else if far < next {
			spare, next = w, far
		}
	}
	return home, spare
}
