package main

import (
	"log/slog"
	"net/http"
	"time"

	"wellgw/internal/clientconn"
)

// Limits on a client's connection. A client that can't be served must get an error or a close within 3 s,
// so the timeouts for headers and requests are shorter.
const (
	headerTimeout  = 2 * time.Second
	requestTimeout = 2500 * time.Millisecond // including the body
	idleTimeout    = 30 * time.Second        // between requests, while connections are available for other clients
	maxHeaderBytes = 16 << 10
)

// newHTTPServer returns the server for clients' connections. It has no WriteTimeout, as the duration of
// a stream is not limited.
func newHTTPServer(h http.Handler, clients *clientconn.Listener, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		ConnState: clients.ConnState, ConnContext: clients.ConnContext,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
