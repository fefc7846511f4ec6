// Command simadapter runs this module's routers for the simulator, over the simulator's protocol on
// standard input and output.
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
