package owner

import (
	"errors"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/lease"
)

// StartResult processes the result of a start: the error of its last send, and silent, the number of
// sends that got no answer. If there were any, a refusal only says that the run isn't there now: an
// earlier order may still arrive, or the run may have ended.
func (sc *Scheduler) StartResult(now time.Time, s Start, silent int, err error) {
	s.At.Conclude(now, s.Run)
	var refused *agent.RefusedError
	switch {
	case err == nil:
		sc.Started(now, s.At, s.Run)
	case silent > 0 || agent.Unanswered(err):
		sc.Unanswered(now, s.At, s.Run, err)
	case errors.As(err, &refused):
		sc.Refused(now, s, refused.Why)
	default:
		sc.Unsent(now, s.At, s.Run, err)
	}
}

// Started records that an endpoint began a run, or had it already.
func (sc *Scheduler) Started(now time.Time, ep *lease.Endpoint, r *lease.Run) {
	e := r.Job.(*entry)
	e.begun = true
	ep.Started(now, r)
	if e.answered && r.Stage == lease.Running {
		sc.stop(ep, r)
	}
}

// Refused records that an endpoint refused to begin a run.
func (sc *Scheduler) Refused(now time.Time, o Start, why agent.Refusal) {
	ep, r := o.At, o.Run
	s := sc.endpoints[ep.ID]
	e, withdrawn := r.Job.(*entry), r.Stage == lease.Stopping
	sc.cfg.Log.Info("start refused", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "reason", why.String(), "fence", o.Fence)
	if s == nil || !ep.Reject(r) {
		return
	}
	switch why {
	case agent.NoRoom, agent.LeaseExpired:
		s.fullUntil = now.Add(fullPause)
	case agent.Superseded:
		if !withdrawn { // else the stop went before it
			e.steps[r.Task.Step].runNums[e.slot(r.Task)] += runNumSkip
		}
	case agent.Unhealthy:
		sc.reportHealth(now, health.Report{Addr: ep.Addr, End: health.Unreachable}, ep.ID)
	case agent.Fenced, agent.WrongInstance, agent.Invalid:
	}
	sc.runEnded(now, s, lease.Finished{Run: r, State: lease.Never}, why.String())
	switch why {
	case agent.Fenced:
		if o.Fence == ep.Fence { // else the order is from before its restart
			sc.Lose(now, ep.ID, false, "another VM owns it")
		}
	case agent.WrongInstance:
		sc.Lose(now, ep.ID, true, "it was restarted")
	case agent.Invalid:
		sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.BadRequest, Detail: "the endpoint can't read the task"})
	default:
	}
	sc.dispatch(now)
}

const (
	// fullPause is how long an endpoint with less room than assumed gets no new runs: about the time that
	// a stop takes, which is the usual cause.
	fullPause = 50 * time.Millisecond
	// runNumSkip is added to a run number that has already ended on an endpoint: an earlier submission of
	// the job used the numbers up to there.
	runNumSkip = 16
)

// Unanswered records that a start got no answer: it may run now, or begin later.
func (sc *Scheduler) Unanswered(now time.Time, ep *lease.Endpoint, r *lease.Run, err error) {
	e := r.Job.(*entry)
	if r.Stage != lease.Sent {
		return
	}
	sc.cfg.Log.Info("start got no answer", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "after", now.Sub(r.SentAt), "born", ep.LastBorn(), "heard", sinceHeard(now, ep), "err", err)
	sc.reportHealth(now, health.Report{Addr: ep.Addr, End: health.Silent}, ep.ID)
	sc.stop(ep, r)
	if e.Steps[r.Step].Gang {
		sc.withdrawGang(e, r.Step, nil)
	}
}

// Unsent records that a start never left this VM.
func (sc *Scheduler) Unsent(now time.Time, ep *lease.Endpoint, r *lease.Run, err error) {
	e := r.Job.(*entry)
	if errors.Is(err, agent.ErrBusy) || errors.Is(err, agent.ErrWithheld) {
		sc.cfg.Log.Info("start not sent", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "after", now.Sub(r.SentAt).Round(time.Millisecond), "err", err)
	} else {
		sc.cfg.Log.Info("endpoint unreachable", "job", e.ID, "task", r.Name, "endpoint", ep.ID, "err", err)
		sc.reportHealth(now, health.Report{Addr: ep.Addr, End: health.Unreachable}, ep.ID)
	}
	if s := sc.endpoints[ep.ID]; s != nil && ep.Reject(r) {
		sc.runEnded(now, s, lease.Finished{Run: r, State: lease.Never}, "unreachable")
		sc.dispatch(now)
	}
}

