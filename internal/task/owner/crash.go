package owner

import (
	"slices"
	"strings"
	"time"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

const (
	// mostDeaths is how many endpoints may be lost under a task until it is given up. One says
	// little: up to three tasks share an endpoint, and endpoints die by themselves. The users allow
	// two more: another guilty job about hides one, and the caller may send the job again.
	mostDeaths = 2
	// mostExcused is how many losses of a task are put down to what else was lost beside them. A task that
	// crashes endpoints while others come and go is given up after two more, and not started again then.
	mostExcused = 3
	// waveLeast is how many endpoints are lost together for them to count as a wave: two may be those of two tasks
	// that crash endpoints.
	waveLeast = 3
	// cohortFor is the time within which endpoints that are lost together are noticed: one that is idle, or
	// under orders only, is looked at up to a second later than one whose lease is renewed.
	cohortFor = 1200 * time.Millisecond
)

// death is an endpoint that was lost with what ran there.
type death struct {
	at   time.Time // its first sign
	runs []*lease.Run
}

// charge is a task under which an endpoint was lost, until it is known what else was lost in that moment.
type charge struct {
	at     time.Time // the first sign of the loss
	run    *lease.Run
	beside int // other tasks on the endpoint
}

// perished takes in that an endpoint was lost, and with it some runs, before they are taken into
// their jobs.
//
// What goes wrong without it: a task that crashes whatever starts it takes one endpoint after the
// other, each with the tasks beside it, until its caller gives up. One notices endpoints that are
// lost one at a time, and one job at all of them. Such a task runs alone from then on, and is given up
// when two were lost under it. Endpoints of a rack that loses power die together, and no job was on
// most of them: nobody is suspected then. Its endpoints have several owners, so that each waits
// with its verdict until it has heard of the others' losses.
//
// That a job has failed is never said for this: an owner sees that an endpoint is silent, not why. One
// that is cut off, or goes down and up by itself, may be lost twice under a task that did nothing.
func (b *Book) perished(now time.Time, s *site, over []lease.Finished) {
	var runs []*lease.Run
	for _, f := range over {
		if f.How == lease.Died {
			runs = append(runs, f.Run)
		}
	}
	if len(runs) == 0 {
		return
	}
	d := death{b.missed(now, s.ID), runs}
	b.deaths = slices.DeleteFunc(b.deaths, func(o death) bool { return now.Sub(o.at) > lossKept })
	b.deaths = append(b.deaths, d)
	for _, r := range runs {
		b.charged[r.Name]++
		b.charges = append(b.charges, charge{d.at, r, len(runs) - 1})
	}
	b.judgeCharges(now)
}

// judgeCharges decides on the charges that are old enough for that.
func (b *Book) judgeCharges(now time.Time) {
	due := func(c charge) bool { return now.Sub(c.at) >= b.cfg.Hearsay }
	for _, c := range b.charges {
		if due(c) {
			b.decide(now, c)
		}
	}
	b.charges = slices.DeleteFunc(b.charges, due)
}

// decide suspects a charged task, or excuses it.
func (b *Book) decide(now time.Time, c charge) {
	name := c.run.Name
	if b.charged[name]--; b.charged[name] <= 0 {
		delete(b.charged, name)
	}
	b.suspected[name] = now
	h := b.cohort(c)
	if x := b.excused[name]; b.suspects[name] < mostDeaths && x.take(c, h.excuses()) {
		b.excused[name] = x
		b.cfg.Log.Info("task excused", "job", c.run.Task.Job, "task", name, "run", c.run.Num, "on", h.on, "of", h.lost, "times", x.times)
		return
	}
	b.suspects[name]++
	if b.suspects[name] == mostDeaths && b.excused[name].times == mostExcused {
		b.suspects[name]++ // the start that others have left was excused before
	}
	b.news = append(b.news, news{now, Suspect{name, b.suspects[name]}})
	b.cfg.Log.Info("task suspected", "job", c.run.Task.Job, "task", name, "run", c.run.Num, "lost", b.suspects[name], "on", h.on, "of", h.lost, "beside", c.beside)
	e := c.run.Job.(*entry)
	if b.suspects[name] >= mostDeaths && !e.told && slices.Contains(e.steps[c.run.Task.Step].waiting, c.run.Task.Index) {
		b.giveUp(now, e, name)
	}
}

// excuse is how often losses of a task were put down to what else was lost.
type excuse struct {
	times int
	at    time.Time // of the last that counts
	met   bool      // the task was started anew on an endpoint that was lost about then
}

// take excuses a loss if it may be, up to so many. The first that meets a task when it is started anew, on an
// endpoint that was lost in the same moment, does not count.
func (x *excuse) take(c charge, most int) bool {
	switch {
	case most > 0 && x.times > 0 && !x.met && !begun(c.run) && c.at.Sub(x.at).Abs() <= cohortFor:
		x.met = true
	case x.times < most:
		*x = excuse{times: x.times + 1, at: c.at}
	default:
		return false
	}
	return true
}

// cohort is what was lost about the time of a charge. Runs count that had surely begun: others may have met an
// endpoint that was lost before.
type cohort struct {
	lost  int  // endpoints
	on    int  // those with runs of the task's job
	ran   int  // those with runs of the task
	begun bool // the run of the charge had begun
}

func (b *Book) cohort(c charge) (h cohort) {
	h.lost, h.begun = b.missing(c.at), begun(c.run)
	for _, d := range b.deaths {
		if d.at.Sub(c.at).Abs() > cohortFor {
			continue
		}
		if slices.ContainsFunc(d.runs, func(r *lease.Run) bool { return r.Task.Job == c.run.Task.Job && begun(r) }) {
			h.on++
		}
		if slices.ContainsFunc(d.runs, func(r *lease.Run) bool { return r.Name == c.run.Name && begun(r) }) {
			h.ran++
		}
	}
	return h
}

// begun reports whether an endpoint has confirmed or listed a run.
func begun(r *lease.Run) bool { return r.Seen.After(r.At) }

// excuses is how many losses of a task are put down to what else was lost. A task that has begun on two of the
// endpoints found the second one alive when the first was lost. A job that was on most of them may be the cause,
// or be a wide one; a second such job may be about.
func (h cohort) excuses() int {
	switch {
	case h.lost < waveLeast || h.on == h.lost || h.ran > 1:
		return 0
	case 2*h.on > h.lost && h.begun:
		return 1
	default:
		return mostExcused
	}
}

// giveUp ends a job with a task under which too many endpoints were lost.
func (b *Book) giveUp(now time.Time, e *entry, task string) {
	b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: task + " was running when two endpoints were lost"})
}

