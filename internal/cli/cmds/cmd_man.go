package cmds

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

var errFormat = errors.New("format: use markdown or man")

// cmdMan generates the manual pages; those in docs/man are committed.
var cmdMan = command{
	use: "man DIR [markdown|man]", short: "Write the commands' manual pages into a folder",
	args: cobra.RangeArgs(1, 2),
	action: func(c *cobra.Command, args []string) error {
		if err := os.MkdirAll(args[0], 0o750); err != nil {
			return failed(fmt.Errorf("man: %w", err))
		}
		root := c.Root()
		root.DisableAutoGenTag = true
		format := "markdown"
		if len(args) == 2 {
			format = args[1]
		}
		var err error
		switch format {
		case "markdown":
			err = doc.GenMarkdownTree(root, args[0])
		case "man":
			err = doc.GenManTree(root, &doc.GenManHeader{Title: "DAHLIAWINCH", Section: "1"}, args[0])
		default:
			return errFormat
		}
		if err != nil {
			return failed(fmt.Errorf("man: %w", err))
		}
		return nil
	},
}