// Stopped records that an endpoint confirmed a stop.
func (sc *Scheduler) Stopped(now time.Time, ep *lease.Endpoint, n lease.RunID) {
	ep.Stopped(now, n)
	if s := sc.endpoints[ep.ID]; s != nil {
		sc.renew(s)
	}
}

// Renewed processes an endpoint's answer to the renewal sent at the given time.
func (sc *Scheduler) Renewed(now, sent time.Time, ep *lease.Endpoint, r lease.Report) {
	s := sc.endpoints[ep.ID]
	if s == nil || s.Endpoint != ep || s.lost {
		return
	}
	wasSilent, known := ep.Silent, ep.Synced
	restarts, born, cursor := ep.Restarts(r), ep.LastBorn(), ep.Cursor
	unsettled := restarts || !ep.Settled()
	ended, stops := ep.ApplyReport(now, sent, r)
	if restarts {
		sc.cfg.Log.Info("endpoint restarted under its ID", "endpoint", ep.ID, "born", r.Born, "born_before", born, "since_renewal", now.Sub(sent).Round(time.Microsecond),
			"cursor_before", cursor, "fence", ep.Fence, "runs", len(ep.Runs))
		sc.resetSpeed(s)
		sc.renew(s)
	}
	if unsettled && ep.Settled() {
		sc.cfg.Log.Info("endpoint settled after its restart", "endpoint", ep.ID, "born", r.Born, "fence", ep.Fence, "runs", len(ep.Runs))
		sc.reportLostRuns(now, sent, s, ended, LostInRestart)
		sc.recordLostRuns(now, s, ended)
	}
	if !known && ep.Synced && ep.TakenOver {
		sc.noteCleared(now, s)
	}
	if wasSilent != restarts { // the silence of one that restarts is the first sign of its loss
		sc.clearLoss(ep.ID)
	}
	if restarts {
		sc.noteLoss(now, ep.ID)
	}
	if wasSilent {
		sc.cfg.Log.Info("endpoint back", "endpoint", ep.ID, "runs", len(ep.Runs))
		sc.health.Reached(ep.Addr)
	}
	for _, f := range ended {
		sc.runEnded(now, s, f, "")
	}
	sc.judgeProgress(now, s)
	for _, n := range stops {
		if ep.Runs[n] == nil {
			sc.cfg.Log.Info("stopping orphaned run", "task", n.Task, "run", n.Num, "endpoint", ep.ID)
		} else {
			sc.cfg.Log.Info("stop ordered again", "task", n.Task, "run", n.Num, "endpoint", ep.ID)
		}
		sc.actions.Stops = append(sc.actions.Stops, Stop{At: ep, Name: n})
	}
	sc.dispatch(now)
}

// silentAfter is how many renewals in a row must fail for an endpoint to count as silent. A single one
// may just be lost; the second is sent at once and costs 25 ms.
const silentAfter = 2

// RenewalFailed records that a renewal got no answer.
func (sc *Scheduler) RenewalFailed(now time.Time, ep *lease.Endpoint, err error) {
	if s := sc.endpoints[ep.ID]; s == nil || s.lost {
		return
	}
	if ep.Missed++; ep.Missed < silentAfter {
		return
	}
	if !ep.Silent {
		sc.clearLoss(ep.ID) // an earlier one
		sc.cfg.Log.Info("endpoint silent", "endpoint", ep.ID, "runs", len(ep.Runs), "born", ep.LastBorn(), "heard", sinceHeard(now, ep), "err", err, "lease_left", ep.LeaseEnd().Sub(now))
		sc.reportHealth(now, health.Report{Addr: ep.Addr, End: health.Unreachable}, ep.ID)
	}
	ep.MarkSilent()
	sc.noteLoss(now, ep.ID)
}

