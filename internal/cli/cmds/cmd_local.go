package cmds

import (
	"fmt"
	"log/slog"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/cli/daemon"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/local"
	"dahliawinch/internal/tool/mix"
)

var cmdLocal = command{
	use: "local", short: "Run a whole deployment on loopback until a signal",
	long: "Run the platform's stand-ins, endpoints and entry VMs in one process on loopback,\ndeclare the demonstration document, print every address as key=value and stay up.\nThe caller keys are demo-relief, demo-crew and demo-imprint.",
	flags: func(f *pflag.FlagSet) {
		f.Int("domains", 4, "failure domains")
		f.Int("vms", 8, "entry VMs; 0 for the platform and endpoints only")
		f.Int("endpoints", 50, "endpoints")
		f.Int("slots", 8, "slots of an endpoint")
		f.Bool("verbose", false, "print the daemons' logs")
	},
	action: func(c *cobra.Command, _ []string) error {
		first, second, stop := daemon.Signals()
		defer stop()
		level := slog.LevelError
		if v, _ := c.Flags().GetBool("verbose"); v {
			level = slog.LevelInfo
		}
		shape := local.DefaultShape()
		shape.Domains, _ = c.Flags().GetInt("domains")
		shape.VMs, _ = c.Flags().GetInt("vms")
		shape.Endpoints, _ = c.Flags().GetInt("endpoints")
		shape.Slots, _ = c.Flags().GetInt("slots")
		d, err := local.Start(second, shape, judge.New(), logger(c.ErrOrStderr(), level))
		if err != nil {
			return failed(fmt.Errorf("local: %w", err))
		}
		if len(d.VMs) > 0 {
			if err := d.Declare(first, mix.Document()); err != nil {
				return failed(fmt.Errorf("local: %w", err))
			}
		}
		out := c.OutOrStdout()
		fmt.Fprintf(out, "log=%s\nlist=%s\nstream=%s\n", d.LogAt, d.ListAt, d.Stream)
		for _, v := range d.VMs {
			s := v.Settings
			fmt.Fprintf(out, "vm=%s domain=%s caller=%s operator=%s\n", s.Mesh, s.Domain, s.Caller, s.Operator)
		}
		fmt.Fprintln(out, "ready")
		<-first.Done()
		if err := d.Stop(); err != nil {
			return failed(fmt.Errorf("local: %w", err))
		}
		return nil
	},
}
