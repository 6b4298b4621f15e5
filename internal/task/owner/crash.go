package owner

import (
	"slices"
	"strings"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

const (
	// maxTaskLosses is how many endpoints may be lost under a task before it is given up. One loss proves
	// little: up to three tasks share an endpoint, and endpoints also fail on their own. The users accept
	// two losses more: one that another crashing job hides, and one after the caller submits the job again.
	maxTaskLosses = 2
	// maxExemptions is how many losses of a task are attributed to outages. A task that crashes endpoints
	// while others come and go is given up after two more losses, and is not started again after that.
	maxExemptions = 3
	// minOutage is how many endpoints must be lost together to count as an outage: two may be lost to two
	// tasks that crash endpoints.
	minOutage = 3
	// outageWindow is the time within which endpoints that fail together are detected. One that is idle
	// or only gets orders is probed up to a second later than one whose lease is renewed.
	outageWindow = 1200 * time.Millisecond
)

// lostEndpoint is a lost endpoint with the runs it had.
type lostEndpoint struct {
	at   time.Time // first sign of the loss
	runs []*lease.Run
}

// pendingLoss is the loss of an endpoint under a task, kept until it is known what else was lost then.
type pendingLoss struct {
	at         time.Time // first sign of the loss
	run        *lease.Run
	otherTasks int // other tasks on the endpoint
}

// recordLostRuns records the loss of an endpoint for its runs, before they are returned to their jobs.
//
// Without it, a task that crashes its endpoint takes down one after the other, with the tasks beside
// it, until its caller gives up: endpoints are lost one at a time, all running the same job. A
// suspected task runs alone from then on and is given up at the second loss. When a rack loses power,
// its endpoints fail together and no job ran on most of them: no task is suspected. A rack's endpoints
// have several owners, so each owner waits for the losses of the others.
//
// The job of a suspected task is never answered as failed: an owner sees that an endpoint is silent, but not why. One
// that is cut off or restarts on its own may be lost twice under an innocent task.
func (sc *Scheduler) recordLostRuns(now time.Time, s *endpoint, ended []lease.Finished) {
	var runs []*lease.Run
	for _, f := range ended {
		if f.State == lease.Died {
			runs = append(runs, f.Run)
		}
	}
	if len(runs) == 0 {
		return
	}
	d := lostEndpoint{sc.noteLoss(now, s.ID), runs}
	sc.lostEndpoints = slices.DeleteFunc(sc.lostEndpoints, func(o lostEndpoint) bool { return now.Sub(o.at) > lossRetention })
	sc.lostEndpoints = append(sc.lostEndpoints, d)
	for _, r := range runs {
		sc.pending[r.Name]++
		sc.pendingLosses = append(sc.pendingLosses, pendingLoss{d.at, r, len(runs) - 1})
	}
	sc.resolvePending(now)
}

// resolvePending resolves the pending losses that are old enough.
func (sc *Scheduler) resolvePending(now time.Time) {
	due := func(p pendingLoss) bool { return now.Sub(p.at) >= sc.cfg.VerdictDelay }
	for _, p := range sc.pendingLosses {
		if due(p) {
			sc.resolveLoss(now, p)
		}
	}
	sc.pendingLosses = slices.DeleteFunc(sc.pendingLosses, due)
}

// resolveLoss counts a pending loss against its task or attributes it to an outage.
func (sc *Scheduler) resolveLoss(now time.Time, p pendingLoss) {
	name := p.run.Name
	if sc.pending[name]--; sc.pending[name] <= 0 {
		delete(sc.pending, name)
	}
	sc.suspectedAt[name] = now
	o := sc.findOutage(p)
	if x := sc.exemptions[name]; sc.suspects[name] < maxTaskLosses && x.add(p, o.exemptionLimit()) {
		sc.exemptions[name] = x
		sc.cfg.Log.Info("task loss attributed to outage", "job", p.run.Task.Job, "task", name, "run", p.run.Num, "with_job", o.withJob, "lost_together", o.lost, "exemptions", x.count)
		return
	}
	sc.suspects[name]++
	if sc.suspects[name] == maxTaskLosses && sc.exemptions[name].count == maxExemptions {
		sc.suspects[name]++ // the extra start after giving up is already used by the exemptions
	}
	sc.suspicions = append(sc.suspicions, suspicion{now, Suspect{name, sc.suspects[name]}})
	sc.cfg.Log.Info("task suspected", "job", p.run.Task.Job, "task", name, "run", p.run.Num, "lost", sc.suspects[name], "with_job", o.withJob, "lost_together", o.lost, "other_tasks", p.otherTasks)
	e := p.run.Job.(*entry)
	if sc.suspects[name] >= maxTaskLosses && !e.answered && slices.Contains(e.steps[p.run.Task.Step].waiting, e.slot(p.run.Task)) {
		sc.giveUp(now, e, name)
	}
}

// exemption counts the losses of a task that were attributed to outages.
type exemption struct {
	count    int
	at       time.Time // of the latest one counted
	repeated bool      // one unconfirmed run on an endpoint of the same outage was exempt as well
}

// add exempts a loss if fewer than limit are counted. Once, the loss of an unconfirmed run that was
// started again on an endpoint lost in the same outage is exempt without being counted.
func (x *exemption) add(p pendingLoss, limit int) bool {
	switch {
	case limit > 0 && x.count > 0 && !x.repeated && !begun(p.run) && p.at.Sub(x.at).Abs() <= outageWindow:
		x.repeated = true
	case x.count < limit:
		*x = exemption{count: x.count + 1, at: p.at}
	default:
		return false
	}
	return true
}

// outage counts the endpoints lost at about the time of a pending loss. Only runs known to have begun
// count: others may have been sent to an endpoint that was already lost.
type outage struct {
	lost     int  // endpoints
	withJob  int  // those with runs of the task's job
	withTask int  // those with runs of the task
	begun    bool // the run of the pending loss had begun
}

func (sc *Scheduler) findOutage(p pendingLoss) (o outage) {
	o.lost, o.begun = sc.countLosses(p.at), begun(p.run)
	for _, d := range sc.lostEndpoints {
		if d.at.Sub(p.at).Abs() > outageWindow {
			continue
		}
		if slices.ContainsFunc(d.runs, func(r *lease.Run) bool { return r.Task.Job == p.run.Task.Job && begun(r) }) {
			o.withJob++
		}
		if slices.ContainsFunc(d.runs, func(r *lease.Run) bool { return r.Name == p.run.Name && begun(r) }) {
			o.withTask++
		}
	}
	return o
}

// begun reports whether an endpoint has confirmed or listed a run.
func begun(r *lease.Run) bool { return r.LastSeen.After(r.SentAt) }

// exemptionLimit returns how many losses of a task may be attributed to the outage. A task that has
// begun on two of its endpoints gets none: the second was still up when the first was lost. A job that
// ran on all of them gets none either. One that ran on most may have crashed those, and another job
// the rest, or it may just have many tasks: it gets one.
func (o outage) exemptionLimit() int {
	switch {
	case o.lost < minOutage || o.withJob == o.lost || o.withTask > 1:
		return 0
	case 2*o.withJob > o.lost && o.begun:
		return 1
	default:
		return maxExemptions
	}
}

// giveUp ends a job with a task under which too many endpoints were lost.
func (sc *Scheduler) giveUp(now time.Time, e *entry, task string) {
	sc.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: task + " was running when two endpoints were lost"})
}

