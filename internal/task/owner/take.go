package owner

import (
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// Submit takes a job in or refuses it at once: a caller that hears early can go to
// another VM, and work that can't be done in time would only hold up work that can.
func (b *Book) Submit(now time.Time, key Key, j *batch.Job) {
	if old := b.names[j.ID]; old != nil {
		if !old.told {
			b.finish(now, old, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Detail: "the same job was submitted again"})
		}
		if len(old.runs) > 0 {
			b.cfg.Log.Info("job still runs", "job", j.ID, "by", key.VM, "runs", len(old.runs), "asked", now.Sub(old.asked).Round(time.Millisecond))
			b.acts.Tells = append(b.acts.Tells, Tell{key, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Retry: b.runsFor(now, old), Detail: "a run of the same job is being stopped"}})
			return
		}
	}
	if task := b.guilty(j.ID); task != "" {
		b.cfg.Log.Info("job given up", "job", j.ID, "by", key.VM, "task", task, "lost", b.suspects[task])
		b.acts.Tells = append(b.acts.Tells, Tell{key, job.Answer{Outcome: job.Unknown, Reason: job.Silent, Detail: task + " was running when three endpoints were lost; it is not started again"}})
		return
	}
	if !b.possible(j) {
		b.refuse(now, key, j, job.NoEndpoint, time.Second, b.lacks())
		return
	}
	e := newEntry(now, key, j, b.chain(j), b.cfg.Limits)
	b.note(now, e)
	wait := b.forecast(now, e)
	if late := wait - b.patience(e, now); late > 0 && wait > 0 {
		e.late = true
		wait = b.forecast(now, e)
	}
	if e.late && b.crowded(now) {
		b.refuse(now, key, j, job.Overload, wait, "it would wait "+wait.Round(time.Millisecond).String()+", too long while more comes than can be done")
		return
	}
	if late := wait - b.lastChance(e, now); e.late && late > 0 {
		b.refuse(now, key, j, job.Overload, late, "it would wait "+wait.Round(time.Millisecond).String()+", too long by "+late.Round(time.Millisecond).String())
		return
	}
	b.cfg.Log.Info("job taken", "job", j.ID, "by", key.VM, "queue", j.Queue, "rank", j.Rank, "tasks", j.Tasks(), "cores", j.Steps[0].Need.Cores, "work", b.chain(j), "wait", wait, "late", e.late, "left", j.Left, "waited", j.Waited)
	b.jobs[key] = e
	b.names[j.ID] = e
	b.enqueue(e)
	b.pump(now)
}

// stopWait is when a job may come again whose former runs are being stopped, at the earliest.
const stopWait = 300 * time.Millisecond

// runsFor is how much longer runs of a job that has ended may go on if no stop of them is confirmed.
func (b *Book) runsFor(now time.Time, e *entry) time.Duration {
	if b.cfg.Limits.Resend <= 0 { // nothing bounds them but the leases of all that runs beside them
		return stopWait
	}
	return max(stopWait, e.By().Sub(now))
}

func (b *Book) refuse(now time.Time, key Key, j *batch.Job, why job.Reason, retry time.Duration, detail string) {
	b.cfg.Log.Info("job refused", "job", j.ID, "by", key.VM, "queue", j.Queue, "rank", j.Rank, "tasks", j.Tasks(), "cores", j.Steps[0].Need.Cores, "reason", string(why), "detail", detail,
		"queued", len(b.queue), "free", b.freeCores(), "fit", b.fitting(j), "pressure", math.Round(100*b.pressure(now, ranks))/100)
	b.acts.Tells = append(b.acts.Tells, Tell{key, job.Answer{Outcome: job.Refused, Reason: why, Retry: retry, Detail: detail}})
}

// fitting is how many tasks of a job's first step have room now: of a job that is refused, why
// is room left that it does not use?
func (b *Book) fitting(j *batch.Job) (n int) {
	st := &j.Steps[0]
	for _, s := range b.order {
		if s.Open() && !s.lost && !s.giving && fitsLabel(s, st, j.Pool) {
			n += fits(s.Free(), st.Need)
		}
	}
	return min(n, st.Count)
}

// freeCores are the unused cores of the endpoints that take work.
func (b *Book) freeCores() (n float64) {
	for _, s := range b.order {
		if s.Open() && !s.lost && !s.giving {
			n += s.Free().Cores
		}
	}
	return n
}

// possible reports whether each step could start on some endpoint if it were empty.
func (b *Book) possible(j *batch.Job) bool {
	for i := range j.Steps {
		st := &j.Steps[i]
		if !slices.ContainsFunc(b.order, func(s *site) bool {
			return !s.lost && !s.giving && s.cordon.IsZero() && st.Need.Fits(s.Size) && fitsLabel(s, st, j.Pool)
		}) {
			return false
		}
	}
	return true
}

func fitsLabel(s *site, st *batch.Step, pool string) bool {
	return s.Pool == pool && (st.Label == "" || slices.Contains(s.Labels, st.Label))
}
