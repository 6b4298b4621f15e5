package cmds

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdWatch = command{
	use: "watch", short: "Wait until a revision is in force on all entry VMs",
	long: "Show for each entry VM the revision in force, name those not heard from, and end when\nit is everywhere. Exit codes: 0 in force everywhere, 5 not yet.",
	flags: func(f *pflag.FlagSet) {
		operatorFlags(f)
		f.Uint64("rev", 0, "revision; the asked VM's if 0")
		f.Duration("watch", defaultWatch, "how long")
	},
	action: func(c *cobra.Command, _ []string) error {
		o, err := newOperator(c)
		if err != nil {
			return err
		}
		rev, _ := c.Flags().GetUint64("rev")
		patience, _ := c.Flags().GetDuration("watch")
		return o.watch(c, rev, patience)
	},
}
