package owner

import (
	"net/netip"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Key identifies a job by the VM that answers its caller.
type Key struct {
	VM   netip.AddrPort
	Inc  uint64 // incarnation of that VM
	Call uint64
}

// entry is the state of one job from its submission until none of its runs is left.
type entry struct {
	*batch.Job
	key       Key
	arrived   time.Time
	objective time.Time // when it should be done to meet the latency objective
	deadline  time.Time // when its answer becomes useless
	steps     []step
	stepsLeft int // steps that are not done
	runs      map[*lease.Run]*lease.Endpoint
	begun     bool // a start of it was confirmed, or a run ended that may have begun
	answered  bool // its final answer was given
	late      bool // it will miss its objective
	turn      bool // it is served although it will; see demand.Turns
	moves     int  // runs that were stopped to restart elsewhere
	passed    int  // times a later job's task started in room that one of its tasks fits
	// For the log: number of runs started, and the longest run with its endpoint.
	starts    int
	slowest   time.Duration
	slowestAt string
	ended     time.Time // when the job was answered
	lastEnd   time.Time // latest time by which one of its runs had ended
	keepalive time.Time // when the caller's VM last asked for the job, by this VM's clock
	limits    lease.Limits
}

// EndBy implements lease.Job.
func (e *entry) EndBy() time.Time { return e.keepalive.Add(e.limits.Outlive()) }

// fresh reports whether the last keepalive is recent enough to start the job's tasks.
func (e *entry) fresh(now time.Time) bool { return now.Sub(e.keepalive) <= e.limits.Fresh() }

// startable reports whether the last keepalive is recent enough to start the job's tasks on endpoints that may have restarted.
func (e *entry) startable(now time.Time) bool { return now.Sub(e.keepalive) <= e.limits.StartAge() }

// expired reports whether the caller's VM was silent for so long that the job must end.
func (e *entry) expired(now time.Time) bool { return now.Sub(e.keepalive) >= e.limits.Expiry() }

type step struct {
	waiting     []int // slots of the tasks to start, the last one first
	done        int
	failures    []int
	firstFailed []time.Time // when each task first failed
	runNums     []int       // highest run number of each task
	gang        gang
}

// lastAsked returns when the caller's VM asked for a job that it submits now, by this VM's clock.
func lastAsked(now time.Time, j *batch.Job) time.Time {
	if j.AskedAt.IsZero() || j.AskedAt.After(now) {
		return now
	}
	return j.AskedAt
}

func newEntry(now time.Time, key Key, j *batch.Job, work time.Duration, limits lease.Limits) *entry {
	keepalive := lastAsked(now, j)
	arrived := keepalive.Add(-j.Age)
	e := &entry{
		Job: j, key: key, arrived: arrived, deadline: keepalive.Add(j.TimeLeft), keepalive: keepalive, limits: limits, steps: make([]step, len(j.Steps)), stepsLeft: len(j.Steps),
		objective: arrived.Add(j.Objective(work) - j.Waited),
		runs:      map[*lease.Run]*lease.Endpoint{},
	}
	for i := range e.steps {
		s := &e.steps[i]
		n := j.Steps[i].Count
		s.failures, s.firstFailed, s.runNums, s.waiting = make([]int, n), make([]time.Time, n), make([]int, n), make([]int, n)
		for k := range n {
			s.waiting[k] = n - 1 - k
		}
	}
	return e
}

// task identifies a task by its step and its index in the entry's slices, which hold only the tasks of this part if the
// entry is a part of a job.
func (e *entry) task(i, k int) batch.Task {
	return batch.Task{Job: e.ID, Step: i, Index: e.First + k}
}

// slot returns the index of a task in the entry's slices.
func (e *entry) slot(t batch.Task) int { return t.Index - e.First }

// ready reports whether the steps that a step depends on are done.
func (e *entry) ready(i int) bool {
	for _, k := range e.Steps[i].After {
		if e.steps[k].done < e.Steps[k].Count {
			return false
		}
	}
	return true
}

// hasWaiting reports whether a task of the job could start if there were room.
func (e *entry) hasWaiting() bool {
	for i := range e.steps {
		if len(e.steps[i].waiting) > 0 && e.ready(i) {
			return true
		}
	}
	return false
}

// outcome returns the outcome for the answer to an unfinished job: Refused only if no run can have
// started.
func (e *entry) outcome() job.Outcome {
	if e.begun || len(e.runs) > 0 {
		return job.Unknown
	}
	return job.Refused
}
