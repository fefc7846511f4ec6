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

// probeTimeout bounds the connect of a probe, and separately its HTTP exchange.
const probeTimeout = 800 * time.Millisecond

// NewProbe returns a health probe that opens a connection and, if path is not empty, sends a GET
// request for it. Any response, even an error status, proves that the engine is alive.
func NewProbe(path string) func(ctx context.Context, addr string) roster.ProbeResult {
	return func(ctx context.Context, addr string) roster.ProbeResult {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return resultOfError(err)
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
			return resultOfError(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			return resultOfError(err)
		}
		resp.Body.Close()
		return roster.Answered
	}
}

// resultOfError returns the result for an error. A refused connection proves that no process
// listens on the port.
func resultOfError(err error) roster.ProbeResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return roster.Refused
	}
	return roster.NoAnswer
}
