// Package admin serves the state of the gateway to operators, on a listener of its own: the engines, the
// changes of roles, and the tier. It is off unless the operator's file names an address. It does not
// authenticate, so the address must be on loopback or a network of the operators' own.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/consul"
	"wellgw/internal/directory"
	"wellgw/internal/fetch"
)

// Paths of the pages.
const (
	EnginesPath = "/engines" // the engines: a View
	RolesPath   = "/roles"   // the changes of roles
	PeersPath   = "/peers"   // the gateways of the tier
)

const (
	readTimeout    = 2 * time.Second // for a request, which is one line and few headers
	writeTimeout   = 5 * time.Second // for a page
	requestTimeout = 5 * time.Second // of FetchView and FetchPage
	maxPageBytes   = 64 << 20        // that FetchView and FetchPage read
)

// View is the page at EnginesPath.
type View struct {
	directory.View
	Consul   consul.Stats   `json:"consul"`
	Counts   map[string]int `json:"counts"`
	Gateways int            `json:"gateways"` // known to share the engines
}

// Pages has functions that return the content of JSON pages, by path. One is called for each request.
type Pages map[string]func() any

// Serve serves pages on l until ctx ends; others are handlers of pages that are not JSON, by path. It
// closes l.
func Serve(ctx context.Context, l net.Listener, pages Pages, others map[string]http.Handler, log *slog.Logger) {
	mux := http.NewServeMux()
	for path, page := range others {
		mux.Handle("GET "+path, page)
	}
	for path, page := range pages {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if err := jsoniter.NewEncoder(w).Encode(page()); err != nil {
				log.Debug("admin page not sent", "cause", err)
			}
		})
	}
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin listener failed", "cause", err)
	}
}

// FetchView returns the engines of the gateway whose admin listener is at addr.
func FetchView(ctx context.Context, addr string) (View, error) {
	var v View
	err := FetchPage(ctx, addr, EnginesPath, &v)
	return v, err
}

// FetchPage reads one page into v.
func FetchPage(ctx context.Context, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := fetch.JSON(ctx, http.DefaultClient, "http://"+addr+path, maxPageBytes, v); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	return nil
}
