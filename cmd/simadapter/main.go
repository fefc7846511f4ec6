// Command simadapter serves the simulator's protocol on standard input and output. It makes the
// decisions by the routers of this module.
package main

import (
	"fmt"
	"os"

	"wellgw/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
