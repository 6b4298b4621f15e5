// Command dahliawinchd is the daemon of one entry VM on leased endpoints, as "dahliawinch serve"
// is, and nothing else: on 0.12 of a core it serves sooner after a loss of power, since the
// libraries of the other commands take as long to start as all of it.
package main

import (
	"fmt"
	"os"

	"dahliawinch/internal/cli/daemon"
)

func main() {
	path := ""
	if len(os.Args) > 1 {
		path = os.Args[1]
	}
	if err := daemon.Run(path, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dahliawinchd:", err)
		os.Exit(1)
	}
}
