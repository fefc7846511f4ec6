package fleetsim

import (
	"math/rand/v2"
	"slices"

	"wellgw/routing"
)

// Module is the gateway's own module.
func Module(set routing.Settings, seed uint64) Decider {
	r, err := routing.New(set, seed)
	if err != nil {
		panic(err) // a drawn deployment is always one that can be used
	}
	return r
}

// Baseline names a plain policy.
type Baseline struct {
	Name string
	Policy
}

// Baselines are what a gateway does with no thought: any engine; the one that has the
// fewest requests of this gateway in hand; the prefill engine last used for the session or its
// shared beginning. They keep the rules and turn nothing away before it has failed.
func Baselines() []Baseline {
	of := func(pick func(*plain, *plainRequest, []*plainServer) *plainServer) Policy {
		return func(set routing.Settings, seed uint64) Decider {
			return &plain{
				set: set, pick: pick, rng: rand.New(rand.NewPCG(seed, 5)), last: map[string]string{},
				reqs: map[routing.RequestID]*plainRequest{}, servers: map[string]*plainServer{},
			}
		}
	}
	return []Baseline{{"random", of((*plain).random)}, {"fewest in hand", of((*plain).fewest)}, {"best match", of((*plain).match)}}
}

type plainServer struct {
	routing.EngineInfo
	role   routing.Role
	inHand int
}

type plainRequest struct {
	routing.Request
	at       *plainServer
	attempts int
	ran      bool
	read     bool
}

type plain struct {
	set     routing.Settings
	pick    func(*plain, *plainRequest, []*plainServer) *plainServer
	rng     *rand.Rand
	last    map[string]string // prefill engine by session and by beginning
	reqs    map[routing.RequestID]*plainRequest
	servers map[string]*plainServer
	order   []*plainServer
	out     []routing.Action
}

func (p *plain) random(_ *plainRequest, pool []*plainServer) *plainServer {
	return pool[p.rng.IntN(len(pool))]
}

func (p *plain) fewest(_ *plainRequest, pool []*plainServer) *plainServer {
	start := p.rng.IntN(len(pool))
	best := pool[start]
	for i := range pool {
		if s := pool[(start+i)%len(pool)]; s.inHand < best.inHand {
			best = s
		}
	}
	return best
}

func (p *plain) match(q *plainRequest, pool []*plainServer) *plainServer {
	for _, key := range []string{"s:" + q.Session, "p:" + q.Prefix} {
		for _, s := range pool {
			if s.role == routing.RolePrefill && s.Name == p.last[key] {
				return s
			}
		}
	}
	return p.fewest(q, pool)
}

// Handle takes one event, as a router does.
func (p *plain) Handle(_ routing.Time, ev routing.Event) []routing.Action {
	p.out = p.out[:0]
	switch e := ev.(type) {
	case routing.EngineList:
		p.roster(e)
	case routing.Request:
		q := &plainRequest{Request: e}
		p.reqs[e.ID] = q
		p.next(q)
	case routing.FirstToken:
		p.reqs[e.ID].ran = true
	case routing.Outcome:
		p.outcome(e)
	case routing.ClientGone:
		delete(p.reqs, e.ID)
	}
	return p.out
}

func (p *plain) roster(e routing.EngineList) {
	for _, info := range e.Engines {
		s := p.servers[info.Name]
		if s == nil {
			s = &plainServer{}
			p.servers[info.Name], p.order = s, append(p.order, s)
		}
		s.EngineInfo = info
		i := slices.IndexFunc(p.set.Kinds, func(k routing.EngineKind) bool { return k.Name == info.Kind })
		s.role = p.set.Kinds[i].Role
	}
}

// next sends a request on, or gives it up.
func (p *plain) next(q *plainRequest) {
	role := routing.RolePrefill
	if q.read {
		role = routing.RoleDecode
	}
	var pool []*plainServer
	for _, s := range p.order {
		if s.role == role && s.Phase == routing.PhaseActive {
			pool = append(pool, s)
		}
	}
	single := slices.ContainsFunc(p.set.Classes, func(c routing.Class) bool {
		return c.Name == q.Class && c.Effect == routing.EffectAtMostOnce
	})
	if len(pool) == 0 || q.attempts >= p.set.MaxAttempts || q.ran && single {
		if q.read {
			p.out = append(p.out, routing.Release{ID: q.ID})
		}
		if q.ran && single {
			p.out = append(p.out, routing.Fail{ID: q.ID})
		} else {
			p.out = append(p.out, routing.Reject{ID: q.ID})
		}
		delete(p.reqs, q.ID)
		return
	}
	q.at = p.pick(p, q, pool)
	q.at.inHand++
	q.attempts++
	p.out = append(p.out, routing.Send{ID: q.ID, Engine: q.at.Name})
}

func (p *plain) outcome(e routing.Outcome) {
	q := p.reqs[e.ID]
	if q == nil {
		return
	}
	q.at.inHand--
	if e.Status == routing.StatusPrefilled {
		q.read = true
		p.last["s:"+q.Session], p.last["p:"+q.Prefix] = e.Engine, e.Engine
	} else if q.at.role == routing.RoleDecode {
		never := e.Status == routing.StatusRejected || e.Status == routing.StatusConnectFailed
		q.ran = q.ran || !never
		q.read = q.read && !e.StateMissing
	}
	switch {
	case e.Final:
		if q.read {
			p.out = append(p.out, routing.Release{ID: q.ID})
		}
		delete(p.reqs, e.ID)
	case e.Status == routing.StatusTimeout: // the client's time is over
		q.attempts = p.set.MaxAttempts
		p.next(q)
	default:
		p.next(q)
	}
}
