package main

import (
	"log/slog"
	"net/http"
	"time"

	"wellgw/internal/clientconn"
)

// Bounds on what a client may hold up. A client that cannot be served is owed an error or a close
// within 3 s.
const (
	headerTimeout  = 2 * time.Second
	requestTimeout = 2500 * time.Millisecond // with its body
	idleTimeout    = 30 * time.Second        // between requests, while there is room for others
	maxHeaderBytes = 16 << 10
)

// newHTTPServer is net/http's server for clients' connections. There is no limit on a whole
// answer: streams last as long as they do.
func newHTTPServer(h http.Handler, clients *clientconn.Listener, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		ConnState: clients.ConnState, ConnContext: clients.ConnContext,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
