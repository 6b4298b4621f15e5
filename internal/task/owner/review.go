package owner

import (
	"slices"
	"time"

	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Cancel ends a job whose caller left or whose VM is gone.
func (sc *Scheduler) Cancel(now time.Time, key Key, why string) {
	e := sc.jobs[key]
	if e == nil || e.answered {
		return
	}
	sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Canceled, Detail: why})
	sc.dispatch(now)
}

// Keepalive records that the VM of a job's caller still waited for it at the given time, by this VM's clock.
func (sc *Scheduler) Keepalive(now time.Time, key Key, at time.Time) {
	e := sc.jobs[key]
	if e == nil || e.answered || !at.After(e.keepalive) {
		return
	}
	wasFresh, wasStartable := e.fresh(now), e.startable(now)
	e.keepalive = at
	if !wasFresh && e.fresh(now) || !wasStartable && e.startable(now) && e.hasWaiting() {
		sc.dispatch(now)
	}
}

// CancelMatching ends the jobs for whose key gone returns true, because their VM was lost or replaced:
// nobody waits for them any more, and their callers will submit them again elsewhere.
func (sc *Scheduler) CancelMatching(now time.Time, gone func(Key) bool, why string) {
	for k, e := range sc.jobs {
		if !e.answered && gone(k) {
			sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: why})
		}
	}
	sc.dispatch(now)
}

// Tick ends jobs that are out of time and runs on silent endpoints whose lease has run out.
func (sc *Scheduler) Tick(now time.Time) {
	for _, s := range sc.order {
		ended := s.ExpireLease(now)
		sc.reportLostRuns(now, time.Time{}, s, ended, LostByLease)
		if !s.lost { // a lost one has another owner, so it is not renewed from here and its silence is no sign
			sc.recordLostRuns(now, s, ended)
		}
		sc.runsEnded(now, s, ended, "lease ran out")
	}
	sc.resolvePending(now)
	sc.updateShares(now)
	for _, e := range sc.jobs {
		sc.review(now, e)
	}
	for id, s := range sc.endpoints {
		if s.lost && len(s.Runs) == 0 {
			sc.remove(id)
		}
	}
	sc.dispatch(now)
}

// review ends a job that is out of time or can't be answered in time to be useful.
func (sc *Scheduler) review(now time.Time, e *entry) {
	switch {
	case e.answered:
		for r, ep := range e.runs { // a stop may have been lost
			sc.stop(ep, r)
		}
	case e.expired(now):
		sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: "its VM is silent"})
	case !now.Before(e.deadline):
		sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Deadline, Detail: "its time ran out"})
	case e.begun && sc.stranded(now, e):
		sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.NoEndpoint, Detail: sc.noEndpointDetail()})
	case e.begun || len(e.runs) > 0:
		sc.stopStuck(now, e)
	default:
		sc.reviewWaiting(now, e)
	}
}

// reviewWaiting reviews a job of which nothing has begun.
func (sc *Scheduler) reviewWaiting(now time.Time, e *entry) {
	switch {
	case !sc.placeable(e.Job, e.deadline): // another owner may run it
		sc.finish(now, e, job.Answer{Outcome: job.Refused, Reason: job.NoEndpoint, Detail: sc.noEndpointDetail()})
	case e.Begun: // other parts of the job have begun; its deadline ends it
	case sc.lateWaitBudget(e, now) < 0:
		sc.finish(now, e, job.Answer{Outcome: job.Refused, Reason: job.Overload, Retry: sc.waitBudget(e, e.arrived), Detail: "no room came free in time"})
	case e.turn: // waits for as long as its answer is of use
	case (e.late || sc.waitBudget(e, now) < 0) && sc.overloaded(now):
		sc.finish(now, e, job.Answer{Outcome: job.Refused, Reason: job.Overload, Retry: sc.waitBudget(e, e.arrived), Detail: "no room came free in time for its objective"})
	case !e.late && sc.waitBudget(e, now) < 0:
		sc.queue = slices.DeleteFunc(sc.queue, func(x *entry) bool { return x == e })
		e.late = true
		sc.enqueue(e)
	}
}

// stopStuck stops the runs of a job that take far longer than expected.
func (sc *Scheduler) stopStuck(now time.Time, e *entry) {
	sc.reviewGangs(now, e)
	for r, ep := range e.runs {
		if r.Stage != lease.Running || e.Steps[r.Step].Gang || !sc.stuck(now, e, r) {
			continue
		}
		sc.cfg.Log.Info("run stuck", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "percent", r.Percent, "after", now.Sub(r.SentAt).Round(time.Millisecond), "factor", round2(sc.speedOf(ep.ID)))
		sc.reportHealth(now, health.Report{Addr: ep.Addr, Kind: e.Pool + "/" + e.Queue, End: health.Silent}, ep.ID)
		sc.stop(ep, r)
	}
}

const (
	// stuckFactor is how many times its expected time a run may take without having done half of its work.
	// Work varies by a factor of two around its estimate.
	stuckFactor = 4
	// minStuckTime keeps very short tasks from being stopped because of a delayed report.
	minStuckTime = 400 * time.Millisecond
)

func (sc *Scheduler) stuck(now time.Time, e *entry, r *lease.Run) bool {
	if sc.speeds != nil && !e.Steps[r.Step].Gang {
		return sc.stalled(e, r)
	}
	limit := max(minStuckTime, stuckFactor*sc.expect(e.Job, &e.Steps[r.Step]))
	return now.Sub(r.SentAt) > limit && r.Percent < 50
}
