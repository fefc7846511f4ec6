package fleetsim

import (
	"fmt"
	"math"
	"time"

	"wellgw/routing"
)

// call is what a client wants answered, over all its tries.
type call struct {
	class             int
	tenant            int  // -1: none
	inShare           bool // of its tenant's quota
	zone              string
	session, prefix   string
	prefixLen, prompt int
	out               int
	at                time.Duration
	tries             int
	worth, earned     float64
	late              bool
}

// try is one request to a gateway.
type try struct {
	id           routing.RequestID
	call         *call
	gw           *gateway
	deadline     time.Duration
	attempts     int
	out          *attempt
	state        *engine // where its read state waits
	first        time.Duration
	ran          bool // an attempt may have had an effect
	ended        bool // has its final answer
	gone         bool // its time is over with nobody left to answer
	pinnedSince  time.Duration
	pinnedMarked bool
}

// arrivals draws all sessions ahead: the day asks the same of every policy.
func (w *world) arrivals() {
	r, d := w.clients, w.deployment
	total, turns := 0.0, 0.0
	for _, c := range d.Classes {
		total, turns = total+c.Share, turns+c.Share*c.Turns
	}
	rate := d.Rate * total / turns // sessions a second
	for _, t := range d.Troubles {
		if t.What == Hot {
			w.hotLen = 3000 + r.IntN(4000)
		}
	}
	burst := 1.0
	for at, n := time.Duration(0), 0; at < d.Length; n++ {
		level := 1 + d.Swing*math.Sin(2*math.Pi*at.Seconds()/30)
		if d.Bursts && n%20 == 0 {
			burst = r.in(0.6, 1.4)
		}
		at += time.Duration(r.ExpFloat64() / (rate * level * burst) * float64(time.Second))
		pick, class := r.Float64()*total, 0
		for pick -= d.Classes[0].Share; pick > 0 && class < len(d.Classes)-1; pick -= d.Classes[class].Share {
			class++
		}
		c := &d.Classes[class]
		s := call{class: class, tenant: d.tenant(n), zone: d.Zones[r.IntN(len(d.Zones))], session: fmt.Sprint(n), at: at}
		if hot := d.hotAt(at); r.chance(hot) {
			s.prefix, s.prefixLen = "hot", w.hotLen
		} else if r.chance(c.PrefixPart) {
			k := int(math.Floor(float64(c.Prefixes) * math.Pow(r.Float64(), 1.7)))
			s.prefix, s.prefixLen = fmt.Sprint(class, "-", k), c.PrefixLen*(80+(k*37)%41)/100
		}
		length := s.prefixLen
		for more := true; more && s.at < d.Length; more = r.chance(1 - 1/c.Turns) {
			length += 20 + int(r.spread(c.New))
			turn := s
			turn.prompt, turn.out = length, min(c.MaxOut, 5+int(r.spread(c.Out)))
			turn.worth = c.PriorityWeight * (float64(turn.prompt)/3000 + float64(turn.out)/120)
			w.calls = append(w.calls, &turn)
			w.at(turn.at, func() { w.ask(&turn) })
			length += turn.out
			s.at += time.Duration(float64(turn.out)*float64(c.TokenIntervalObjective)/2) + time.Duration(r.spread(float64(c.Think)))
		}
	}
}

func (d *Deployment) hotAt(at time.Duration) float64 {
	for _, t := range d.Troubles {
		if t.What == Hot && at >= t.At && at < t.At+t.For {
			return min(1, 3*t.Size) // of new sessions; a part Size of all work
		}
	}
	return 0
}

func (w *world) ask(c *call) {
	class := &w.deployment.Classes[c.class]
	patience := class.Deadline + 2*time.Duration(c.prompt)*class.FirstTokenPerPromptToken
	var near []*gateway
	for _, g := range w.gateways {
		if g.zone == c.zone {
			near = append(near, g)
		}
	}
	for _, g := range near {
		if g == w.busy {
			for range int(w.deployment.BusyTimes) {
				near = append(near, g)
			}
		}
	}
	if c.tries == 0 && c.tenant >= 0 {
		c.inShare = w.allowances[c.tenant].take(w.now)
	}
	c.tries++
	ttl := min(time.Duration(w.clients.in(0.5, 1)*float64(patience)), c.at+patience-w.now)
	if ttl <= 50*time.Millisecond {
		return
	}
	w.nextID++
	t := &try{id: w.nextID, call: c, gw: near[w.clients.IntN(len(near))], deadline: w.now + ttl}
	w.tries[t.id] = t
	w.at(t.deadline, func() { w.expire(t) })
	w.tell(t.gw, routing.Request{
		ID: t.id, Class: class.Name, Tenant: w.deployment.tenantName(c.tenant), Session: c.session, Prefix: c.prefix, PrefixLen: c.prefixLen,
		PromptTokens: c.prompt, MaxTokens: class.MaxOut, TTL: ttl, Retry: c.tries > 1,
	})
}

// answerSlack is the time past a client's deadline in which a final answer still counts.
const answerSlack = 16 * time.Millisecond

// expire ends a try whose client has waited long enough for a first token.
func (w *world) expire(t *try) {
	if t.ended || t.first > 0 {
		return
	}
	if a := t.out; a != nil {
		w.finish(a, routing.StatusTimeout)
		w.at(w.now, func() { w.withdraw(a) })
	}
	w.at(w.now+answerSlack, func() {
		if !t.ended && t.first == 0 {
			w.broke("request %d got no final answer in time", t.id)
			t.ended, t.gone = true, true
			w.tell(t.gw, routing.ClientGone{ID: t.id})
		}
	})
}

// answered ends a try that was not served. Its client may come again.
func (w *world) answered(t *try, again bool, advice time.Duration) {
	t.ended = true
	if !again || t.call.tries > w.deployment.Retries {
		return
	}
	wait := time.Duration(w.clients.in(0.7, 1.3) * float64(w.deployment.Backoff))
	if w.clients.chance(w.deployment.Honour) {
		wait = max(wait, min(advice, w.deployment.Settings.MaxRetryAfter))
	}
	w.at(w.now+wait, func() { w.ask(t.call) })
}

// earn books what a whole answer is worth.
func (w *world) earn(t *try) {
	c, class := t.call, &w.deployment.Classes[t.call.class]
	aim := class.FirstTokenObjective + time.Duration(c.prompt)*class.FirstTokenPerPromptToken
	pace := (w.now - t.first) / time.Duration(max(c.out-1, 1))
	switch {
	case t.first-c.at <= aim && pace <= class.TokenIntervalObjective:
		c.earned = c.worth
	case pace <= 2*class.TokenIntervalObjective:
		c.earned, c.late = c.worth*class.LateWorth, true
	}
}
