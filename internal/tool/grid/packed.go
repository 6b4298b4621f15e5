package grid

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/batch"
)

// packStep is the resolution of times in the packer.
const packStep = 10 * time.Millisecond

// deferredShares are the shares of jobs, those with the least worth for each core-second, that the
// packer places after all others. Packed tries each of them.
var deferredShares = [...]float64{0, 0.2, 0.4, 0.6, 0.8}

// Packed returns, for each window of a span, the share of worth earned by a scheduler that knows
// all jobs and run times beforehand and whose messages take no time, but that puts whole tasks on
// whole endpoints. Jobs are placed in order of arrival: each task gets the first moment at which it
// fits, if all tasks end within the objective. The jobs with the least worth for each core-second
// come after all others; the best of deferredShares counts.
func (g *Grid) Packed(from, to, window time.Duration) (best []float64) {
	var jobs []*Result
	for r := range g.submitted(allKinds, from, to) {
		jobs = append(jobs, r)
	}
	slices.SortStableFunc(jobs, func(a, b *Result) int { return cmp.Compare(g.density(a), g.density(b)) })
	bestSum := -1.0
	for _, part := range deferredShares {
		cut := int(part * float64(len(jobs)))
		order := append(byArrival(jobs[cut:]), byArrival(jobs[:cut])...)
		if got, sum := g.packInOrder(order, from, to, window); sum > bestSum {
			best, bestSum = got, sum
		}
	}
	return best
}

// byArrival returns jobs in their order of arrival.
func byArrival(jobs []*Result) []*Result {
	return slices.SortedStableFunc(slices.Values(jobs), func(a, b *Result) int { return cmp.Compare(a.At, b.At) })
}

// packInOrder places jobs in the given order; sum is all that they earn.
func (g *Grid) packInOrder(order []*Result, from, to, window time.Duration) (got []float64, sum float64) {
	p := newPacker(g, from, to)
	n := int(math.Ceil(float64(to-from) / float64(window)))
	got, all := make([]float64, n), make([]float64, n)
	for _, r := range order {
		i := int((r.At - from) / window)
		all[i] += g.worth(r)
		if p.place(r) {
			got[i] += g.worth(r)
			sum += g.worth(r)
		}
	}
	for i := range got {
		got[i] /= max(all[i], 1e-9)
	}
	return got, sum
}

// EarnedByWindow returns what was earned in each window of a span.
func (g *Grid) EarnedByWindow(from, to, window time.Duration) (got []float64) {
	for at := from; at < to; at += window {
		got = append(got, g.Earned(at, min(to, at+window)))
	}
	return got
}

// packer holds the free cores of each endpoint in each step.
type packer struct {
	g    *Grid
	from time.Duration
	free [][]float64
}

// packOverrun is how long after a span the last jobs may still run.
const packOverrun = 8 * time.Second

func newPacker(g *Grid, from, to time.Duration) *packer {
	p := &packer{g: g, from: from}
	steps := int((to - from + packOverrun) / packStep)
	for _, id := range g.endpointIDs {
		cores := g.endpoints[id].Size.Cores
		row := make([]float64, steps)
		for i := range row {
			row[i] = cores
		}
		p.free = append(p.free, row)
	}
	return p
}

// placement is the endpoint and the time of a task.
type placement struct {
	row, at, steps int
	cores          float64
}

// place reserves cores for all tasks of a job. If one would be late it reserves nothing and returns
// false.
func (p *packer) place(r *Result) bool {
	var placed []placement
	for i := range r.Tasks {
		w := p.g.Judge.Work(batch.Task{Job: r.ID, Index: i}.String())
		s, ok := p.findSlot(r, w)
		if !ok {
			for _, s := range placed {
				p.book(s, s.cores)
			}
			return false
		}
		p.book(s, -s.cores)
		placed = append(placed, s)
	}
	return true
}

// book adds cores to those that are free on the endpoint of a placement during its time.
func (p *packer) book(s placement, cores float64) {
	row := p.free[s.row][s.at : s.at+s.steps]
	for i := range row {
		row[i] += cores
	}
}

// findSlot returns the first moment at which a task fits on an endpoint, and of the endpoints then
// the one that it leaves the fewest free cores.
func (p *packer) findSlot(r *Result, w fakes.Work) (best placement, ok bool) {
	steps := max(1, int(math.Ceil(float64(w.Run)/float64(packStep))))
	last := min(int((r.At+r.Objective-p.from)/packStep)-steps, len(p.free[0])-steps)
	for at := int((r.At - p.from) / packStep); at <= last; at++ {
		low := math.Inf(1)
		for i, row := range p.free {
			left := row[at] - w.Need.Cores
			if left < 0 || left >= low || slices.Min(row[at:at+steps]) < w.Need.Cores {
				continue
			}
			best, low, ok = placement{i, at, steps, w.Need.Cores}, left, true
		}
		if ok {
			return best, true
		}
	}
	return best, false
}
