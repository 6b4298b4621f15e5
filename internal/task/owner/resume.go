package owner

import (
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// Has reports whether a job waits or runs here, or is being stopped.
func (sc *Scheduler) Has(id string) bool { return sc.byID[id] != nil }

// Advertised returns the hashes of the IDs of jobs that arrived at least minAge ago, including jobs whose runs are
// being stopped. Other VMs must know of them: a caller may have left unnoticed and submit its job again there.
func (sc *Scheduler) Advertised(now time.Time, minAge time.Duration) (hashes []uint64) {
	for _, e := range sc.jobs {
		if now.Sub(e.arrived) >= minAge {
			hashes = append(hashes, batch.HashID(e.ID))
		}
	}
	return hashes
}

// canResume reports whether runs of a job can go on for a new submission of it.
func (e *entry) canResume(j *batch.Job) bool {
	return !e.answered && len(e.runs) > 0 && e.SameWork(j)
}

// resume lets a job go on for a new submission of it, because the caller of the former one has left.
func (sc *Scheduler) resume(now time.Time, e *entry, key Key, j *batch.Job) {
	sc.cfg.Log.Info("job goes on for its resubmission", "job", e.ID, "by", key.VM, "former", e.key.VM, "runs", len(e.runs),
		"age", now.Sub(e.arrived).Round(time.Millisecond), "since_keepalive", now.Sub(e.keepalive).Round(time.Millisecond))
	sc.actions.Replies = append(sc.actions.Replies, Reply{e.key, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Detail: "the same job was submitted again"}})
	delete(sc.jobs, e.key)
	e.key, sc.jobs[key] = key, e
	asked := lastAsked(now, j)
	e.keepalive = timer.Later(e.keepalive, asked)
	e.deadline = asked.Add(j.TimeLeft)
	sc.dispatch(now)
}
