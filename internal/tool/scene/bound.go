package scene

import (
	"time"

	"dahliawinch/internal/base/heap"
)

// queuedJob is a job in the queue of OracleRatios.
type queuedJob struct {
	at         time.Duration   // arrival
	key        time.Duration   // rank: the lowest starts first
	runs       []time.Duration // of tasks not started yet
	unfinished int             // number of tasks
	ideal      time.Duration
	slot       heap.Slot
}

// finish is the end of a running task.
type finish struct {
	at   time.Duration
	job  *queuedJob
	slot heap.Slot
}

// overhead is the part of the ideal response that is network delay.
const overhead = 2*clientDelay + 2*innerDelay

// OracleRatios simulates a trace on one queue for all slots, with no network
// between queue and slots, no failures and run times known at arrival. Jobs are
// ranked as in package queue, but by their actual work. It returns the ratio of
// response to ideal of each job that arrived after warm.
func OracleRatios(trace []Arrival, slots int, stretch float64, warm time.Duration) (ratios []float64) {
	waiting := heap.New(func(a, b *queuedJob) bool { return a.key < b.key }, func(j *queuedJob) *heap.Slot { return &j.slot })
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
		f.job.unfinished--
		if f.job.unfinished == 0 && f.job.at >= warm {
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
		j := &queuedJob{at: a.At, unfinished: len(a.Job.Runs), ideal: Ideal(a.Job), runs: append([]time.Duration{}, a.Job.Runs...)}
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
