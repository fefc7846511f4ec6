package routing

import (
	"cmp"
	"slices"
)

// eligible lists the engines that the guards admit for a read or an answer.
func (r *Router) eligible(q *request, read bool) []*engine {
	var fit, well []*engine
	for _, w := range r.order {
		role := w.role()
		wanted := role == RoleMixed || read && role == RolePrefill || !read && role == RoleDecode
		full := w.fullTo[rateKey(q)] > r.now
		if !wanted || !w.usable || full || !r.mayRun(q, w) || !r.coldRoom(w, r.weights[q.Class]) {
			continue
		}
		fit = append(fit, w)
		if w != q.avoid && r.trusted(w) {
			well = append(well, w)
		}
	}
	// The floor: at least half of those fit are kept, the least failing first.
	if short := (len(fit)+1)/2 - len(well); short > 0 {
		rest := slices.DeleteFunc(slices.Clone(fit), func(w *engine) bool { return slices.Contains(well, w) })
		slices.SortStableFunc(rest, func(a, b *engine) int { return cmp.Compare(a.fail, b.fail) })
		well = append(well, rest[:short]...)
	}
	return well
}
