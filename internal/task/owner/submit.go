package owner

import (
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// Submit accepts a job or refuses it at once: a caller that is refused early can go to another VM, and
// work that can't be done in time would delay work that can.
func (sc *Scheduler) Submit(now time.Time, key Key, j *batch.Job) {
	old := sc.byID[j.ID]
	if old != nil {
		if old.canResume(j) {
			sc.resume(now, old, key, j)
			return
		}
		if !old.answered {
			sc.finish(now, old, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Detail: "the same job was submitted again"})
		}
		if len(old.runs) > 0 && !old.Part() {
			sc.cfg.Log.Info("job still runs", "job", j.ID, "by", key.VM, "runs", len(old.runs), "since_keepalive", now.Sub(old.keepalive).Round(time.Millisecond))
			sc.actions.Replies = append(sc.actions.Replies, Reply{key, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Retry: sc.stopBound(now, old), Detail: "a run of the same job is being stopped"}})
			return
		}
	}
	if sc.rejectBesideParts(now, old, key, j) {
		return
	}
	if task := sc.crashingTask(j.ID); task != "" {
		sc.cfg.Log.Info("job given up", "job", j.ID, "by", key.VM, "task", task, "lost", sc.suspects[task])
		sc.actions.Replies = append(sc.actions.Replies, Reply{key, job.Answer{Outcome: job.Unknown, Reason: job.Silent, Detail: task + " was running when three endpoints were lost; it is not started again"}})
		return
	}
	if !sc.placeable(j, lastAsked(now, j).Add(j.TimeLeft)) {
		sc.refuse(now, key, j, job.NoEndpoint, time.Second, sc.noEndpointDetail())
		return
	}
	e := newEntry(now, key, j, sc.chain(j), sc.cfg.Limits)
	sc.recordArrival(now, e)
	wait := sc.forecast(now, e)
	if j.Begun {
		sc.accept(now, e, wait)
		return
	}
	if late := wait - sc.waitBudget(e, now); late > 0 && wait > 0 {
		e.late = true
		wait = sc.forecast(now, e)
	}
	if e.late && sc.overloaded(now) && !sc.takeTurn(now, e) {
		sc.refuse(now, key, j, job.Overload, wait, "it would wait "+wait.Round(time.Millisecond).String()+", too long while more comes than can be done")
		return
	}
	if late := wait - sc.lateWaitBudget(e, now); e.late && late > 0 {
		sc.refuse(now, key, j, job.Overload, late, "it would wait "+wait.Round(time.Millisecond).String()+", too long by "+late.Round(time.Millisecond).String())
		return
	}
	sc.accept(now, e, wait)
}

func (sc *Scheduler) accept(now time.Time, e *entry, wait time.Duration) {
	sc.cfg.Log.Info("job accepted", "job", e.ID, "by", e.key.VM, "queue", e.Queue, "rank", e.Rank, "tasks", e.Tasks(), "cores", e.Steps[0].Need.Cores, "work", sc.chain(e.Job), "wait", wait, "late", e.late, "left", e.TimeLeft, "waited", e.Waited)
	sc.countTurn(e)
	sc.jobs[e.key] = e
	sc.byID[e.ID] = e
	sc.enqueue(e)
	sc.dispatch(now)
}

// stopWait is the shortest delay that a caller is given for retrying a job whose former runs are being stopped.
const stopWait = 300 * time.Millisecond

// stopBound returns how much longer the runs of an ended job may go on if no stop is confirmed.
func (sc *Scheduler) stopBound(now time.Time, e *entry) time.Duration {
	if sc.cfg.Limits.Resend <= 0 { // only the endpoint's lease limits them, which other runs extend
		return stopWait
	}
	return max(stopWait, e.EndBy().Sub(now))
}

func (sc *Scheduler) refuse(now time.Time, key Key, j *batch.Job, why job.Reason, retry time.Duration, detail string) {
	sc.cfg.Log.Info("job refused", "job", j.ID, "by", key.VM, "queue", j.Queue, "rank", j.Rank, "tasks", j.Tasks(), "cores", j.Steps[0].Need.Cores, "reason", string(why), "detail", detail,
		"queued", len(sc.queue), "free_cores", sc.freeCores(), "fitting_tasks", sc.fittingTasks(j), "pressure", math.Round(100*sc.pressure(now, rankCount))/100)
	sc.actions.Replies = append(sc.actions.Replies, Reply{key, job.Answer{Outcome: job.Refused, Reason: why, Retry: retry, Detail: detail}})
}

// fittingTasks returns how many tasks of a job's first step have room now. Logged with a refusal, it
// shows whether room was left unused.
func (sc *Scheduler) fittingTasks(j *batch.Job) (n int) {
	st := &j.Steps[0]
	for _, s := range sc.order {
		if s.Open() && !s.lost && !s.handingOver && matches(s, st, j.Pool) {
			n += fitCount(s.Free(), st.Need)
		}
	}
	return min(n, st.Count)
}

// freeCores returns the unused cores of the endpoints that accept work.
func (sc *Scheduler) freeCores() (n float64) {
	for _, s := range sc.order {
		if s.Open() && !s.lost && !s.handingOver {
			n += s.Free().Cores
		}
	}
	return n
}

// placeable reports whether each step could start before a deadline if the endpoints were empty.
func (sc *Scheduler) placeable(j *batch.Job, deadline time.Time) bool {
	for i := range j.Steps {
		st := &j.Steps[i]
		if !sc.fitsOn(st, deadline, func(s *endpoint) bool {
			return !s.lost && !s.handingOver && s.cordonedAt.IsZero() && matches(s, st, j.Pool)
		}) {
			return false
		}
	}
	return true
}

// fitsOn reports whether a task of a step, or all of a gang, fit on the endpoints that admits accepts if nothing else runs there.
func (sc *Scheduler) fitsOn(st *batch.Step, deadline time.Time, admits func(*endpoint) bool) bool {
	if st.Gang {
		return sc.canHoldGang(st, deadline, admits)
	}
	return slices.ContainsFunc(sc.order, func(s *endpoint) bool { return admits(s) && st.Need.Fits(s.Size) })
}

func matches(s *endpoint, st *batch.Step, pool string) bool {
	return s.Pool == pool && (st.Label == "" || slices.Contains(s.Labels, st.Label))
}
