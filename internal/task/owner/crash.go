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

// acquit forgets suspicions of tasks that are not at hand any more.
func (b *Book) acquit() {
	for name := range b.suspects {
		id, _, _ := strings.Cut(name, ".")
		if b.names[id] == nil {
			delete(b.suspects, name)
		}
	}
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
