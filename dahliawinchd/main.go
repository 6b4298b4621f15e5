// Command dahliawinchd is the daemon of one entry VM on leased endpoints, as "dahliawinch serve"
// is, and nothing else: on 0.12 of a core it serves sooner after a loss of power, since the
// libraries of the other commands take longer to start than all of it.
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
		os.Exit(daemon.Code(err))
	}
}
