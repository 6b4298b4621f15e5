package owner

import (
	"maps"
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

// canResume reports whether runs of a job can go on for a new submission of it. A part never does: its VM ends the other
// parts, so the new submission would wait for tasks that are not run here.
func (e *entry) canResume(j *batch.Job) bool {
	return !e.answered && !e.Part() && len(e.runs) > 0 && e.SameWork(j)
}

// rejectBesideParts answers a job of which a part is or was here, and reports whether there is one. Other parts may still
// run at owners that this one does not know; the VM that gathers them ends them once it gets this part's answer.
func (sc *Scheduler) rejectBesideParts(now time.Time, old *entry, key Key, j *batch.Job) bool {
	here := old != nil && old.Part()
	if !here && !now.Before(sc.endedParts[j.ID]) {
		return false
	}
	sc.cfg.Log.Info("job may run in parts", "job", j.ID, "by", key.VM, "part_here", here)
	sc.actions.Replies = append(sc.actions.Replies, Reply{key, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Retry: sc.partsBound(), Detail: "parts of the same job may still run"}})
	return true
}

// partsBound returns how long the other parts of a job may go on after one was ended.
func (sc *Scheduler) partsBound() time.Duration {
	if sc.cfg.Limits.Resend <= 0 {
		return stopWait
	}
	return sc.cfg.Limits.Outlive()
}

// noteEndedPart remembers a part of which something has begun for as long as the other parts may go on: other VMs may
// send the job here by an older heartbeat.
func (sc *Scheduler) noteEndedPart(now time.Time, e *entry) {
	if !e.Part() || !e.begun {
		return
	}
	maps.DeleteFunc(sc.endedParts, func(_ string, until time.Time) bool { return !now.Before(until) })
	sc.endedParts[e.ID] = e.ended.Add(sc.partsBound())
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
