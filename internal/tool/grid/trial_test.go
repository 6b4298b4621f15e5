package grid

import (
	"flag"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliawinch/internal/tool/trial"
)

var (
	out    = flag.String("out", "", "folder for the reports of the trials; without it they are skipped")
	trials = flag.Uint64("trials", 3, "runs of each case, with the seeds from 1")
)

// fullLoad is how many of the users' jobs a second fill all endpoints.
const fullLoad = 200

// trialSeeds returns the seeds of each case.
func trialSeeds() (all []uint64) {
	for s := range *trials {
		all = append(all, s+1)
	}
	return all
}

// simulateSeeds runs a setup with every seed and calls see after each run, with the run's weight in the
// mean.
func simulateSeeds(t *testing.T, set Setup, see func(g *Grid, part float64)) {
	t.Helper()
	for _, s := range trialSeeds() {
		set.Seed = s
		see(simulate(t, set), 1/float64(*trials))
	}
}

func writeReport(t *testing.T, r *trial.Report) {
	t.Helper()
	if err := r.Write(*out); err != nil {
		t.Fatal(err)
	}
}

// Reports the worth earned, its bound, and response times by load.
func TestTrialsOfLoad(t *testing.T) {
	if *out == "" {
		t.Skip("played with -out")
	}
	ended := trial.Table{Title: "How jobs ended", Case: "load"}
	for _, name := range []string{"earned", "packed", "bound", "in aim", "late", "refused", "failed"} {
		ended.Columns = append(ended.Columns, trial.Column{Name: name, Decimals: 3})
	}
	times := trial.Table{Title: "Response times of done jobs", Case: "load"}
	var lines []trial.Line
	for _, k := range UserKinds() {
		for _, q := range []string{"p50", "p95", "p99"} {
			times.Columns = append(times.Columns, trial.Column{Name: k.Name + " " + q, Unit: "ms"})
		}
		lines = append(lines, trial.Line{Name: k.Name + " p95"})
	}
	earned, bound, packed := trial.Line{Name: "earned"}, trial.Line{Name: "bound"}, trial.Line{Name: "packed"}
	for _, load := range []float64{0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.2, 1.5, 2} {
		set := UserSetup(load * fullLoad)
		from, to := set.Warmup, set.Warmup+set.Span
		var got, upper, packedShare float64
		var n Count
		var took [3]*hdrhistogram.Histogram
		simulateSeeds(t, set, func(g *Grid, part float64) {
			got += part * g.Earned(from, to)
			upper += part * g.Bound(from, to, 1)
			packedShare += part * g.Packed(from, to, to-from)[0]
			n.Add(g.Counts(allKinds, from, to))
			for k := range took {
				h := g.Latencies(k, from, to)
				if took[k] != nil {
					h.Merge(took[k])
				}
				took[k] = h
			}
		})
		name, asked := formatLoad(load), float64(n.Asked)
		ended.Add(name, got, packedShare, upper, float64(n.InTime)/asked, float64(n.Late)/asked, float64(n.Refused)/asked, float64(n.Failed)/asked)
		var figures []float64
		for k, h := range took {
			figures = append(figures, float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(95)), float64(h.ValueAtQuantile(99)))
			lines[k].Add(load, float64(h.ValueAtQuantile(95)))
		}
		times.Add(name, figures...)
		earned.Add(load, got)
		bound.Add(load, upper)
		packed.Add(load, packedShare)
	}
	writeReport(t, &trial.Report{
		Name: "load", Title: "Served against load", Setup: "8 VMs, 48 endpoints in 4 failure domains, the users' three kinds of job, 12 s after 3 s of warming up; the bound can't be reached: all jobs known beforehand, tasks cut at will; packed is a scheduler that knows all jobs and puts whole tasks on whole endpoints", Seeds: trialSeeds(),
		Tables: []trial.Table{ended, times},
		Plots: []trial.Plot{
			{Name: "earned", Title: "Worth earned", X: "load, part of all cores", Y: "part of the worth asked for", Lines: []trial.Line{earned, packed, bound}},
			{Name: "times", Title: "Response times", X: "load, part of all cores", Y: "ms", Lines: lines},
		},
	})
}

