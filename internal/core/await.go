package core

import "context"

// answerChannel is a Front for a caller that waits for the answer itself.
type answerChannel chan Answer

// Answer never blocks: there is room for the one answer.
func (w answerChannel) Answer(a Answer) { w <- a }

// SubmitAndWait submits a request and waits for its answer. If ctx ends first the client
// has gone; the core is told, and the last result is false.
func SubmitAndWait(ctx context.Context, c *Core, q Request) (Answer, *Ticket, bool) {
	w := make(answerChannel, 1)
	t := c.Submit(q, w)
	select {
	case a := <-w:
		return a, t, true
	case <-c.done:
		return Answer{Verdict: Failed, MayHaveRun: true}, t, true
	case <-ctx.Done():
		t.ClientGone()
		return Answer{}, t, false
	}
}
