package core

import "context"

// answerChannel is a Front for a caller that waits for the answer. It needs room for one.
type answerChannel chan Answer

// Answer never blocks: there is room for the one answer.
func (c answerChannel) Answer(a Answer) { c <- a }

// SubmitAndWait submits a request and waits for its answer. If ctx ends first, the client has
// disconnected: the core learns of it, and the last result is false.
func SubmitAndWait(ctx context.Context, c *Core, request Request) (Answer, *Ticket, bool) {
	answers := make(answerChannel, 1)
	ticket := c.Submit(request, answers)
	select {
	case answer := <-answers:
		return answer, ticket, true
	case <-c.done:
		return Answer{Verdict: Failed, MayHaveRun: true}, ticket, true
	case <-ctx.Done():
		ticket.ClientGone()
		return Answer{}, ticket, false
	}
}
