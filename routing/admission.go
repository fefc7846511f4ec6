package routing

const (
	admitLeast = 0.4 // part of the aim that the wait may take for work of no worth
	admitMost  = 0.7 // and for work of the highest; estimates are off by about a third
)

// overloaded tells what to refuse early: it would come too late, or make worthier work late.
func (r *Router) overloaded(q *request, wait float64) bool {
	part := admitLeast + (admitMost-admitLeast)*min(1, q.density/r.topGain)
	left := q.aim - r.now
	for i := range r.set.Classes {
		if c := &r.set.Classes[i]; c.PriorityWeight > q.density {
			left = min(left, c.aim(q.PromptTokens))
		}
	}
	return wait > part*left.Seconds()
}

// room is how many tokens the decode engines are believed to have free for what is not yet being read.
func (r *Router) room() float64 {
	free := 0.0
	for _, w := range r.order {
		switch {
		case w.role() == RoleDecode && w.usable && r.trusted(w):
			free += max(0, 1-r.fill(w)) * w.kind.Memory
		case w.role() == RolePrefill:
			for _, q := range w.out {
				free -= r.size(q) * float64(r.set.Gateways)
			}
		}
	}
	return free
}
