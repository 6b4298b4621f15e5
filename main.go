// Command dahliawinch dispatches jobs of parallel sub-second tasks.
package main

import (
	"os"

	"dahliawinch/internal/cli/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
