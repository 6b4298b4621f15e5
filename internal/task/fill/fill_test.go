package fill

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/job"
)

// pool plays a full pool without a network: runs end at exponentially distributed times, and the tasks that wait are
// topped up. Times are in mean run times.
type pool struct {
	r       *rand.Rand
	sizes   []float64
	free    []float64
	runs    [][]run
	waiting []Task
	most    int // highest Passed of a started task
}

type run struct{ end, need float64 }

func newPool(seed uint64) *pool {
	p := &pool{r: rand.New(rand.NewPCG(seed, 7))}
	for i := range 12 { // one endpoint in three has 24 cores
		p.sizes = append(p.sizes, []float64{16, 16, 24}[i%3])
	}
	p.free, p.runs = append([]float64(nil), p.sizes...), make([][]run, len(p.sizes))
	return p
}

func (p *pool) draw() Task {
	return Task{Need: job.Size{Cores: min(12, 8*math.Exp(0.2*p.r.NormFloat64()-0.02))}}
}

// place returns the endpoint on which a task leaves the least room, as the owner picks it; -1 if none has room.
func (p *pool) place(need float64) int {
	best := -1
	for s, room := range p.free {
		if need <= room && (best < 0 || room < p.free[best]) {
			best = s
		}
	}
	return best
}

// dispatch starts waiting tasks in queue order, or those that Choose prefers.
func (p *pool) dispatch(now float64, fill bool) {
	for i := 0; i < len(p.waiting); {
		s := p.place(p.waiting[i].Need.Cores)
		if s < 0 {
			i++
			continue
		}
		k := i
		if fill {
			k += Choose(job.Size{Cores: p.free[s]}, p.waiting[i:])
			for n := i; n < k; n++ {
				if p.waiting[n].Need.Cores <= p.free[s] {
					p.waiting[n].Passed++
				}
			}
		}
		t := p.waiting[k]
		p.most = max(p.most, t.Passed)
		p.waiting = append(p.waiting[:k], p.waiting[k+1:]...)
		p.free[s] -= t.Need.Cores
		p.runs[s] = append(p.runs[s], run{now + p.r.ExpFloat64(), t.Need.Cores})
	}
}

// next ends the run that is over first.
func (p *pool) next() (at float64) {
	si, ri := 0, -1
	for s := range p.runs {
		for i, x := range p.runs[s] {
			if ri < 0 || x.end < p.runs[si][ri].end {
				si, ri = s, i
			}
		}
	}
	x := p.runs[si][ri]
	p.runs[si] = append(p.runs[si][:ri], p.runs[si][ri+1:]...)
	p.free[si] += x.need
	return x.end
}

// used returns the fraction of cores in use over the given number of ends.
func (p *pool) used(waiting, ends int, fill bool) float64 {
	size, sum, now, began := 0.0, 0.0, 0.0, 0.0
	for _, c := range p.sizes {
		size += c
	}
	for n := range ends {
		for len(p.waiting) < waiting {
			p.waiting = append(p.waiting, p.draw())
		}
		p.dispatch(now, fill)
		free := 0.0
		for _, c := range p.free {
			free += c
		}
		at := p.next()
		if n > ends/10 {
			sum += (at - now) * (size - free) / size
		} else {
			began = at
		}
		now = at
	}
	return sum / (now - began)
}

// Guards against a tenth of the cores being unused in a full pool, because tasks start in queue order. The
// thresholds are what deployments with 8 and 24 tasks waiting at an owner are to get.
func TestFullPoolUsesItsCores(t *testing.T) {
	for _, c := range []struct {
		waiting int
		least   float64
	}{{8, 0.92}, {24, 0.95}} {
		is := is.New(t)
		inOrder, filled, most := 0.0, 0.0, 0
		const seeds = 4
		for seed := range uint64(seeds) {
			inOrder += newPool(seed).used(c.waiting, 20_000, false) / seeds
			p := newPool(seed)
			filled += p.used(c.waiting, 20_000, true) / seeds
			most = max(most, p.most)
		}
		t.Logf("%d waiting: %.4f in order, %.4f filled, passed over at most %d times", c.waiting, inOrder, filled, most)
		is.True(filled >= c.least-0.005) // to two digits
		is.True(filled >= inOrder+0.015)
		is.True(most <= MaxPassed)
	}
}

// Guards against 7.3 free cores beside a run of 8.7 being given to a task of 5.5 while one of 7.2 waits.
func TestTaskThatFillsTheGapStarts(t *testing.T) {
	is := is.New(t)
	needs := func(cores ...float64) (all []Task) {
		for _, c := range cores {
			all = append(all, Task{Need: job.Size{Cores: c}})
		}
		return all
	}
	gap := job.Size{Cores: 7.3}
	is.Equal(Choose(gap, needs(5.5, 8.1, 7.2, 6.9)), 2)
	is.Equal(Choose(gap, needs(8, 9)), -1)
	urgent := needs(5.5, 7.2)
	urgent[0].Urgent = true
	is.Equal(Choose(gap, urgent), 0)
	passed := needs(5.5, 7.2)
	passed[0].Passed = MaxPassed
	is.Equal(Choose(gap, passed), 0)
	is.Equal(Choose(job.Size{Cores: 16}, needs(10.5, 8.7, 7.2)), 1) // two that fill it go before the largest one
	is.Equal(Choose(job.Size{Cores: 16, Memory: 1}, []Task{{Need: job.Size{Cores: 8, Memory: 2}}, {Need: job.Size{Cores: 4, Memory: 1}}}), 1)
}

// Guards against a task that doesn't fit, and against passing over one that may not be passed over.
func TestChoiceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := job.Size{Cores: rapid.Float64Range(0, 24).Draw(t, "room"), Memory: rapid.Float64Range(0, 4).Draw(t, "memory")}
		tasks := make([]Task, rapid.IntRange(0, Window).Draw(t, "n"))
		for i := range tasks {
			tasks[i] = Task{
				Need:   job.Size{Cores: rapid.Float64Range(0, 12).Draw(t, "cores"), Memory: rapid.Float64Range(0, 2).Draw(t, "need")},
				Passed: rapid.IntRange(0, MaxPassed).Draw(t, "passed"), Urgent: rapid.Bool().Draw(t, "urgent"),
			}
		}
		best := Choose(room, tasks)
		fits := func(i int) bool { return tasks[i].Need.Fits(room) }
		if best < 0 {
			for i := range tasks {
				if fits(i) {
					t.Fatalf("task %d fits and none is chosen", i)
				}
			}
			return
		}
		if !fits(best) {
			t.Fatalf("task %d of %v doesn't fit into %v", best, tasks[best].Need, room)
		}
		for i := range best {
			if fits(i) && (tasks[i].Urgent || tasks[i].Passed >= MaxPassed) {
				t.Fatalf("%d passes over %d: %+v", best, i, tasks[i])
			}
		}
	})
}
