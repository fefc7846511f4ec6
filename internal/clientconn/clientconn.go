// Package clientconn limits the resources that clients use: the number of connections, the duration
// and framing of requests, the size of one body, and the memory of all bodies in flight.
package clientconn

import (
	"errors"
	"net/http"
)

// MaxBodySize is the maximum size of a request body, in bytes.
const MaxBodySize = 256 << 10

// Errors of reading a request body.
var (
	ErrBodyTooLarge       = errors.New("the body is over 256 KiB")
	ErrBodyTruncated      = errors.New("the body was cut short")
	ErrBodyBudgetExceeded = errors.New("the memory budget for request bodies is exhausted")
	ErrRequestExpired     = errors.New("the request was incomplete when the gateway stopped accepting requests")
)

// CloseIfBodyUnread makes an error response close the connection if the request has a body, which has
// not been read completely. Otherwise net/http would delay the response until it has read the
// remaining body, which the client may never send.
func CloseIfBodyUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}
