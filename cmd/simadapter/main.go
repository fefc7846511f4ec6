// Command simadapter runs routers behind the simulator's wire on standard input
// and output.
package main

import (
	"fmt"
	"os"

	"wellgw/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
