package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/conf/doc"
)

const defaultWatch = 20 * time.Second

var cmdDeclare = command{
	use: "declare FILE", short: "Put a document forward and watch it come into force",
	long: "Put a document forward on the revision in force, or on --base. Exit codes: 0 in force\neverywhere, 3 refused, 4 lost a race, 5 unknown.",
	args: cobra.ExactArgs(1),
	flags: func(f *pflag.FlagSet) {
		operatorFlags(f)
		changeFlags(f)
		f.Int64("base", -1, "revision that the document changes; the one in force if negative")
	},
	action: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return &exitError{exitRefused, fmt.Errorf("declare: %w", err)}
		}
		if _, err := doc.Parse(text); err != nil {
			return &exitError{exitRefused, fmt.Errorf("declare: %w", err)}
		}
		o, err := newOperator(c)
		if err != nil {
			return err
		}
		base, _ := c.Flags().GetInt64("base")
		if base < 0 {
			cur, _ := o.current(c.Context()) // without a document the base is 0
			base = int64(cur.Rev)
		}
		watch, _ := c.Flags().GetDuration("watch")
		return o.declare(c, uint64(base), text, watch)
	},
}

func changeFlags(f *pflag.FlagSet) {
	f.String("note", "", "why, for the history")
	f.Duration("watch", defaultWatch, "how long to wait until it is in force everywhere")
}
