// Package admin tells operators, on a listener of its own, what the program makes of
// its engines. It is off unless an operator's file names an address, and is to be
// kept on loopback or a network of the operators' own: it asks nobody who they are.
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

// Where the present view of the engines is, the state of changes of roles, and the tier.
const (
	EnginesPath = "/engines"
	RolesPath   = "/roles"
	PeersPath   = "/peers"
)

const (
	headWait  = 2 * time.Second
	writeWait = 5 * time.Second
	askWait   = 5 * time.Second
	maxView   = 64 << 20
)

// View is the body at EnginesPath.
type View struct {
	directory.View
	Consul   consul.Stats   `json:"consul"`
	Counts   map[string]int `json:"counts"`
	Gateways int            `json:"gateways"` // that share the engines, as far as is known
}

// Pages are what is told, by path. Each is called for each request.
type Pages map[string]func() any

// Serve answers on l until ctx ends. others are pages that are not JSON, by path.
func Serve(ctx context.Context, l net.Listener, pages Pages, others map[string]http.Handler, log *slog.Logger) {
	mux := http.NewServeMux()
	for path, page := range others {
		mux.Handle("GET "+path, page)
	}
	for path, page := range pages {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if err := jsoniter.NewEncoder(w).Encode(page()); err != nil {
				log.Debug("admin", "cause", err)
			}
		})
	}
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: headWait, ReadTimeout: headWait, WriteTimeout: writeWait,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin listener ended", "cause", err)
	}
}

// Ask returns the present view of the gateway whose admin listener is at addr.
func Ask(ctx context.Context, addr string) (View, error) {
	var v View
	err := AskPage(ctx, addr, EnginesPath, &v)
	return v, err
}

// AskPage reads one page into v.
func AskPage(ctx context.Context, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	if err := fetch.JSON(ctx, http.DefaultClient, "http://"+addr+path, maxView, v); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	return nil
}
