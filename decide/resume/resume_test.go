package resume

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		terms func(*Terms)
		so    func(*Progress)
		how   func(*Interruption)
		want  Step
	}{
		"text so far":                   {nil, nil, nil, Continue},
		"not said how long":             {func(t *Terms) { t.MaxTokens = 0 }, nil, nil, Continue},
		"nothing seen":                  {nil, func(a *Progress) { *a = Progress{} }, nil, Restart},
		"nothing seen, engine's word":   {nil, func(a *Progress) { *a = Progress{} }, func(b *Interruption) { b.EngineError = true }, Restart},
		"engine's word":                 {nil, nil, func(b *Interruption) { b.EngineError = true }, Abort},
		"calls so far":                  {nil, func(a *Progress) { a.RecordOtherContent() }, nil, Abort},
		"seen, and no text":             {nil, func(a *Progress) { *a = Progress{}; a.RecordSent() }, nil, Abort},
		"no chat":                       {func(t *Terms) { t.Continuable = false }, nil, nil, Abort},
		"all tokens are there":          {func(t *Terms) { t.MaxTokens = 2 }, nil, nil, Abort},
		"often enough":                  {nil, nil, func(b *Interruption) { b.Continuations = 2 }, Abort},
		"not in the contract":           {func(t *Terms) { t.MaxContinuations = 0 }, nil, nil, Abort},
		"must not run twice":            {func(t *Terms) { t.Repeatable = false }, nil, nil, Abort},
		"must not run twice, none seen": {func(t *Terms) { t.Repeatable = false }, func(a *Progress) { *a = Progress{} }, nil, Abort},
		"ended":                         {nil, func(a *Progress) { a.RecordChoice(0, true) }, nil, Finish},
		"ended, must not run twice":     {func(t *Terms) { t.Repeatable = false }, func(a *Progress) { a.RecordChoice(0, true) }, nil, Finish},
		"ended, and then said to fail":  {nil, func(a *Progress) { a.RecordChoice(0, true) }, func(b *Interruption) { b.EngineError = true }, Abort},
		"ended, its client has gone":    {nil, func(a *Progress) { a.RecordChoice(0, true) }, func(b *Interruption) { b.ClientDisconnected = true }, Abort},
		"its client has gone":           {nil, nil, func(b *Interruption) { b.ClientDisconnected = true }, Abort},
		"too late":                      {nil, nil, func(b *Interruption) { b.Elapsed = MaxElapsed }, Abort},
	} {
		terms, a, b := Terms{Repeatable: true, MaxContinuations: 2, MaxTokens: 40, Continuable: true}, &Progress{}, Interruption{Elapsed: time.Second}
		for range 2 {
			a.RecordChoice(0, false)
			a.AppendText([]byte("w"))
			a.RecordSent()
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
		come func(*Progress)
		want bool
	}{
		"nothing":              {func(*Progress) {}, false},
		"begun":                {func(a *Progress) { a.RecordChoice(0, false) }, false},
		"ended":                {func(a *Progress) { a.RecordChoice(0, false); a.RecordChoice(0, true) }, true},
		"at once":              {func(a *Progress) { a.RecordChoice(0, true) }, true},
		"twice":                {func(a *Progress) { a.RecordChoice(0, true); a.RecordChoice(0, true); a.RecordChoice(1, false) }, false},
		"one of two":           {func(a *Progress) { a.RecordChoice(1, false); a.RecordChoice(0, true) }, false},
		"both":                 {func(a *Progress) { a.RecordChoice(1, false); a.RecordChoice(0, true); a.RecordChoice(1, true) }, true},
		"the stream's own end": {func(a *Progress) { a.RecordChoice(0, false); a.RecordStreamEnd() }, true},
		"anew, nothing seen":   {func(a *Progress) { a.RecordChoice(0, true); a.PrepareNextAttempt() }, false},
		"goes on":              {func(a *Progress) { a.RecordChoice(0, true); a.RecordSent(); a.PrepareNextAttempt() }, true},
	} {
		a := &Progress{}
		if c.come(a); a.Complete() != c.want {
			t.Errorf("%s: %v", name, a.Complete())
		}
	}
}

// Whatever comes in whatever order: what must not run twice is never sent again, nothing
// is sent for a client that has gone, and never more often than the contract says.
func TestResumeRespectsContracts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Repeatable: rapid.Bool().Draw(t, "free"), MaxContinuations: rapid.IntRange(0, 3).Draw(t, "allowed"), Continuable: rapid.Bool().Draw(t, "plain"), MaxTokens: rapid.IntRange(0, 4).Draw(t, "most")}
		a, b := &Progress{}, Interruption{}
		for range rapid.IntRange(0, 12).Draw(t, "breaks") {
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				a.RecordChoice(rapid.IntRange(0, 2).Draw(t, "choice"), rapid.Bool().Draw(t, "end"))
				if rapid.Bool().Draw(t, "text") {
					a.AppendText([]byte("w"))
				}
				if rapid.Bool().Draw(t, "seen") {
					a.RecordSent()
				}
			}
			b.ClientDisconnected, b.EngineError = rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "reported")
			switch step := Decide(terms, a, b); step {
			case Restart, Continue:
				if !terms.Repeatable || b.ClientDisconnected || b.Continuations >= terms.MaxContinuations {
					t.Fatalf("%v for %+v, %+v", step, terms, b)
				}
				if step == Restart && a.SentEvents() > 0 || step == Continue && (a.Complete() || !terms.Continuable) {
					t.Fatalf("%v after %d events", step, a.SentEvents())
				}
				b.Continuations++
				a.PrepareNextAttempt()
			case Finish:
				if !a.Complete() || b.EngineError || b.ClientDisconnected {
					t.Fatalf("finished: %+v, %+v", a, b)
				}
			}
		}
	})
}
