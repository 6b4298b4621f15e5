package owner

import (
	"slices"
	"time"

	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Cancel ends a job whose caller left or whose VM is gone.
func (b *Book) Cancel(now time.Time, key Key, why string) {
	e := b.jobs[key]
	if e == nil || e.told {
		return
	}
	b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Canceled, Detail: why})
	b.pump(now)
}

// Keepalive takes in that the VM that answers a job's caller still waited for it at a time, by this VM's clock.
func (b *Book) Keepalive(now time.Time, key Key, asked time.Time) {
	e := b.jobs[key]
	if e == nil || e.told || !asked.After(e.asked) {
		return
	}
	was := e.fresh(now)
	e.asked = asked
	if !was && e.fresh(now) {
		b.pump(now)
	}
}

// CancelOf ends all jobs of a VM that was lost or replaced, since nobody waits for
// them any more and their callers will submit them again elsewhere.
func (b *Book) CancelOf(now time.Time, gone func(Key) bool, why string) {
	for k, e := range b.jobs {
		if !e.told && gone(k) {
			b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: why})
		}
	}
	b.pump(now)
}

// Tick ends jobs whose time is over and runs that were lost in silence.
func (b *Book) Tick(now time.Time) {
	for _, s := range b.order {
		over := s.Lapsed(now)
		if !s.lost { // of one that another VM took over nothing is known
			b.perished(now, s, over)
		}
		b.allOver(now, s, over, "lease ran out")
	}
	b.judgeCharges(now)
	for _, e := range b.jobs {
		b.review(now, e)
	}
	for id, s := range b.sites {
		if s.lost && len(s.Runs) == 0 {
			b.remove(id)
		}
	}
	b.pump(now)
}

// review ends a job whose time is over, or that can't be answered in a useful time.
func (b *Book) review(now time.Time, e *entry) {
	switch {
	case e.told:
		for r, ep := range e.runs { // a stop may be lost
			b.stop(ep, r)
		}
	case e.expired(now):
		b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Silent, Detail: "its VM is silent"})
	case !now.Before(e.due):
		b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.Deadline, Detail: "its time ran out"})
	case e.begun && b.stranded(now, e):
		b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.NoEndpoint, Detail: b.lacks()})
	case e.begun || len(e.runs) > 0:
		b.watch(now, e)
	default:
		b.reviewWaiting(now, e)
	}
}

// reviewWaiting looks at a job of which nothing has begun.
func (b *Book) reviewWaiting(now time.Time, e *entry) {
	switch {
	case !b.possible(e.Job): // another owner may run it
		b.finish(now, e, job.Answer{Outcome: job.Refused, Reason: job.NoEndpoint, Detail: b.lacks()})
	case b.lastChance(e, now) < 0:
		b.finish(now, e, job.Answer{Outcome: job.Refused, Reason: job.Overload, Retry: b.patience(e, e.came), Detail: "no room came free in time"})
	case (e.late || b.patience(e, now) < 0) && b.crowded(now):
		b.finish(now, e, job.Answer{Outcome: job.Refused, Reason: job.Overload, Retry: b.patience(e, e.came), Detail: "no room came free in time for its objective"})
	case !e.late && b.patience(e, now) < 0:
		b.queue = slices.DeleteFunc(b.queue, func(x *entry) bool { return x == e })
		e.late = true
		b.enqueue(e)
	}
}

// watch looks for runs that take far longer than they should.
func (b *Book) watch(now time.Time, e *entry) {
	for r, ep := range e.runs {
		if r.Stage != lease.On || !b.stuck(now, e, r) {
			continue
		}
		b.cfg.Log.Info("run stuck", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "percent", r.Percent, "after", now.Sub(r.At).Round(time.Millisecond))
		b.assess(now, health.Report{Addr: ep.Addr, Kind: e.Pool + "/" + e.Queue, End: health.Silent}, ep.ID)
		b.stop(ep, r)
	}
}

const (
	// stuckAfter is how many times its expected time a run may take without having
	// reached half of its work. Work varies by a factor of two around its estimate.
	stuckAfter = 4
	// stuckLeast keeps very short tasks from being stopped for a delayed report.
	stuckLeast = 400 * time.Millisecond
)

func (b *Book) stuck(now time.Time, e *entry, r *lease.Run) bool {
	limit := max(stuckLeast, stuckAfter*b.expect(e.Job, &e.Steps[r.Step]))
	return now.Sub(r.At) > limit && r.Percent < 50
}
