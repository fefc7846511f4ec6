package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"

	"wellgw/internal/accept"
)

// firstInheritedFD is the first descriptor after standard input, output and error.
const firstInheritedFD = 3

// inheritedListener returns the clients' listener on the descriptor that the platform passes in
// EDGE_SOCKET_FD; nil if the variable is not set.
func inheritedListener(env func(string) string) (net.Listener, error) {
	v := env("EDGE_SOCKET_FD")
	if v == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(v)
	if err != nil || fd < firstInheritedFD {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: %q is not a valid descriptor number", v)
	}
	file := os.NewFile(uintptr(fd), "clients")
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: %w", err)
	}
	file.Close() // FileListener has duplicated the descriptor
	return l, nil
}

// clientsListener returns the inherited listener, or opens one if inherited is nil.
func (g *gateway) clientsListener(ctx context.Context, inherited net.Listener) (net.Listener, error) {
	if inherited != nil {
		return inherited, nil
	}
	l, err := accept.Listen(ctx, "tcp4", g.listen, g.log)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
