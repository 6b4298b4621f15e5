package cmds

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the version of the program; CHANGELOG.md lists the changes.
const Version = "0.1.0"

var cmdVersion = command{
	use: "version", short: "Print the version",
	action: func(c *cobra.Command, _ []string) error {
		_, err := fmt.Fprintf(c.OutOrStdout(), "dahliawinch %s %s/%s %s\n", Version, runtime.GOOS, runtime.GOARCH, runtime.Version())
		return err //nolint:wrapcheck // nothing to add
	},
}
