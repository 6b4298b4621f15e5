package owner

import (
	"net/netip"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Key names a job by the VM that answers its caller.
type Key struct {
	VM   netip.AddrPort
	Inc  uint64 // of that VM
	Call uint64
}

// entry is one job from its submission until nothing of it runs.
type entry struct {
	*batch.Job
	key   Key
	came  time.Time
	aim   time.Time // the latency objective
	due   time.Time // the answer is of no use after this
	steps []step
	left  int // steps that are not done
	runs  map[*lease.Run]*lease.Endpoint
	begun bool // a run of it was confirmed or listed
	told  bool // the caller has its answer
	late  bool // it will miss its objective
	moves int  // runs that were stopped to begin anew elsewhere
	// For the log: how many runs were started, and the longest and where it was.
	starts  int
	slowest time.Duration
	slowAt  string
	ended   time.Time // when the job got its answer
	over    time.Time // by when the last of its runs had ended
	asked   time.Time // when the VM that answers the caller last asked for the job, by this VM's clock
	limits  lease.Limits
}

// By implements lease.Job.
func (e *entry) By() time.Time { return e.asked.Add(e.limits.Outlive()) }

// fresh reports whether the job's tasks may be started.
func (e *entry) fresh(now time.Time) bool { return now.Sub(e.asked) <= e.limits.Fresh() }

// expired reports whether the VM that answers the caller was silent for so long that the job must end.
func (e *entry) expired(now time.Time) bool { return now.Sub(e.asked) >= e.limits.Expiry() }

type step struct {
	waiting []int // tasks to start, last one first
	done    int
	fails   []int
	failed  []time.Time // when each task first failed
	nums    []int       // highest run number of each task
}

func newEntry(now time.Time, key Key, j *batch.Job, work time.Duration, limits lease.Limits) *entry {
	asked := j.Asked
	if asked.IsZero() || asked.After(now) {
		asked = now
	}
	came := asked.Add(-j.Age)
	e := &entry{
		Job: j, key: key, came: came, due: asked.Add(j.Left), asked: asked, limits: limits, steps: make([]step, len(j.Steps)), left: len(j.Steps),
		aim:  came.Add(j.Aim(work) - j.Waited),
		runs: map[*lease.Run]*lease.Endpoint{},
	}
	for i := range e.steps {
		s := &e.steps[i]
		n := j.Steps[i].Count
		s.fails, s.failed, s.nums, s.waiting = make([]int, n), make([]time.Time, n), make([]int, n), make([]int, n)
		for k := range n {
			s.waiting[k] = n - 1 - k
		}
	}
	return e
}

// ready reports whether the steps before a step are done.
func (e *entry) ready(i int) bool {
	for _, k := range e.Steps[i].After {
		if e.steps[k].done < e.Steps[k].Count {
			return false
		}
	}
	return true
}

// waits reports whether a task of the job could start if there were room.
func (e *entry) waits() bool {
	for i := range e.steps {
		if len(e.steps[i].waiting) > 0 && e.ready(i) {
			return true
		}
	}
	return false
}

// outcome is what an unfinished job's caller is told: refused only when no start can
// have happened.
func (e *entry) outcome() job.Outcome {
	if e.begun || len(e.runs) > 0 {
		return job.Unknown
	}
	return job.Refused
}
