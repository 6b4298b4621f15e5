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

// Ordered takes in how a start ended: its last error, after a number of sends without an
// answer. After one of those a refusal says only that the run isn't there now: the order
// may yet arrive, or the run have ended.
func (b *Book) Ordered(now time.Time, s Start, silent int, err error) {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		b.Started(now, s.At, s.Run)
	case silent > 0 || agent.Unanswered(err):
		b.Unsure(now, s.At, s.Run, err)
	case errors.As(err, &refused):
		b.Refused(now, s.At, s.Run, refused.Why)
	default:
		b.Unsent(now, s.At, s.Run, err)
	}
}

// Started takes in that an endpoint began a run, or had it already.
func (b *Book) Started(now time.Time, ep *lease.Endpoint, r *lease.Run) {
	e := r.Job.(*entry)
	e.begun = true
	ep.Started(now, r)
	if e.told && r.Stage == lease.On {
		b.stop(ep, r)
	}
}

// Refused takes in that an endpoint did not begin a run.
func (b *Book) Refused(now time.Time, ep *lease.Endpoint, r *lease.Run, why agent.Refusal) {
	s := b.sites[ep.ID]
	e := r.Job.(*entry)
	b.cfg.Log.Info("start refused", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "reason", why.String(), "fence", ep.Fence)
	if s == nil || !ep.Reject(r) {
		return
	}
	switch why {
	case agent.NoRoom, agent.Late:
		s.full = now.Add(fullFor)
	case agent.Old:
		st := &e.steps[r.Task.Step]
		st.nums[r.Task.Index] += oldSkip
	case agent.Ill:
		b.assess(now, health.Report{Addr: ep.Addr, End: health.Unreachable}, ep.ID)
	case agent.Fenced, agent.Dead, agent.Invalid:
	}
	b.over(now, s, lease.Finished{Run: r, How: lease.Never}, why.String())
	switch why {
	case agent.Fenced:
		b.Lose(now, ep.ID, false, "another VM owns it")
	case agent.Dead:
		b.Lose(now, ep.ID, true, "it was restarted")
	case agent.Invalid:
		b.finish(now, e, job.Answer{Outcome: e.outcome(), Reason: job.BadRequest, Detail: "the endpoint can't read the task"})
	default:
	}
	b.pump(now)
}

const (
	// fullFor is how long an endpoint gets nothing new that had less room than
	// thought: about what a stop takes, which is the usual cause.
	fullFor = 50 * time.Millisecond
	// oldSkip is added to a run number that an endpoint has seen ended: an earlier
	// submission of the job used the numbers up to there.
	oldSkip = 16
)