// requeue puts a task that must start again back among the waiting ones. A suspected task goes last,
// so that the other tasks of its job don't run beside it.
func (sc *Scheduler) requeue(now time.Time, e *entry, r *lease.Run) {
	st := &e.steps[r.Task.Step]
	switch {
	case sc.suspects[r.Name] >= maxTaskLosses:
		sc.giveUp(now, e, r.Name)
	case sc.isSuspect(r.Name):
		st.waiting = slices.Insert(st.waiting, 0, e.slot(r.Task))
	default:
		st.waiting = append(st.waiting, e.slot(r.Task))
	}
}

// isSuspect reports whether a task may crash the endpoint that starts it.
func (sc *Scheduler) isSuspect(task string) bool { return sc.suspects[task]+sc.pending[task] > 0 }

// anySuspects reports whether any task is suspected.
func (sc *Scheduler) anySuspects() bool { return len(sc.suspects)+len(sc.pending) > 0 }

// awaitsVerdict reports whether a task's job may be given up once its pending losses are resolved.
func (sc *Scheduler) awaitsVerdict(task string) bool {
	return sc.pending[task] > 0 && sc.suspects[task]+sc.pending[task] >= maxTaskLosses
}

// expireSuspects drops suspicions of tasks whose jobs are not here and that were not suspected lately.
func (sc *Scheduler) expireSuspects(now time.Time) {
	for name, at := range sc.suspectedAt {
		if sc.byID[jobID(name)] == nil && now.Sub(at) >= runNumsKept {
			delete(sc.suspects, name)
			delete(sc.suspectedAt, name)
			delete(sc.exemptions, name)
		}
	}
}

func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// crashingTask names a task of a job that is not started again because of the endpoints lost under it.
// A task that was given up gets one more start, alone, if its caller submits it again: endpoints that
// come and go may have been lost under it by chance.
func (sc *Scheduler) crashingTask(id string) (task string) {
	for name, lost := range sc.suspects {
		if lost > maxTaskLosses && jobID(name) == id {
			return name
		}
	}
	return ""
}

// mayShare reports whether suspicions let a task start on an endpoint. A suspected task has its
// endpoint to itself while it runs, so that the next loss shows whether it is the cause and affects no
// other task.
//
// The members of a gang can't run one by one, so a gang has its endpoints to itself instead.
func (sc *Scheduler) mayShare(s *endpoint, e *entry, st *batch.Step, task string) bool {
	if !sc.anySuspects() || len(s.Runs) == 0 {
		return true
	}
	suspect := sc.isSuspect(task)
	for n, r := range s.Runs {
		if st.Gang && r.Job == lease.Job(e) && &e.Steps[r.Step] == st {
			continue
		}
		if suspect || sc.isSuspect(n.Task) {
			return false
		}
	}
	return true
}
