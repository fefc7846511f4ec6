package routing

import (
	"math"
	"slices"
)

const (
	gateThreshold = 0.1 // a best match of no more than this part of the prompt counts as none
	capMultiple   = 2.0 // a prefill engine may hold this many times its fair share of active requests
	answerWeight  = 0.3 // part of a read at a mixed engine that each answer there is held to lose
	spareWeight   = 0.7 // of a read at a decode engine against one at a prefill engine, nobody behind it
	readWeight    = 4.0 // of a token to read against one queued: it delays all later ones and drives out text
	shortWeight   = 4.0 // times that the wait for a decode engine counts anew where memory seems short
)

// pickPrefill is the design's choice: held prefix against queued load behind gate and cap.
func (r *Router) pickPrefill(q *request) (*engine, float64) {
	later := r.decodeWait()
	pool := r.eligible(q, true)
	q.home, q.spare = nil, nil
	best, active := 0, 1
	for _, w := range pool {
		best = max(best, r.match(q, w))
		active += w.reads + w.states
	}
	gate := int(gateThreshold * float64(q.PromptTokens))
	if best <= max(gate, q.PrefixLen) { // nothing is known here of the session itself
		q.home, q.spare = r.home(q, pool)
		if q.home != nil {
			best = max(best, r.match(q, q.home))
		}
	}
	gated := best <= gate
	most := capMultiple * math.Ceil(float64(active)/float64(max(len(pool), 1)))
	over := func(w *engine) bool { return float64(w.reads+w.states+1) > most }
	capped := slices.DeleteFunc(slices.Clone(pool), over)
	if len(capped) == 0 {
		capped = pool
	}
	if r.set.DecodePrefills {
		capped = append(capped, r.spareDecodeEngines(q)...)
	}
	cost := func(w *engine) float64 {
		m := 0
		if !gated {
			m = r.match(q, w)
		}
		tokens := r.queue(w) + readWeight*float64(q.PromptTokens-m) + leastRead
		cost := tokens * r.perToken(w.role()) * r.slow(w) / w.Weight
		switch w.role() {
		case RolePrefill: // its state waits for a decode engine
			return cost + later
		case RoleDecode:
			return cost * spareWeight
		}
		// At a mixed engine each running answer waits out the read.
		return cost * (1 + answerWeight*float64(w.answers*r.set.Gateways))
	}
	if !gated && r.ask(q, capped, cost) { // kept text draws every router's choice alike
		return nil, 0
	}
	w := r.least(q, capped, func(w *engine) float64 {
		return cost(w) + r.queued(w)*r.perToken(w.role())*r.slow(w)/w.Weight
	})
	if w == nil {
		return nil, 0
	}
	wait := cost(w)
	if w.reads == 0 && w.role() == RolePrefill && r.queued(w) < leastRead { // an idle one is tried
		wait = later
	}
	wait = max(wait, r.age(w)) // first come, first read: the oldest tells what the wait is at least
	switch {
	case w.role() == RolePrefill && r.room() < r.size(q): // by a guess: the wait seen tells how much it matters
		wait += shortWeight * later
	case w.role() == RoleMixed && r.fill(w)+r.size(q)/max(w.kind.Memory, 1) > 1:
		wait = max(wait, q.class.FirstTokenObjective.Seconds())
	}
	return w, wait
}

// spareDecodeEngines are those that may read a prompt themselves and have memory to spare. They
// relieve prefill engines that have a queue. Their running answers wait meanwhile: one read at a time.
func (r *Router) spareDecodeEngines(q *request) []*engine {
	return slices.DeleteFunc(r.eligible(q, false), func(w *engine) bool {
		return w.role() != RoleDecode || w.reads > 0 || r.fill(w)+r.size(q)/max(w.kind.Memory, 1) > memoryRoomy
	})
}

// least returns the engine of least cost; ties go by chance of request and seed.
func (r *Router) least(q *request, pool []*engine, cost func(*engine) float64) *engine {
	var best *engine
	var low, tie float64
	for _, w := range pool {
		c, t := cost(w), r.chance(q.ID, w.Name)
		if best == nil || c < low-1e-12 || c <= low+1e-12 && t < tie {
			best, low, tie = w, c, t
		}
	}
	return best
}
