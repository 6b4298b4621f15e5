// Command dahliawinchd runs the daemon of one entry VM on leased endpoints, like "dahliawinch
// serve". It leaves out the other commands, whose libraries take longer to initialize than the
// daemon itself: on 0.12 of a core it serves sooner after a loss of power.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dahliawinch/internal/cli/daemon"
)

func main() {
	root := &cobra.Command{
		Use: "dahliawinchd [SETTINGS.json]", Short: daemon.Short, Long: daemon.Long, Args: cobra.MaximumNArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, args []string) error { return daemon.Run(args, c.OutOrStdout()) },
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dahliawinchd:", err)
		os.Exit(daemon.ExitCode(err))
	}
}
