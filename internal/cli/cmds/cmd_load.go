package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/cli/daemon"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/load"
	"dahliawinch/internal/tool/mix"
)

var (
	errTargets = errors.New("targets: none; name the callers' addresses that local prints")
	errBroken  = errors.New("a promise was broken")
	errRemote  = errors.New("load goes to loopback addresses only")
)

var cmdLoad = command{
	use: "load ADDRESS...", short: "Send an open-loop load to entry VMs on loopback",
	long: "Send jobs to callers' addresses of entry VMs, open loop: each job is due at a time of\nits own, and its latency counts from then. What endpoints saw is not known here, so\n\"twice\" and \"lies\" count only in demo and bench, which own the endpoints.",
	args: cobra.MinimumNArgs(1),
	flags: func(f *pflag.FlagSet) {
		f.String("mix", "", "JSON file with the kinds of jobs; the brief's sizes if empty")
		f.Float64("rate", 20, "jobs per second")
		f.Duration("span", 10*time.Second, "how long")
		f.Uint64("seed", 1, "seed of the random numbers")
		f.Float64("burst", 0, "multiplies the rate between --from and --till")
		f.Duration("from", 0, "start of the burst")
		f.Duration("till", 0, "end of the burst")
		f.Bool("json", false, "print one JSON object")
	},
	action: func(c *cobra.Command, args []string) error {
		plan, err := newPlan(c, args)
		if err != nil {
			return err
		}
		first, _, stop := daemon.Signals()
		defer stop()
		l := load.New(plan, judge.New())
		done := printProgress(first, c.ErrOrStderr(), l)
		l.Run(first)
		done()
		r := l.Report()
		asJSON, _ := c.Flags().GetBool("json")
		if err := printReport(c.OutOrStdout(), r, asJSON); err != nil {
			return failed(err)
		}
		if r.Partial+r.Crossed > 0 {
			return failed(errBroken)
		}
		return nil
	},
}

func newPlan(c *cobra.Command, args []string) (load.Plan, error) {
	f := c.Flags()
	plan := load.Plan{Mix: withKeys(mix.Default())}
	plan.Rate, _ = f.GetFloat64("rate")
	plan.Span, _ = f.GetDuration("span")
	plan.Seed, _ = f.GetUint64("seed")
	plan.Burst, _ = f.GetFloat64("burst")
	plan.BurstStart, _ = f.GetDuration("from")
	plan.BurstEnd, _ = f.GetDuration("till")
	for _, a := range args {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return plan, fmt.Errorf("targets: %w", err)
		}
		if !at.Addr().IsLoopback() {
			return plan, fmt.Errorf("targets: %s: %w", a, errRemote)
		}
		plan.Targets = append(plan.Targets, at)
	}
	if len(plan.Targets) == 0 {
		return plan, errTargets
	}
	if path, _ := f.GetString("mix"); path != "" {
		m, err := mix.Load(path)
		if err != nil {
			return plan, fmt.Errorf("mix: %w", err)
		}
		plan.Mix = m
	}
	return plan, nil
}

// withKeys sets the built-in mix's keys to those of the demonstration document.
func withKeys(m mix.Mix) mix.Mix {
	for i := range m.Kinds {
		m.Kinds[i].Key = "demo-" + m.Kinds[i].Tenant
	}
	return m
}

// printProgress prints a status line each second until done is called.
func printProgress(ctx context.Context, w io.Writer, l *load.Load) (done func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				sent, answered := l.Progress()
				fmt.Fprintf(w, "sent %d answered %d\n", sent, answered)
			}
		}
	}()
	return func() { cancel(); <-ended }
}

func printReport(w io.Writer, r load.Report, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
		return nil
	}
	fmt.Fprintf(w, "jobs %d tasks %d done %d refused %d failed %d unknown %d\n", r.Jobs, r.Tasks, r.Done, r.Refused, r.Failed, r.Unknown)
	fmt.Fprintf(w, "ratio mean %.3f p50 %.3f p99 %.3f\n", r.Ratio.Mean, r.Ratio.P50, r.Ratio.P99)
	for name, q := range r.Millis {
		fmt.Fprintf(w, "%-8s ms p50 %.1f p99 %.1f max %.1f\n", name, q.P50, q.P99, q.Max)
	}
	for why, n := range r.Reasons {
		fmt.Fprintf(w, "%-20s %d\n", why, n)
	}
	return nil
}
