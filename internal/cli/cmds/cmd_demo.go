package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/cli/daemon"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/load"
	"dahliawinch/internal/tool/local"
	"dahliawinch/internal/tool/mix"
)

const (
	demoDuration = 8 * time.Second
	demoLoad     = 0.5 // fraction of all slots
)

var cmdDemo = command{
	use: "demo", short: "Show a whole deployment at work and under a few faults",
	long: "Start a deployment on loopback, declare a document, send real jobs, kill an endpoint\nand an entry VM, let another VM leave and change the document on the way; then print\nwhat callers and endpoints saw. The exit code is 1 if a promise was broken.",
	flags: func(f *pflag.FlagSet) {
		f.Bool("json", false, "print one JSON object")
		f.Bool("verbose", false, "print the daemons' logs")
	},
	action: func(c *cobra.Command, _ []string) error {
		first, _, stop := daemon.Signals()
		defer stop()
		level := slog.LevelError
		if v, _ := c.Flags().GetBool("verbose"); v {
			level = slog.LevelInfo
		}
		r, err := demo(first, c.ErrOrStderr(), logger(c.ErrOrStderr(), level))
		if err != nil {
			return failed(fmt.Errorf("demo: %w", err))
		}
		if asJSON, _ := c.Flags().GetBool("json"); asJSON {
			err = json.NewEncoder(c.OutOrStdout()).Encode(r)
		} else {
			r.print(c.OutOrStdout())
		}
		if err != nil {
			return failed(fmt.Errorf("demo: %w", err))
		}
		if r.Broken() > 0 {
			return failed(fmt.Errorf("demo: %w", errBroken))
		}
		return nil
	},
}

// demoReport is the result of a demonstration.
type demoReport struct {
	load.Report
	Wasted  float64            `json:"wasted"` // wasted messages per started task
	Causes  map[string]float64 `json:"causes"` // the same by cause
	Changed valid.Span         `json:"changed"`
}

func demo(ctx context.Context, status io.Writer, log *slog.Logger) (*demoReport, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	witness := judge.New()
	d, err := local.Start(ctx, local.DefaultShape(), witness, log)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(status, "started %d entry VMs and %d endpoints in %d failure domains\n", len(d.VMs), len(d.Endpoints), d.Domains)
	if err := d.Declare(ctx, mix.Document()); err != nil {
		return nil, err
	}
	fmt.Fprintln(status, "document revision 1 is in force on all VMs")
	m := withKeys(mix.Default())
	slots := float64(d.Shape.Endpoints * d.Slots)
	plan := load.Plan{Mix: m, Rate: demoLoad * slots / m.MeanWork().Seconds(), Span: demoDuration, Seed: 1}
	for _, v := range d.VMs {
		plan.Targets = append(plan.Targets, v.Settings.Caller)
	}
	l := load.New(plan, witness)
	out := &demoReport{Causes: map[string]float64{}}
	faults := make(chan error, 1)
	go func() { faults <- demoFaults(ctx, status, d, out) }()
	done := printProgress(ctx, status, l)
	l.Run(ctx)
	done()
	if err := <-faults; err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond) // so that starts that come after the answers are counted too
	if err := d.Stop(); err != nil {
		return nil, err
	}
	out.Report = l.Report()
	for _, c := range meter.Causes() {
		n := float64(d.Wasted(c)) / float64(max(1, d.Starts()))
		out.Causes[c.String()] = n
		out.Wasted += n
	}
	for _, w := range witness.Violations() {
		fmt.Fprintln(status, "broken:", w)
	}
	return out, nil
}

// demoFaults injects faults and changes the document during the load.
func demoFaults(ctx context.Context, status io.Writer, d *local.Deployment, out *demoReport) error {
	sleep(ctx, demoDuration/4)
	fmt.Fprintln(status, "an endpoint dies in the middle of its tasks")
	d.Endpoints[3].Die()
	sleep(ctx, demoDuration/8)
	next := mix.Document()
	relief := next.Tenants["relief"]
	relief.Weight = 4
	next.Tenants["relief"] = relief
	began := time.Now()
	if err := d.Declare(ctx, next); err != nil {
		return fmt.Errorf("change the document: %w", err)
	}
	out.Changed = valid.Span(time.Since(began).Round(time.Millisecond))
	fmt.Fprintf(status, "document revision 2 is in force on all VMs after %s\n", out.Changed.Std())
	sleep(ctx, demoDuration/8)
	fmt.Fprintln(status, "an entry VM leaves gracefully")
	d.VMs[5].Leave()
	sleep(ctx, demoDuration/8)
	fmt.Fprintln(status, "an entry VM is killed")
	d.VMs[2].Kill()
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *demoReport) print(w io.Writer) {
	fmt.Fprintf(w, "%-22s %d\n%-22s %d\n", "jobs", r.Jobs, "tasks", r.Tasks)
	fmt.Fprintf(w, "%-22s %d / %d / %d / %d\n", "done/refused/failed/unk", r.Done, r.Refused, r.Failed, r.Unknown)
	fmt.Fprintf(w, "%-22s %d / %d / %d / %d\n", "twice/partial/crossed/lies", r.Twice, r.Partial, r.Crossed, r.FalseRefusals)
	fmt.Fprintf(w, "%-22s mean %.3f p50 %.3f p99 %.3f\n", "response over ideal", r.Ratio.Mean, r.Ratio.P50, r.Ratio.P99)
	fmt.Fprintf(w, "%-22s %.3f a task\n", "wasted messages", r.Wasted)
	for _, c := range meter.Causes() {
		fmt.Fprintf(w, "  %-20s %.4f\n", c, r.Causes[c.String()])
	}
	fmt.Fprintf(w, "%-22s %s\n", "change in force after", r.Changed.Std())
}
