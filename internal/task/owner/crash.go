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
	// cohortFor is the time within which endpoints that are lost together are noticed: the last
	// lease of each ends up to a second after the first's.
	cohortFor = 1200 * time.Millisecond
)

// death is an endpoint that was lost with what ran there.
type death struct {
	at   time.Time
	jobs []string
}

// perished takes in that an endpoint was lost, and with it some runs, before they are taken into
// their jobs.
//
// What goes wrong without it: a task that crashes whatever starts it takes one endpoint after the
// other, each with the tasks beside it, until its caller gives up. One notices endpoints that are
// lost one at a time, and one job at all of them. Such a task runs alone from then on, and is given up
// when two were lost under it. Endpoints of a rack that loses power die together, and no job was on
// most of them: but for the first nobody is suspected then.
//
// That a job has failed is never said for this: an owner sees that an endpoint is silent, not why. One
// that is cut off, or goes down and up by itself, may be lost twice under a task that did nothing.
func (b *Book) perished(now time.Time, over []lease.Finished) {
	d := death{at: now}
	for _, f := range over {
		if f.How == lease.Died {
			d.jobs = append(d.jobs, f.Run.Task.Job)
		}
	}
	if len(d.jobs) == 0 {
		return
	}
	b.deaths = slices.DeleteFunc(b.deaths, func(o death) bool { return now.Sub(o.at) > cohortFor })
	b.deaths = append(b.deaths, d)
	for _, f := range over {
		if f.How == lease.Died && b.explains(f.Run.Task.Job) {
			b.suspects[f.Run.Name]++
			b.suspected[f.Run.Name] = now
			b.news = append(b.news, news{now, Suspect{f.Run.Name, b.suspects[f.Run.Name]}})
			b.cfg.Log.Info("task suspected", "job", f.Run.Task.Job, "task", f.Run.Name, "run", f.Run.Num, "lost", b.suspects[f.Run.Name], "beside", len(d.jobs)-1)
		}
	}
}

// explains reports whether a job was on most of the endpoints that were lost lately: not on all, for
// a second such job may be about.
func (b *Book) explains(id string) bool {
	on := 0
	for _, d := range b.deaths {
		if slices.Contains(d.jobs, id) {
			on++
		}
	}
	return 2*on > len(b.deaths)
}

// again puts a task that is to start anew among those that wait. One that is suspected goes last:
// the others of its job should not be beside it.
func (b *Book) again(now time.Time, e *entry, r *lease.Run) {
	st := &e.steps[r.Task.Step]
	n := b.suspects[r.Name]
	switch {
	case n >= mostDeaths:
		b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: r.Name + " was running when two endpoints were lost"})
	case n > 0:
		st.waiting = slices.Insert(st.waiting, 0, r.Task.Index)
	default:
		st.waiting = append(st.waiting, r.Task.Index)
	}
}

// acquit forgets suspicions of tasks that are not at hand any more and were not suspected lately.
func (b *Book) acquit(now time.Time) {
	for name, at := range b.suspected {
		if b.names[jobOf(name)] == nil && now.Sub(at) >= numsFor {
			delete(b.suspects, name)
			delete(b.suspected, name)
		}
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// Suspect is a task under which endpoints were lost.
type Suspect struct {
	Task string
	Lost int // endpoints
}

// news is a suspicion that other owners may not have heard of.
type news struct {
	at time.Time
	Suspect
}

// tellFor is how long a suspicion is told: longer than it takes any VM to hear several heartbeats.
const tellFor = 2 * time.Second

// mostTold bounds the suspicions of a heartbeat: a rack that is lost makes many at once.
const mostTold = 32

// Suspects lists what this owner has come to suspect lately, for the others.
//
// What goes wrong without it: the caller of a job that has ended as unknown submits it again, another
// owner takes it, and its task crashes two more endpoints there. One notices one task suspected at one
// owner after the other.
func (b *Book) Suspects(now time.Time) (all []Suspect) {
	b.news = slices.DeleteFunc(b.news, func(n news) bool { return now.Sub(n.at) > tellFor })
	for _, n := range b.news[max(0, len(b.news)-mostTold):] {
		all = append(all, n.Suspect)
	}
	return all
}

// Heed takes in what another owner suspects.
func (b *Book) Heed(now time.Time, s Suspect) {
	if s.Lost <= b.suspects[s.Task] {
		return
	}
	b.cfg.Log.Info("task suspected elsewhere", "task", s.Task, "lost", s.Lost)
	b.suspects[s.Task], b.suspected[s.Task] = s.Lost, now
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
	if len(b.suspects) == 0 || len(s.Runs) == 0 {
		return true
	}
	if b.suspects[task] > 0 {
		return false
	}
	for n := range s.Runs {
		if b.suspects[n.Task] > 0 {
			return false
		}
	}
	return true
}
