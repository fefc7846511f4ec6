package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	readGuess  = 1e-4        // seconds a token, before the first read has ended
	leastRead  = 300.0       // tokens that a step costs, however little it reads
	usualStep  = 0.1         // weight of one sample in the usual figures
	sampleMost = 3.0         // a sample counts as at most this many times the usual
	firstFade  = time.Second // half-life of the usual wait for a decode engine when no answer begins
	slowBand   = 1.8         // paces within this of the peers' median are chance, not slowness
	slowMost   = 20.0
	paceStep   = 0.25            // weight of one pace sample
	paceFade   = 5 * time.Second // a pace with no fresh sample halves its excess in this time
)

// stage holds what is usual at the engines of a role.
type stage struct {
	took, read  float64 // seconds and tokens of a read
	first       float64 // seconds to the first token, decode engines
	carried     float64 // weight done by warm engines, fading
	at, firstAt Time
	peak        float64 // best rate per warm engine
	reads       shown
}

func (r *Router) sample(usual *float64, v float64) {
	*usual = cmp.Or(*usual, v)
	*usual += (min(v, sampleMost**usual) - *usual) * usualStep // one slow engine is not the pool
}

// noteRead takes one sample of the time that an engine needs for a read.
func (r *Router) noteRead(w *engine, q *request, toRead float64, took time.Duration) {
	st := &r.stages[w.role()]
	tokens := q.ahead + toRead + leastRead
	st.reads.add(q.shown, toRead+leastRead, took.Seconds())
	behind := took.Seconds()/r.perToken(w.role()) - tokens
	w.behind, w.behindAt = r.behind(w)+(behind-r.behind(w))*behindStep, r.now
	r.notePace(w, took.Seconds()/tokens/r.perToken(w.role()))
	r.sample(&st.took, took.Seconds())
	r.sample(&st.read, tokens)
}

// perToken is the usual time for a token; an untried role counts as quick as the other.
func (r *Router) perToken(role Role) float64 {
	for _, st := range []*stage{&r.stages[role], &r.stages[RolePrefill], &r.stages[RoleMixed]} {
		if st.read > 0 {
			return st.took / st.read
		}
	}
	return readGuess
}

// decodeWait is the usual wait for a first token while fresh, or that at half of the decode engines now.
func (r *Router) decodeWait() float64 {
	st := &r.stages[RoleDecode]
	usual := st.first * math.Exp2(-(r.now-st.firstAt).Seconds()/firstFade.Seconds())
	return max(usual, r.survey(RoleDecode).age)
}

// notePace takes one sample of an engine's time against the usual of its role.
func (r *Router) notePace(w *engine, ratio float64) {
	w.pace = r.faded(w)
	w.pace += (min(ratio, slowMost) - w.pace) * paceStep
	w.paceAt = r.now
}

func (r *Router) faded(w *engine) float64 {
	return 1 + (w.pace-1)*math.Exp2(-(r.now-w.paceAt).Seconds()/paceFade.Seconds())
}

// slow is how many times slower than its peers an engine is, 1 if it is not clear.
func (r *Router) slow(w *engine) float64 {
	s := 1.0
	if p := r.faded(w) / max(r.survey(w.role()).pace, 0.1); p > slowBand {
		s = p
	}
	if lag := r.lag(w); lag > lagBand && w.heard <= w.oldest().sentAt {
		s = max(s, lag)
	}
	return min(s, slowMost)
}
