package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"

	"wellgw/internal/accept"
)

// firstInheritedFD comes after standard input, output and error.
const firstInheritedFD = 3

// inheritedListener returns the clients' listener that the platform hands down,
// as the descriptor that EDGE_SOCKET_FD names; nil where there is none.
func inheritedListener(env func(string) string) (net.Listener, error) {
	v := env("EDGE_SOCKET_FD")
	if v == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(v)
	if err != nil || fd < firstInheritedFD {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: %q is no descriptor", v)
	}
	file := os.NewFile(uintptr(fd), "clients")
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: %w", err)
	}
	file.Close() // FileListener holds a copy of its own
	return l, nil
}

// clientsListener returns the inherited listener, or one of its own where there is none.
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
