package core

import "wellgw/routing"

// What the core counts beside outcomes and answers; see Counts.
const (
	countOpen           = "open" // requests in hand now
	countRequests       = "requests"
	countAttempts       = "attempts"
	countDuplicates     = "duplicate id"
	countGone           = "gone" // clients that left before their answer
	countReleases       = "releases"
	countReleasesFailed = "releases failed"
	countEnginesChecked = "engines checked"
	countStatesExpired  = "states expired"
)

var statusNames = [...]string{
	routing.StatusServed: "served", routing.StatusRead: "read", routing.StatusError: "error",
	routing.StatusFull: "full", routing.StatusTimeout: "timeout", routing.StatusNoConnect: "no connect",
	routing.StatusReset: "reset", routing.StatusCancelled: "cancelled", routing.StatusUnsent: "unsent",
}

var verdictNames = [...]string{Refused: "refused", Failed: "failed", Overdue: "overdue", Duplicate: "duplicate", Serving: "serving"}
