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

// probeTimeout bounds the connect and, again, the exchange of a probe.
const probeTimeout = 800 * time.Millisecond

// NewProbe returns a health probe that opens a connection and, if path is not empty, requests
// it. Any response proves that the engine is alive, an error status too.
func NewProbe(path string) func(ctx context.Context, addr string) roster.ProbeResult {
	return func(ctx context.Context, addr string) roster.ProbeResult {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return resultOf(err)
		}
		defer conn.Close()
		if path == "" {
			return roster.Answered
		}
		conn.SetDeadline(time.Now().Add(probeTimeout))
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return roster.NoAnswer
		}
		req.Close = true
		if err := req.Write(conn); err != nil {
			return resultOf(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			return resultOf(err)
		}
		resp.Body.Close()
		return roster.Answered
	}
}

// resultOf returns what an error proves: after a refusal, that no process listens.
func resultOf(err error) roster.ProbeResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return roster.Refused
	}
	return roster.NoAnswer
}
