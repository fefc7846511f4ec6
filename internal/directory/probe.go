package directory

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"wellgw/decide/roster"
)

const probeTimeout = 800 * time.Millisecond

// NewProbe returns a check that opens a connection and, if a path is given, asks for
// it: any answer to that is a sign of life, an error too.
func NewProbe(path string) func(ctx context.Context, addr string) roster.ProbeResult {
	return func(ctx context.Context, addr string) roster.ProbeResult {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return resultOf(err)
		}
		defer c.Close()
		if path == "" {
			return roster.Answered
		}
		c.SetDeadline(time.Now().Add(probeTimeout))
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return roster.NoAnswer
		}
		req.Close = true
		if err := req.Write(c); err != nil {
			return resultOf(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err != nil {
			return resultOf(err)
		}
		resp.Body.Close()
		return roster.Answered
	}
}

// resultOf reads an error: a refusal proves that nobody listens.
func resultOf(err error) roster.ProbeResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return roster.Refused
	}
	return roster.NoAnswer
}
