package resume

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		terms func(*Terms)
		so    func(*Answer)
		how   func(*Break)
		want  Step
	}{
		"text so far":                   {nil, nil, nil, GoOn},
		"not said how long":             {func(t *Terms) { t.Most = 0 }, nil, nil, GoOn},
		"nothing seen":                  {nil, func(a *Answer) { *a = Answer{} }, nil, Again},
		"nothing seen, engine's word":   {nil, func(a *Answer) { *a = Answer{} }, func(b *Break) { b.Reported = true }, Again},
		"engine's word":                 {nil, nil, func(b *Break) { b.Reported = true }, GiveUp},
		"calls so far":                  {nil, func(a *Answer) { a.Other() }, nil, GiveUp},
		"seen, and no text":             {nil, func(a *Answer) { *a = Answer{}; a.Passed() }, nil, GiveUp},
		"no chat":                       {func(t *Terms) { t.Plain = false }, nil, nil, GiveUp},
		"all tokens are there":          {func(t *Terms) { t.Most = 2 }, nil, nil, GiveUp},
		"often enough":                  {nil, nil, func(b *Break) { b.Times = 2 }, GiveUp},
		"not in the contract":           {func(t *Terms) { t.Allowed = 0 }, nil, nil, GiveUp},
		"must not run twice":            {func(t *Terms) { t.Free = false }, nil, nil, GiveUp},
		"must not run twice, none seen": {func(t *Terms) { t.Free = false }, func(a *Answer) { *a = Answer{} }, nil, GiveUp},
		"ended":                         {nil, func(a *Answer) { a.Choice(0, true) }, nil, Finish},
		"ended, must not run twice":     {func(t *Terms) { t.Free = false }, func(a *Answer) { a.Choice(0, true) }, nil, Finish},
		"ended, and then said to fail":  {nil, func(a *Answer) { a.Choice(0, true) }, func(b *Break) { b.Reported = true }, GiveUp},
		"ended, its client has gone":    {nil, func(a *Answer) { a.Choice(0, true) }, func(b *Break) { b.Lost = true }, GiveUp},
		"its client has gone":           {nil, nil, func(b *Break) { b.Lost = true }, GiveUp},
		"too late":                      {nil, nil, func(b *Break) { b.Since = Limit }, GiveUp},
	} {
		terms, a, b := Terms{Free: true, Allowed: 2, Most: 40, Plain: true}, &Answer{}, Break{Since: time.Second}
		for range 2 {
			a.Choice(0, false)
			a.Say([]byte("w"))
			a.Passed()
		}
		if c.terms != nil {
			c.terms(&terms)
		}
		if c.so != nil {
			c.so(a)
		}
		if c.how != nil {
			c.how(&b)
		}
		if got := Decide(terms, a, b); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestAnswerComplete(t *testing.T) {
	for name, c := range map[string]struct {
		come func(*Answer)
		want bool
	}{
		"nothing":              {func(*Answer) {}, false},
		"begun":                {func(a *Answer) { a.Choice(0, false) }, false},
		"ended":                {func(a *Answer) { a.Choice(0, false); a.Choice(0, true) }, true},
		"at once":              {func(a *Answer) { a.Choice(0, true) }, true},
		"twice":                {func(a *Answer) { a.Choice(0, true); a.Choice(0, true); a.Choice(1, false) }, false},
		"one of two":           {func(a *Answer) { a.Choice(1, false); a.Choice(0, true) }, false},
		"both":                 {func(a *Answer) { a.Choice(1, false); a.Choice(0, true); a.Choice(1, true) }, true},
		"the stream's own end": {func(a *Answer) { a.Choice(0, false); a.Last() }, true},
		"anew, nothing seen":   {func(a *Answer) { a.Choice(0, true); a.Next() }, false},
		"goes on":              {func(a *Answer) { a.Choice(0, true); a.Passed(); a.Next() }, true},
	} {
		a := &Answer{}
		if c.come(a); a.Whole() != c.want {
			t.Errorf("%s: %v", name, a.Whole())
		}
	}
}

// Whatever comes in whatever order: what must not run twice is never sent again, nothing
// is sent for a client that has gone, and never more often than the contract says.
func TestResumeRespectsContracts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Free: rapid.Bool().Draw(t, "free"), Allowed: rapid.IntRange(0, 3).Draw(t, "allowed"), Plain: rapid.Bool().Draw(t, "plain"), Most: rapid.IntRange(0, 4).Draw(t, "most")}
		a, b := &Answer{}, Break{}
		for range rapid.IntRange(0, 12).Draw(t, "breaks") {
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				a.Choice(rapid.IntRange(0, 2).Draw(t, "choice"), rapid.Bool().Draw(t, "end"))
				if rapid.Bool().Draw(t, "text") {
					a.Say([]byte("w"))
				}
				if rapid.Bool().Draw(t, "seen") {
					a.Passed()
				}
			}
			b.Lost, b.Reported = rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "reported")
			switch step := Decide(terms, a, b); step {
			case Again, GoOn:
				if !terms.Free || b.Lost || b.Times >= terms.Allowed {
					t.Fatalf("%v for %+v, %+v", step, terms, b)
				}
				if step == Again && a.Seen() > 0 || step == GoOn && (a.Whole() || !terms.Plain) {
					t.Fatalf("%v after %d events", step, a.Seen())
				}
				b.Times++
				a.Next()
			case Finish:
				if !a.Whole() || b.Reported || b.Lost {
					t.Fatalf("finished: %+v, %+v", a, b)
				}
			}
		}
	})
}
