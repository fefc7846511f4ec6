package resume

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		terms        func(*Terms)
		progress     func(*Progress)
		interruption func(*Interruption)
		want         Step
	}{
		"only text sent":                 {nil, nil, nil, Continue},
		"no maximum length":              {func(t *Terms) { t.MaxTokens = 0 }, nil, nil, Continue},
		"nothing sent":                   {nil, func(p *Progress) { *p = Progress{} }, nil, Restart},
		"nothing sent, engine error":     {nil, func(p *Progress) { *p = Progress{} }, func(i *Interruption) { i.EngineError = true }, Restart},
		"engine error":                   {nil, nil, func(i *Interruption) { i.EngineError = true }, Abort},
		"tool call sent":                 {nil, func(p *Progress) { p.RecordOtherContent() }, nil, Abort},
		"event without text sent":        {nil, func(p *Progress) { *p = Progress{}; p.RecordSent() }, nil, Abort},
		"not continuable":                {func(t *Terms) { t.Continuable = false }, nil, nil, Abort},
		"maximum length reached":         {func(t *Terms) { t.MaxTokens = 2 }, nil, nil, Abort},
		"too many continuations":         {nil, nil, func(i *Interruption) { i.Continuations = 2 }, Abort},
		"contract without continuations": {func(t *Terms) { t.MaxContinuations = 0 }, nil, nil, Abort},
		"not repeatable":                 {func(t *Terms) { t.Repeatable = false }, nil, nil, Abort},
		"not repeatable, nothing sent":   {func(t *Terms) { t.Repeatable = false }, func(p *Progress) { *p = Progress{} }, nil, Abort},
		"complete":                       {nil, func(p *Progress) { p.RecordChoice(0, true) }, nil, Finish},
		"complete, not repeatable":       {func(t *Terms) { t.Repeatable = false }, func(p *Progress) { p.RecordChoice(0, true) }, nil, Finish},
		"complete, then engine error":    {nil, func(p *Progress) { p.RecordChoice(0, true) }, func(i *Interruption) { i.EngineError = true }, Abort},
		"complete, client disconnected":  {nil, func(p *Progress) { p.RecordChoice(0, true) }, func(i *Interruption) { i.ClientDisconnected = true }, Abort},
		"client disconnected":            {nil, nil, func(i *Interruption) { i.ClientDisconnected = true }, Abort},
		"too long after arrival":         {nil, nil, func(i *Interruption) { i.Elapsed = MaxElapsed }, Abort},
	} {
		terms, progress, interruption := Terms{Repeatable: true, MaxContinuations: 2, MaxTokens: 40, Continuable: true}, &Progress{}, Interruption{Elapsed: time.Second}
		for range 2 {
			progress.RecordChoice(0, false)
			progress.AppendText([]byte("w"))
			progress.RecordSent()
		}
		if c.terms != nil {
			c.terms(&terms)
		}
		if c.progress != nil {
			c.progress(progress)
		}
		if c.interruption != nil {
			c.interruption(&interruption)
		}
		if got := Decide(terms, progress, interruption); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestAnswerComplete(t *testing.T) {
	for name, c := range map[string]struct {
		record func(*Progress)
		want   bool
	}{
		"no event":                       {func(*Progress) {}, false},
		"choice started":                 {func(p *Progress) { p.RecordChoice(0, false) }, false},
		"choice ended":                   {func(p *Progress) { p.RecordChoice(0, false); p.RecordChoice(0, true) }, true},
		"one event":                      {func(p *Progress) { p.RecordChoice(0, true) }, true},
		"end twice, another choice open": {func(p *Progress) { p.RecordChoice(0, true); p.RecordChoice(0, true); p.RecordChoice(1, false) }, false},
		"one of two choices":             {func(p *Progress) { p.RecordChoice(1, false); p.RecordChoice(0, true) }, false},
		"both choices":                   {func(p *Progress) { p.RecordChoice(1, false); p.RecordChoice(0, true); p.RecordChoice(1, true) }, true},
		"end marker of the stream":       {func(p *Progress) { p.RecordChoice(0, false); p.RecordStreamEnd() }, true},
		"one of two expected":            {func(p *Progress) { p.ExpectChoices(2); p.RecordChoice(0, true) }, false},
		"one of two expected, marker":    {func(p *Progress) { p.ExpectChoices(2); p.RecordChoice(0, true); p.RecordStreamEnd() }, false},
		"two of two expected":            {func(p *Progress) { p.ExpectChoices(2); p.RecordChoice(1, true); p.RecordChoice(0, true) }, true},
		"two expected, one open, marker": {func(p *Progress) {
			p.ExpectChoices(2)
			p.RecordChoice(0, true)
			p.RecordChoice(1, false)
			p.RecordStreamEnd()
		}, false},
		"more than expected, one open": {func(p *Progress) { p.ExpectChoices(1); p.RecordChoice(0, true); p.RecordChoice(1, false) }, false},
		"next attempt, two expected":   {func(p *Progress) { p.ExpectChoices(2); p.PrepareNextAttempt(); p.RecordChoice(0, true) }, false},
		"next attempt, nothing sent":   {func(p *Progress) { p.RecordChoice(0, true); p.PrepareNextAttempt() }, false},
		"next attempt, event sent":     {func(p *Progress) { p.RecordChoice(0, true); p.RecordSent(); p.PrepareNextAttempt() }, true},
	} {
		progress := &Progress{}
		if c.record(progress); progress.Complete() != c.want {
			t.Errorf("%s: complete %v", name, progress.Complete())
		}
	}
}

// For any order of events, no attempt is made for a request that is not repeatable, for a client that has
// disconnected, or beyond the continuations that the contract allows.
func TestResumeRespectsContracts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxContinuations: rapid.IntRange(0, 3).Draw(t, "max continuations"), Continuable: rapid.Bool().Draw(t, "continuable"), MaxTokens: rapid.IntRange(0, 4).Draw(t, "max tokens")}
		progress, interruption := &Progress{}, Interruption{}
		for range rapid.IntRange(0, 12).Draw(t, "interruptions") {
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				progress.RecordChoice(rapid.IntRange(0, 2).Draw(t, "choice"), rapid.Bool().Draw(t, "end"))
				if rapid.Bool().Draw(t, "text") {
					progress.AppendText([]byte("w"))
				}
				if rapid.Bool().Draw(t, "sent") {
					progress.RecordSent()
				}
			}
			interruption.ClientDisconnected, interruption.EngineError = rapid.Bool().Draw(t, "client disconnected"), rapid.Bool().Draw(t, "engine error")
			switch step := Decide(terms, progress, interruption); step {
			case Restart, Continue:
				if !terms.Repeatable || interruption.ClientDisconnected || interruption.Continuations >= terms.MaxContinuations {
					t.Fatalf("step %v for %+v, %+v", step, terms, interruption)
				}
				if step == Restart && progress.SentEvents() > 0 || step == Continue && (progress.Complete() || !terms.Continuable) {
					t.Fatalf("step %v after %d sent events", step, progress.SentEvents())
				}
				interruption.Continuations++
				progress.PrepareNextAttempt()
			case Finish:
				if !progress.Complete() || interruption.EngineError || interruption.ClientDisconnected {
					t.Fatalf("finished: %+v, %+v", progress, interruption)
				}
			}
		}
	})
}