// again puts a task that is to start anew among those that wait. One that is suspected goes last:
// the others of its job should not be beside it.
func (b *Book) again(now time.Time, e *entry, r *lease.Run) {
	st := &e.steps[r.Task.Step]
	switch {
	case b.suspects[r.Name] >= mostDeaths:
		b.giveUp(now, e, r.Name)
	case b.isSuspect(r.Name):
		st.waiting = slices.Insert(st.waiting, 0, r.Task.Index)
	default:
		st.waiting = append(st.waiting, r.Task.Index)
	}
}

// isSuspect reports whether a task may crash the endpoint that starts it.
func (b *Book) isSuspect(task string) bool { return b.suspects[task]+b.charged[task] > 0 }

// suspicious reports whether any task is a suspect.
func (b *Book) suspicious() bool { return len(b.suspects)+len(b.charged) > 0 }

// held reports whether a task waits for a verdict by which its job may be given up.
func (b *Book) held(task string) bool {
	return b.charged[task] > 0 && b.suspects[task]+b.charged[task] >= mostDeaths
}

// acquit forgets suspicions of tasks that are not at hand any more and were not suspected lately.
func (b *Book) acquit(now time.Time) {
	for name, at := range b.suspected {
		if b.names[jobOf(name)] == nil && now.Sub(at) >= numsFor {
			delete(b.suspects, name)
			delete(b.suspected, name)
			delete(b.excused, name)
		}
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// guilty names a task of a job under which so many endpoints were lost that it is not started again.
// One that was given up is started once more for a caller that submits it again, alone: endpoints
// that come and go may have been lost under it by chance.
func (b *Book) guilty(id string) (task string) {
	for name, lost := range b.suspects {
		if lost > mostDeaths && jobOf(name) == id {
			return name
		}
	}
	return ""
}

// apart reports whether a task may start at an endpoint as far as suspicion goes: a suspected one
// has an endpoint for itself while it runs, so that the next loss tells whose fault it was, and takes
// no others with it.
func (b *Book) apart(s *site, task string) bool {
	if !b.suspicious() || len(s.Runs) == 0 {
		return true
	}
	if b.isSuspect(task) {
		return false
	}
	for n := range s.Runs {
		if b.isSuspect(n.Task) {
			return false
		}
	}
	return true
}
