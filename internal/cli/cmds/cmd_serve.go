package cmds

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"dahliawinch/internal/cli/daemon"
	"dahliawinch/platform"
)

var cmdServe = command{
	use: "serve [SETTINGS.json]", short: "Run the daemon of one entry VM on leased endpoints",
	long: "Run the daemon of one entry VM whose endpoints are leased from a platform. The\nsettings file is named here or by the variable " + platform.SettingsVar + ". SIGHUP or a\nchange of the file takes it over again; SIGTERM hands over and ends. The program\ndahliawinchd is this command alone, and starts sooner.",
	args: cobra.MaximumNArgs(1),
	action: func(c *cobra.Command, args []string) error {
		path := ""
		if len(args) == 1 {
			path = args[0]
		}
		err := daemon.Run(path, c.OutOrStdout())
		var settings *daemon.SettingsError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &settings):
			return fmt.Errorf("serve: %w", err)
		default:
			return failed(fmt.Errorf("serve: %w", err))
		}
	},
}
