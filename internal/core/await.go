package core

import "context"

// answerChannel is a Front for a caller that waits for the answer. Its capacity must be at least 1.
type answerChannel chan Answer

// Answer does not block: the channel's buffer has capacity for the only answer.
func (c answerChannel) Answer(a Answer) { c <- a }

// SubmitAndWait submits a request and waits for its answer. If ctx is done first, it reports to the core
// that the client has disconnected and returns false as the last result.
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
