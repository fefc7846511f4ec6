package core

import "wellgw/routing"

// Counter names something that the core counts. Outcomes of attempts and final answers are counted
// under their names, too.
type Counter string

// What is counted beside outcomes and answers.
const (
	countOpen           Counter = "open" // requests in hand now
	countRequests       Counter = "requests"
	countAttempts       Counter = "attempts"
	countDuplicates     Counter = "duplicate id"
	countGone           Counter = "gone" // clients that left before their answer
	countReleases       Counter = "releases"
	countReleasesFailed Counter = "releases failed"
	countEnginesChecked Counter = "engines checked"
	countStatesExpired  Counter = "states expired"
)

var statusNames = [...]Counter{
	routing.StatusServed: "served", routing.StatusPrefilled: "read", routing.StatusError: "error",
	routing.StatusRejected: "full", routing.StatusTimeout: "timeout", routing.StatusConnectFailed: "no connect",
	routing.StatusReset: "reset", routing.StatusCancelled: "cancelled", routing.StatusNotSent: "unsent",
}

var verdictNames = [...]Counter{Rejected: "refused", Failed: "failed", DeadlineExceeded: "overdue", Duplicate: "duplicate", Streaming: "serving"}
