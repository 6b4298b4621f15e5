package grid

import (
	"cmp"
	"slices"
	"time"
)

// boundStep is how finely objectives are told apart.
const boundStep = 50 * time.Millisecond

// Bound is the part of the worth of a span's jobs that nobody could exceed: with all jobs
// known beforehand, tasks cut as finely as one likes, no message taking any time, and the
// endpoints empty at first, the densest jobs by worth for each core-second are taken, as
// long as by every moment no more work is due than the cores have done. Cores is the part
// of them that tasks can fill: 1 is beyond doubt, and 0.84 is what goes in of tasks of 27
// cores, two to 64 and three to 96.
func (g *Grid) Bound(from, to time.Duration, cores float64) float64 {
	total := 0.0
	for _, e := range g.endpoints {
		total += e.Size.Cores * cores
	}
	var jobs []*Result
	all, last := 0.0, 0
	for r := range g.sent(every, from, to) {
		jobs = append(jobs, r)
		all += g.worth(r)
		last = max(last, r.due(from))
	}
	slices.SortFunc(jobs, func(a, b *Result) int { return cmp.Compare(g.density(b), g.density(a)) })
	room := make([]float64, last+1) // work that may still be due by each step
	for i := range room {
		room[i] = total * (time.Duration(i+1) * boundStep).Seconds()
	}
	got := 0.0
	for _, r := range jobs {
		by := room[r.due(from):]
		work := min(r.Work, slices.Min(by))
		for i := range by {
			by[i] -= work
		}
		got += g.density(r) * work
	}
	return got / max(all, 1e-9)
}

// due is the step by which a job must be done.
func (r *Result) due(from time.Duration) int { return int((r.At + r.Aim - from) / boundStep) }

// density is the worth of a job for each core-second.
func (g *Grid) density(r *Result) float64 { return g.worth(r) / r.Work }