// runEnded applies the end of a run to its job.
func (sc *Scheduler) runEnded(now time.Time, s *endpoint, f lease.Finished, why string) {
	r := f.Run
	e := r.Job.(*entry)
	delete(e.runs, r)
	e.lastEnd = timer.Later(e.lastEnd, s.endedBy(now, r))
	if f.State != lease.Never {
		e.begun = true
	}
	sc.recordEnd(now, s, e, f)
	if ran := now.Sub(r.SentAt); ran > e.slowest {
		e.slowest, e.slowestAt = ran, s.ID
	}
	st := &e.steps[r.Task.Step]
	if e.answered {
		sc.forget(now, e)
		return
	}
	sc.cfg.Log.Debug("run ended", "task", r.Name, "run", r.Num, "how", f.State.String(), "endpoint", s.ID, "why", why)
	if e.Steps[r.Step].Gang {
		sc.gangMemberEnded(now, e, f, why)
		if !e.answered {
			sc.enqueue(e)
		}
		return
	}
	switch f.State {
	case lease.Done:
		sc.taskDone(now, e, r.Step)
	case lease.Failed:
		k := e.slot(r.Task)
		if st.failures[k] == 0 {
			st.firstFailed[k] = now
		}
		st.failures[k]++
		if st.failures[k] >= max(1, e.Attempts) {
			sc.finish(now, e, job.Answer{Outcome: job.Failed, Reason: job.TaskFailed, Detail: r.Name + " failed too often"})
			return
		}
		st.waiting = append(st.waiting, k)
	default:
		sc.requeue(now, e, r)
	}
	if !e.answered {
		sc.enqueue(e)
	}
}

// taskDone counts a task of a step as done.
func (sc *Scheduler) taskDone(now time.Time, e *entry, i int) {
	st := &e.steps[i]
	st.done++
	if st.done == e.Steps[i].Count {
		e.stepsLeft--
	}
	if e.stepsLeft == 0 {
		sc.finish(now, e, job.Answer{Outcome: job.Done})
	}
}

// runsEnded applies the end of a lost endpoint's runs to their jobs.
func (sc *Scheduler) runsEnded(now time.Time, s *endpoint, ended []lease.Finished, why string) {
	for _, f := range ended {
		sc.runEnded(now, s, f, why)
	}
}

// recordEnd updates the endpoint's health and the kind's run times with the end of a run.
func (sc *Scheduler) recordEnd(now time.Time, s *endpoint, e *entry, f lease.Finished) {
	rep := health.Report{Addr: s.Addr, Kind: e.Pool + "/" + e.Queue}
	switch f.State {
	case lease.Done:
		s.lastSuccess = timer.Later(s.lastSuccess, f.Run.SentAt)
		ran := now.Sub(f.Run.SentAt)
		rep.End = health.OK
		if !f.Run.SpeedRecorded && !e.Steps[f.Run.Step].Gang {
			usual := sc.expect(e.Job, &e.Steps[f.Run.Step])
			rep.Ran, rep.Expected = ran, s.on(usual)
			sc.recordSpeed(now, s, ran, usual)
		}
		sc.learn.Record(learn.Key{Tenant: e.Pool, Kind: e.Queue}, s.usual(ran))
	case lease.Failed:
		s.lastFailure = timer.Later(s.lastFailure, f.Run.SentAt)
		rep.End = health.Bad
		sc.cfg.Log.Info("run failed", "job", e.ID, "task", f.Run.Name, "run", f.Run.Num, "endpoint", s.ID, "after", now.Sub(f.Run.SentAt).Round(time.Millisecond))
	default:
		return
	}
	sc.reportHealth(now, rep, s.ID)
}

// reportHealth updates an endpoint's health and logs when it becomes usable or unusable.
func (sc *Scheduler) reportHealth(now time.Time, rep health.Report, id string) {
	was := sc.health.Limit(now, rep.Addr)
	if n := sc.health.Record(now, rep); (n == 0) != (was == 0) {
		sc.cfg.Log.Info("endpoint health changed", "endpoint", id, "usable", n > 0, "by", rep.End.String(), "kind", rep.Kind)
	}
}
