package scene

import (
	"time"

	"dahliawinch/internal/base/heap"
)

// bounded is a job in the queue that knows everything.
type bounded struct {
	at    time.Duration
	key   time.Duration
	runs  []time.Duration // waiting
	left  int             // unfinished
	ideal time.Duration
	slot  heap.Slot
}

type finish struct {
	at   time.Duration
	job  *bounded
	slot heap.Slot
}

// overhead is the part of the ideal that is not run time.
const overhead = 2*client + 2*within

// Bound plays a trace against one queue over all slots, with no network between
// queue and slots, no failures and true run times known at arrival: jobs are
// ranked like in package queue, but by their real work. It returns the ratio of
// each job that arrived after warm.
func Bound(trace []Arrival, slots int, stretch float64, warm time.Duration) (ratios []float64) {
	waiting := heap.New(func(a, b *bounded) bool { return a.key < b.key }, func(j *bounded) *heap.Slot { return &j.slot })
	busy := heap.New(func(a, b *finish) bool { return a.at < b.at }, func(f *finish) *heap.Slot { return &f.slot })
	free := slots
	start := func(now time.Duration) {
		for free > 0 && waiting.Len() > 0 {
			j := waiting.Peek()
			last := len(j.runs) - 1
			run := j.runs[last]
			j.runs = j.runs[:last]
			if last == 0 {
				waiting.Pop()
			}
			free--
			busy.Push(&finish{at: now + run, job: j})
		}
	}
	end := func(f *finish) {
		free++
		f.job.left--
		if f.job.left == 0 && f.job.at >= warm {
			ratios = append(ratios, (f.at-f.job.at+overhead).Seconds()/f.job.ideal.Seconds())
		}
	}
	drainTo := func(now time.Duration) {
		for busy.Len() > 0 && busy.Peek().at <= now {
			f := busy.Pop()
			end(f)
			start(f.at)
		}
	}
	for _, a := range trace {
		drainTo(a.At)
		j := &bounded{at: a.At, left: len(a.Job.Runs), ideal: Ideal(a.Job), runs: append([]time.Duration{}, a.Job.Runs...)}
		var work time.Duration
		for _, r := range a.Job.Runs {
			work += r
		}
		j.key = a.At + time.Duration(stretch*float64(work)/float64(slots))
		waiting.Push(j)
		start(a.At)
	}
	drainTo(1 << 62)
	return ratios
}
