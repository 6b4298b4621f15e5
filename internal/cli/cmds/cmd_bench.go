package cmds

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/tool/bench"
)

var errBench = errors.New("use: bench wire, or bench control")

var cmdBench = command{
	use: "bench wire | bench control", short: "Measure what a task and what control cost",
	long:  "wire: processor time of a task through one entry VM over loopback, beside a bare HTTP\nclient and server; added latency; memory of a queued job.\ncontrol: bytes, processor time and memory that one daemon spends on control, from 8 to\n400 entry VMs with stand-in peers. The tables in virtual time are tests:\ngo test ./internal/tool/scene -v",
	args:  cobra.ExactArgs(1),
	flags: func(f *pflag.FlagSet) { f.Bool("json", false, "print JSON objects, one a line") },
	action: func(c *cobra.Command, args []string) error {
		asJSON, _ := c.Flags().GetBool("json")
		switch args[0] {
		case "wire":
			w, err := bench.MeasureWire(c.Context())
			if err != nil {
				return failed(fmt.Errorf("bench: %w", err))
			}
			return printBench(c, asJSON, w, fmt.Sprintf("tasks %d, %.0f a second; us a task: entry %.1f bare %.1f ratio %.2f; added ms p50 %.2f p99 %.2f; bytes a queued job %.0f",
				w.Tasks, w.Starts, w.Entry, w.Bare, w.Ratio, w.Added, w.Added99, w.Held))
		case "control":
			for _, s := range bench.Sizes {
				r, err := bench.MeasureControl(c.Context(), s.VMs, s.Domains, s.Endpoints)
				if err != nil {
					return failed(fmt.Errorf("bench: %w", err))
				}
				if err := printBench(c, asJSON, r, fmt.Sprintf("VMs %d domains %d near %d far %d own endpoints %d: out %.0f B/s in %.0f B/s cpu %.2f %% memory %.0f KB",
					r.VMs, r.Domains, r.Near, r.Far, r.Endpoints, r.Out, r.In, r.CPU, r.Memory/1024)); err != nil {
					return err
				}
			}
			return nil
		default:
			return errBench
		}
	},
}

func printBench(c *cobra.Command, asJSON bool, v any, line string) error {
	if !asJSON {
		fmt.Fprintln(c.OutOrStdout(), line)
		return nil
	}
	if err := json.NewEncoder(c.OutOrStdout()).Encode(v); err != nil {
		return failed(fmt.Errorf("bench: %w", err))
	}
	return nil
}