// Unsure takes in that a start got no answer: it may run, or run yet.
func (b *Book) Unsure(now time.Time, ep *lease.Endpoint, r *lease.Run, err error) {
	e := r.Job.(*entry)
	if r.Stage != lease.Sent {
		return
	}
	b.cfg.Log.Info("start without answer", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", ep.ID, "after", now.Sub(r.At), "err", err)
	b.assess(now, health.Report{Addr: ep.Addr, End: health.Silent}, ep.ID)
	b.stop(ep, r)
}

// Unsent takes in that a start never left this VM.
func (b *Book) Unsent(now time.Time, ep *lease.Endpoint, r *lease.Run, err error) {
	e := r.Job.(*entry)
	b.cfg.Log.Info("endpoint unreachable", "job", e.ID, "task", r.Name, "endpoint", ep.ID, "err", err)
	b.assess(now, health.Report{Addr: ep.Addr, End: health.Unreachable}, ep.ID)
	if s := b.sites[ep.ID]; s != nil && ep.Reject(r) {
		b.over(now, s, lease.Finished{Run: r, How: lease.Never}, "unreachable")
		b.pump(now)
	}
}

// Stopped takes in that an endpoint confirmed a stop.
func (b *Book) Stopped(now time.Time, ep *lease.Endpoint, n lease.Name) {
	ep.Stopped(now, n)
	if s := b.sites[ep.ID]; s != nil {
		b.wake(s)
	}
}

// Renewed takes in an endpoint's answer to a renewal sent at a time.
func (b *Book) Renewed(now, sent time.Time, ep *lease.Endpoint, r lease.Report) {
	s := b.sites[ep.ID]
	if s == nil || s.Endpoint != ep || s.lost {
		return
	}
	was, known := ep.Silent, ep.Known
	over, orphans := ep.Take(now, sent, r)
	if !known && ep.Known && ep.Taken {
		b.cleared(now, s)
	}
	if was {
		b.cfg.Log.Info("endpoint back", "endpoint", ep.ID, "runs", len(ep.Runs))
		b.found(ep.ID)
		b.health.Reached(ep.Addr)
	}
	for _, f := range over {
		b.over(now, s, f, "")
	}
	b.progress(now, s)
	for _, n := range orphans {
		b.cfg.Log.Info("orphan stopped", "task", n.Task, "run", n.Num, "endpoint", ep.ID)
		b.acts.Stops = append(b.acts.Stops, Stop{At: ep, Name: n, Fence: ep.Fence})
	}
	b.pump(now)
}

// quietAfter is how many renewals in a row get no answer until their endpoint counts as
// silent. One may be lost alone; the second look is made at once and costs 25 ms.
const quietAfter = 2

// Quiet takes in that a renewal got no answer.
func (b *Book) Quiet(now time.Time, ep *lease.Endpoint, err error) {
	if s := b.sites[ep.ID]; s == nil || s.lost {
		return
	}
	if ep.Missed++; ep.Missed < quietAfter {
		return
	}
	if !ep.Silent {
		b.cfg.Log.Info("endpoint silent", "endpoint", ep.ID, "runs", len(ep.Runs), "err", err, "lapse", ep.Lapse().Sub(now))
		b.assess(now, health.Report{Addr: ep.Addr, End: health.Unreachable}, ep.ID)
	}
	ep.Quiet()
	b.missed(now, ep.ID)
}

// over takes a run that has surely ended into its job.
func (b *Book) over(now time.Time, s *site, f lease.Finished, why string) {
	r := f.Run
	e := r.Job.(*entry)
	delete(e.runs, r)
	e.over = timer.Later(e.over, s.endedBy(now))
	if f.How != lease.Never {
		e.begun = true
	}
	b.judge(now, s, e, f)
	if ran := now.Sub(r.At); ran > e.slowest {
		e.slowest, e.slowAt = ran, s.ID
	}
	st := &e.steps[r.Task.Step]
	if e.told {
		b.forget(now, e)
		return
	}
	b.cfg.Log.Debug("run over", "task", r.Name, "run", r.Num, "how", f.How.String(), "endpoint", s.ID, "why", why)
	switch f.How {
	case lease.Done:
		st.done++
		if st.done == e.Steps[r.Task.Step].Count {
			e.left--
		}
		if e.left == 0 {
			b.finish(now, e, job.Answer{Outcome: job.Done})
			return
		}
	case lease.Failed:
		if st.fails[r.Task.Index] == 0 {
			st.failed[r.Task.Index] = now
		}
		st.fails[r.Task.Index]++
		if st.fails[r.Task.Index] >= max(1, e.Attempts) {
			b.finish(now, e, job.Answer{Outcome: job.Failed, Reason: job.TaskFailed, Detail: r.Name + " failed too often"})
			return
		}
		st.waiting = append(st.waiting, r.Task.Index)
	default:
		b.again(now, e, r)
	}
	if !e.told {
		b.enqueue(e)
	}
}

// allOver takes the runs of a lost endpoint into their jobs.
func (b *Book) allOver(now time.Time, s *site, over []lease.Finished, why string) {
	for _, f := range over {
		b.over(now, s, f, why)
	}
}

// judge takes an end into the endpoint's health and the kind's run times.
func (b *Book) judge(now time.Time, s *site, e *entry, f lease.Finished) {
	rep := health.Report{Addr: s.Addr, Kind: e.Pool + "/" + e.Queue}
	switch f.How {
	case lease.Done:
		s.proven = timer.Later(s.proven, f.Run.At)
		ran := now.Sub(f.Run.At)
		rep.End = health.OK
		if !f.Run.Judged {
			rep.Ran, rep.Usual = ran, b.expect(e.Job, &e.Steps[f.Run.Step])
		}
		b.learn.Note(learn.Key{Tenant: e.Pool, Kind: e.Queue}, ran)
	case lease.Failed:
		s.failed = timer.Later(s.failed, f.Run.At)
		rep.End = health.Bad
		b.cfg.Log.Info("run failed", "job", e.ID, "task", f.Run.Name, "run", f.Run.Num, "endpoint", s.ID, "after", now.Sub(f.Run.At).Round(time.Millisecond))
	default:
		return
	}
	b.assess(now, rep, s.ID)
}

// assess takes a report into the endpoint's health and tells when it gets no more work.
func (b *Book) assess(now time.Time, rep health.Report, id string) {
	was := b.health.Limit(now, rep.Addr)
	if n := b.health.Note(now, rep); (n == 0) != (was == 0) {
		b.cfg.Log.Info("endpoint judged", "endpoint", id, "usable", n > 0, "by", rep.End.String(), "kind", rep.Kind)
	}
}
