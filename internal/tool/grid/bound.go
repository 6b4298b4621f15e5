package grid

import (
	"cmp"
	"slices"
	"time"
)

// boundStep is the resolution of deadlines in Bound.
const boundStep = 50 * time.Millisecond

// Bound returns an upper bound on the share of the worth of a span's jobs that any scheduler could
// earn. It assumes that all jobs are known beforehand, tasks can be cut at will, messages take no
// time, and the endpoints are empty at first. It takes the jobs with the most worth for each
// core-second, as long as at no moment more work is due than the cores can have done by then. The
// parameter cores is the share of the cores that tasks can fill: 1 for a certain bound, and 0.84
// for tasks of 27 cores, of which two fit on 64 cores and three on 96.
func (g *Grid) Bound(from, to time.Duration, cores float64) float64 {
	total := 0.0
	for _, e := range g.endpoints {
		total += e.Size.Cores * cores
	}
	var jobs []*Result
	all, last := 0.0, 0
	for r := range g.submitted(allKinds, from, to) {
		jobs = append(jobs, r)
		all += g.worth(r)
		last = max(last, r.due(from))
	}
	slices.SortFunc(jobs, func(a, b *Result) int { return cmp.Compare(g.density(b), g.density(a)) })
	room := make([]float64, last+1) // core-seconds still free up to each step
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

// due returns the step by which a job must be done.
func (r *Result) due(from time.Duration) int { return int((r.At + r.Objective - from) / boundStep) }

// density returns the worth of a job for each core-second.
func (g *Grid) density(r *Result) float64 { return g.worth(r) / r.Work }