func formatLoad(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }

// Reports why worth was lost, by kind of trouble.
func TestTrialsOfLosses(t *testing.T) {
	if *out == "" {
		t.Skip("played with -out")
	}
	cases := []struct {
		name string
		set  func() Setup
	}{
		{"calm", func() Setup { return withRate(nil) }},
		{"burst of 1.8", func() Setup { return withRate(burst(1.8, faultAt, faultAt+4*time.Second, urgent, long, plain)) }},
		{"burst of 2.5", func() Setup { return withRate(burst(2.5, faultAt, faultAt+4*time.Second, urgent, long, plain)) }},
		{"burst of 2.5, plain alone", func() Setup { return withRate(burst(2.5, faultAt, faultAt+4*time.Second, plain)) }},
		{"an owner killed", func() Setup { return withFault(func(g *Grid) { g.Restart(g.Owner("fd-a"), time.Second) }) }},
		{"all killed", func() Setup { return withFault(func(g *Grid) { g.KillAll(600 * time.Millisecond) }) }},
		{"a domain cut off", func() Setup { return withFault(cutOff(3 * time.Second)) }},
		{"an owner paused", func() Setup { return withFault(func(g *Grid) { g.Pause(g.Owner("fd-a"), 3*time.Second) }) }},
		{"a rack lost", func() Setup { return withFault(crashRack) }},
	}
	all := make([]map[string]float64, len(cases))
	reasons := map[string]bool{}
	recovery := trial.Plot{Name: "recovery", Title: "Recovery", X: "seconds since the start", Y: "part of the worth earned in the half second"}
	for i, c := range cases {
		lost := map[string]float64{}
		line := trial.Line{Name: c.name}
		steps := make([]float64, 24)
		simulateSeeds(t, c.set(), func(g *Grid, part float64) {
			for why, x := range g.LostWorth(faultAt, faultAt+5*time.Second) {
				lost[why] += part * x
				reasons[why] = true
			}
			for s := range steps {
				at := time.Duration(s) * recoveryStep
				steps[s] += part * g.Earned(2*time.Second+at, 2*time.Second+at+recoveryStep)
			}
		})
		for s, x := range steps {
			line.Add(2+(time.Duration(s)*recoveryStep).Seconds(), x)
		}
		all[i] = lost
		recovery.Lines = append(recovery.Lines, line)
	}
	table := trial.Table{Title: "Worth lost in the five seconds from the trouble's start", Case: "day"}
	names := slices.Sorted(maps.Keys(reasons))
	for _, name := range names {
		table.Columns = append(table.Columns, trial.Column{Name: name, Decimals: 3})
	}
	table.Columns = append(table.Columns, trial.Column{Name: "in all", Decimals: 3})
	for i, c := range cases {
		var figures []float64
		sum := 0.0
		for _, name := range names {
			figures = append(figures, all[i][name])
			sum += all[i][name]
		}
		table.Add(c.name, append(figures, sum)...)
	}
	writeReport(t, &trial.Report{
		Name: "losses", Title: "What worth is lost to", Setup: "8 VMs, 48 endpoints in 4 failure domains, 0.55 of all cores asked for; trouble comes at second 5, bursts last 4 s", Seeds: trialSeeds(),
		Tables: []trial.Table{table}, Plots: []trial.Plot{recovery},
	})
}

// recoveryStep is the time covered by one point of the recovery plot.
const recoveryStep = 500 * time.Millisecond

func withRate(rate func(int, time.Duration) float64) Setup {
	set := UserSetup(110)
	set.Rate = rate
	return set
}

// crashRack crashes six endpoints and removes them from the roster four seconds later.
func crashRack(g *Grid) {
	for n := range 6 {
		g.Endpoint(n).Crash()
	}
	time.Sleep(4 * time.Second)
	for n := range 6 {
		g.Roster.Remove(g.Endpoint(n).ID)
	}
}
