// Package admin serves the state of the gateway to operators on a separate listener: the engines, the
// role changes, and the tier. It is disabled unless the operator's file sets an address. It does not
// authenticate clients, so the address must be on loopback or on a network that only operators can reach.
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

	"wellgw/internal/accept"
	"wellgw/internal/consul"
	"wellgw/internal/directory"
	"wellgw/internal/fetch"
)

// Paths of the JSON pages.
const (
	EnginesPath = "/engines" // the engines, as a View
	RolesPath   = "/roles"   // the role changes
	PeersPath   = "/peers"   // the gateways of the tier
)

const (
	readTimeout    = 2 * time.Second // to read a request, which has one line and few headers
	writeTimeout   = 5 * time.Second // to write a page
	requestTimeout = 5 * time.Second // for FetchView and FetchPage
	maxPageBytes   = 64 << 20        // maximum size of a page that FetchView and FetchPage read
)

// View is the content of the page at EnginesPath.
type View struct {
	directory.View
	Consul   consul.Stats   `json:"consul"`
	Counts   map[string]int `json:"counts"`
	Gateways int            `json:"gateways"` // number of gateways that are known to share the engines
}

// Pages maps paths to functions that return the content of a JSON page. Each request calls its function.
type Pages map[string]func() any

// Serve serves pages on l until ctx is done; handlers serve pages that are not JSON, by path. It closes l.
func Serve(ctx context.Context, l net.Listener, pages Pages, handlers map[string]http.Handler, log *slog.Logger) {
	mux := http.NewServeMux()
	for path, handler := range handlers {
		mux.Handle("GET "+path, handler)
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
		Handler: mux, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, ConnState: accept.YieldWhenIdle,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin listener failed", "cause", err)
	}
}

// FetchView fetches the page at EnginesPath from the gateway whose admin listener is at addr.
func FetchView(ctx context.Context, addr string) (View, error) {
	var v View
	err := FetchPage(ctx, addr, EnginesPath, &v)
	return v, err
}

// FetchPage fetches the JSON page at path from the admin listener at addr and decodes it into v.
func FetchPage(ctx context.Context, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := fetch.JSON(ctx, http.DefaultClient, "http://"+addr+path, maxPageBytes, v); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	return nil
}
