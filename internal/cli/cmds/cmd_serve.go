package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"dahliawinch/internal/cli/daemon"
)

// The program dahliawinchd has only this command.
var cmdServe = command{
	use: "serve [SETTINGS.json]", short: daemon.Short, long: daemon.Long,
	args: cobra.MaximumNArgs(1),
	action: func(c *cobra.Command, args []string) error {
		if err := daemon.Run(args, c.OutOrStdout()); err != nil {
			return &exitError{daemon.ExitCode(err), fmt.Errorf("serve: %w", err)}
		}
		return nil
	},
}
