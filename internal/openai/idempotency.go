package openai

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"wellgw/decide/deduplication"
	"wellgw/internal/config"
)

// Headers for idempotent requests and their retries.
const (
	keyHeader      = "Idempotency-Key"
	retryHeader    = "X-Stainless-Retry-Count" // the retry count that the official client libraries send
	replayedHeader = "Idempotent-Replayed"
)

// claim looks up the request's idempotency key. It returns true if the request has been answered
// with a recorded answer or an error. Otherwise the request may be executed, and releaseKey must be
// called when it has ended.
func (c *call) claim(body []byte) (answered bool) {
	name := c.r.Header.Get(keyHeader)
	if name == "" || c.keys == nil {
		return false
	}
	if len(name) > maxKeyBytes || strings.IndexFunc(name, func(r rune) bool { return r < ' ' || r > '~' }) >= 0 {
		apiError{status: http.StatusBadRequest, errorType: typeRequest, code: codeKeyInvalid, param: keyHeader,
			message: "an idempotency key has at most " + strconv.Itoa(maxKeyBytes) + " printable ASCII characters"}.send(c.w)
		return true
	}
	sum := sha256.New()
	sum.Write([]byte(c.r.URL.Path + "\x00"))
	sum.Write(body)
	request := deduplication.Request{Key: deduplication.Key{Team: c.team.Name, Name: name}, Digest: hex.EncodeToString(sum.Sum(nil)), RequestID: c.metadata.id}
	request.RetryCount, _ = strconv.Atoi(c.r.Header.Get(retryHeader)) // 0 if it is missing or not a number
	request.MayHaveRunOnOtherGateway = c.hasPeers != nil && c.hasPeers()
	decision, entry := c.keys.Begin(request)
	c.counts.keys[decision].Add(1)
	switch decision {
	case deduplication.Run:
		c.key, c.claimed = request.Key, true
		return false
	case deduplication.Replay:
		h := c.w.Header()
		h.Set("Content-Type", entry.ContentType)
		h.Set(replayedHeader, "true")
		h.Set("X-Request-Id", requestID(entry.RequestID))
		c.w.Write(entry.Answer)
	default:
		keyError(decision).send(c.w)
	}
	return true
}

// keyError returns the error for a request that is not executed because of its key.
func keyError(decision deduplication.Decision) apiError {
	e := apiError{status: http.StatusConflict, errorType: typeRequest, param: keyHeader}
	switch decision {
	case deduplication.InProgress:
		e.code, e.retryAfter = codeInProgress, retryAfterInProgress
		e.message = "a request under this key is under way"
	case deduplication.AnswerUnavailable:
		e.code, e.noRetry = codeAnswerUnavailable, true
		e.message = "a request under this key has been carried out; its answer was too large, or is too old, to be kept"
	case deduplication.KeyReused:
		e.status, e.code, e.noRetry = http.StatusUnprocessableEntity, codeKeyReused, true
		e.message = "this key was used for another request"
	case deduplication.PriorOutcomeUnknown:
		e.code, e.noRetry = codeOutcomeUnknown, true
		e.message = "an earlier request under this key may have been carried out, or may not; it is not carried out again. Look before asking under another key"
	default:
		return apiError{status: http.StatusServiceUnavailable, errorType: typeServer, code: codeOverloaded, retryAfter: retryAfterFull,
			message: "no more idempotency keys can be kept; nothing was done"}
	}
	return e
}

// forgetKey records that a request was rejected before it was parsed, so that its idempotency key does
// not count as used.
func (f *Front) forgetKey(r *http.Request, team *config.Team) {
	if name := r.Header.Get(keyHeader); name != "" && len(name) <= maxKeyBytes && f.keys != nil {
		f.keys.RecordRefusal(deduplication.Key{Team: team.Name, Name: name})
	}
}

// requestID returns an answer's id without the prefix for its type, such as "chatcmpl-".
func requestID(id string) string {
	if _, after, found := strings.Cut(id, "-"); found {
		return after
	}
	return id
}

// markComplete records that the answer is complete, even if the client disconnects before all of it
// has been sent. A client may retry as soon as it has received the last byte, so the key is released
// before that byte is sent.
func (c *call) markComplete() {
	c.result.Complete = true
	c.releaseKey()
}

// releaseKey records the outcome of a request with a claimed key. Further calls have no effect.
func (c *call) releaseKey() {
	if !c.claimed {
		return
	}
	c.claimed = false
	c.recordedBytes.Add(-int64(len(c.recorded)))
	if c.recordOverflow && c.result.Complete {
		c.counts.answersNotRecorded.Add(1)
	}
	c.keys.End(c.key, c.metadata.id, c.result.Outcome(), c.encoder.contentType(), c.recorded)
}

// record appends sent bytes to the recorded answer, which it drops if a size limit is exceeded.
func (c *call) record(p []byte) {
	if !c.claimed || c.recordOverflow {
		return
	}
	c.recordedBytes.Add(int64(len(p)))
	c.recorded = append(c.recorded, p...)
	if len(c.recorded) > c.keys.MaxAnswerBytes() || c.recordedBytes.Load() > c.maxRecordedBytes {
		c.recordedBytes.Add(-int64(len(c.recorded)))
		c.recorded, c.recordOverflow = nil, true
	}
}
