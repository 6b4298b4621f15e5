package owner

import (
	"time"

	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// gangMemberEnded applies the end of a member's run to its gang.
func (sc *Scheduler) gangMemberEnded(now time.Time, e *entry, f lease.Finished, why string) {
	r := f.Run
	st, g := &e.steps[r.Step], &e.steps[r.Step].gang
	if f.State == lease.Done && !g.done {
		g.done = true
		st.waiting = st.waiting[:0] // of members whose ends were lost
		st.done = e.Steps[r.Step].Count - sc.openRuns(e, r.Step) - 1
	}
	if g.done {
		sc.taskDone(now, e, r.Step)
		return
	}
	if g.brokenAt.IsZero() {
		g.brokenAt = now
		sc.cfg.Log.Info("gang broken", "job", e.ID, "step", r.Step, "run", r.Num, "task", r.Name, "how", f.State.String(), "why", why, "after", now.Sub(r.SentAt).Round(time.Millisecond), "open", sc.openRuns(e, r.Step))
	}
	if f.State == lease.Failed && !g.failed && sc.gangFailed(now, e, r) {
		return
	}
	sc.requeue(now, e, r)
	if e.answered {
		return
	}
	switch f.State {
	case lease.Failed, lease.Broken: // it was at work, so their endpoints end the others
		g.unstarted = 0
	case lease.Never:
		sc.pauseGang(now, g, len(st.waiting) == 1)
		fallthrough
	default:
		sc.withdrawGang(e, r.Step, nil)
	}
}

// gangFailed counts a failed attempt of a gang, and returns whether it was the last.
func (sc *Scheduler) gangFailed(now time.Time, e *entry, r *lease.Run) bool {
	st := &e.steps[r.Step]
	st.gang.failed = true
	for k := range st.failures {
		if st.failures[k] == 0 {
			st.firstFailed[k] = now
		}
		st.failures[k]++
	}
	if st.failures[0] < max(1, e.Attempts) {
		return false
	}
	sc.finish(now, e, job.Answer{Outcome: job.Failed, Reason: job.TaskFailed, Detail: r.Name + " failed, and its gang with it too often"})
	return true
}

// pauseGang delays the next try after one of which a member did not start; first is set for the first such member.
func (sc *Scheduler) pauseGang(now time.Time, g *gang, first bool) {
	if first {
		g.unstarted++
	}
	g.retryAt = now.Add(min(maxGangPause, fullPause<<min(max(0, g.unstarted-1), 8)))
}

// withdrawGang stops the open runs of a gang's step, but for those on one endpoint, which may be nil: a try that has lost a
// member only takes up room.
func (sc *Scheduler) withdrawGang(e *entry, i int, but *lease.Endpoint) {
	for r, ep := range e.runs {
		if r.Step == i && ep != but && r.Stage != lease.Stopping {
			sc.stop(ep, r)
		}
	}
}

// withdrawGangsAt stops the gangs with members on an endpoint that was lost, on all others.
func (sc *Scheduler) withdrawGangsAt(s *endpoint) {
	for _, r := range s.Runs {
		if e := r.Job.(*entry); e.Steps[r.Step].Gang && !e.answered {
			sc.withdrawGang(e, r.Step, s.Endpoint)
		}
	}
}

// reviewGangs stops the members that their endpoints have not ended though another one has, and gangs that are stuck.
func (sc *Scheduler) reviewGangs(now time.Time, e *entry) {
	for i := range e.steps {
		g := &e.steps[i].gang
		switch {
		case !e.Steps[i].Gang || g.done:
		case !g.brokenAt.IsZero() && now.Sub(g.brokenAt) >= breakTime:
			sc.withdrawGang(e, i, nil)
		default:
			sc.stopStuckGang(now, e, i)
		}
	}
}

// stopStuckGang stops a gang that takes far longer than expected. Its members go on together, so each of their endpoints
// may be at fault.
func (sc *Scheduler) stopStuckGang(now time.Time, e *entry, i int) {
	at := map[*lease.Endpoint]bool{}
	var stuck *lease.Run
	for r, ep := range e.runs {
		switch {
		case r.Step != i:
			continue
		case r.Stage != lease.Running:
			return // it waits for this member, or is withdrawn
		}
		at[ep] = true
		if sc.stuck(now, e, r) && (stuck == nil || r.Task.Index < stuck.Task.Index) {
			stuck = r
		}
	}
	if stuck == nil {
		return
	}
	sc.cfg.Log.Info("gang stuck", "job", e.ID, "step", i, "run", stuck.Num, "task", stuck.Name, "percent", stuck.Percent, "endpoints", len(at), "after", now.Sub(stuck.SentAt).Round(time.Millisecond))
	for ep := range at {
		sc.reportHealth(now, health.Report{Addr: ep.Addr, Kind: e.Pool + "/" + e.Queue, End: health.Silent}, ep.ID)
	}
	sc.withdrawGang(e, i, nil)
}

func (sc *Scheduler) openRuns(e *entry, i int) (n int) {
	for r := range e.runs {
		if r.Step == i {
			n++
		}
	}
	return n
}
