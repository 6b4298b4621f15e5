package cmds

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dahliawinch/internal/conf/forms"
)

var cmdDiff = command{
	use: "diff FILE", short: "Show how a file differs from the document in force",
	args: cobra.ExactArgs(1), flags: operatorFlags,
	action: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return failed(fmt.Errorf("diff: %w", err))
		}
		o, err := newOperator(c)
		if err != nil {
			return err
		}
		cur, err := o.current(c.Context())
		if err != nil {
			return failed(fmt.Errorf("diff: %w", err))
		}
		changes, err := forms.Diff(cur.Doc, text)
		if err != nil {
			return failed(fmt.Errorf("diff: %w", err))
		}
		for _, x := range changes {
			fmt.Fprintln(c.OutOrStdout(), x)
		}
		return nil
	},
}
