package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"dahliawinch/internal/task/job"
)

var (
	seeds   = flag.Int("seeds", 1, "seeds to play")
	seed    = flag.Uint64("seed", 1, "the first of them")
	keep    = flag.String("keep", "", "folder for the daemons' logs, which are else dropped")
	vms     = flag.Int("vms", 8, "daemons")
	domains = flag.Int("domains", 4, "failure domains")
	rate    = flag.Float64("rate", 40, "jobs a second")
	span    = flag.Duration("span", 6*time.Second, "how long callers come")
)

// found are seeds that once broke a promise, each with its cause.
var found = []uint64{
	136, // a paused owner woke and started a job whose caller had submitted it again
}

// Real daemons under faults from outside: no task runs twice at the same time, no refused
// job began, no answer is partial, every run ends, and some jobs are done.
func TestProcessesUnderFaults(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "dahliawinch")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "dahliawinch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	all := append([]uint64{}, found...)
	for i := range *seeds {
		all = append(all, *seed+uint64(i))
	}
	for _, sd := range all {
		t.Run(fmt.Sprint(sd), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			if *keep != "" {
				dir = filepath.Join(*keep, fmt.Sprint(sd))
				if err := os.MkdirAll(dir, 0o700); err != nil {
					t.Fatal(err)
				}
			}
			r, err := Run(t.Context(), Options{Binary: binary, Dir: dir, Seed: sd, Domains: *domains, VMs: *vms, Endpoints: 2 * *vms, Rate: *rate, Span: *span})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%v starts %d outlived at most %s faults %q", r.Outcomes, r.Starts, r.Outlived, r.Faults)
			for _, b := range r.Broken {
				t.Error(b)
			}
			if r.Outlived > again { // no bucket ends between the bound and the callers' time
				t.Errorf("runs outlived the last keepalive of their job by up to %s", r.Outlived)
			}
			if r.Outcomes[job.Done] == 0 {
				t.Error("no job was done")
			}
		})
	}
}
