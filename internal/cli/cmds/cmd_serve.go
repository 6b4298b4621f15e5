package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"dahliawinch/internal/cli/daemon"
)

// cmdServe runs an entry VM on leased endpoints; the program dahliawinchd does only that.
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
