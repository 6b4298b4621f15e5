package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// part returns the tasks from first on of a job of eight.
func part(id string, first, count int) *batch.Job {
	p := newJob(id, 0, tasks(8, 10, 100*time.Millisecond)).Range(first, count)
	return &p
}

// Guards against a part that runs the first tasks of its job, which another owner runs, and against tasks that are mixed
// up when they fail.
func TestPartRunsItsOwnTasks(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	sc.Submit(t0, key(1), part("j1", 5, 3))
	starts := sc.TakeActions().Starts
	is.Equal(len(starts), 3)
	for i, s := range starts {
		is.Equal(s.Run.Task.Index, 5+i)
		is.Equal(s.Run.Name, batch.Task{Job: "j1", Index: 5 + i}.String())
	}
	begin(sc, t0, starts)
	finish(sc, t0, starts[1], lease.Failed)
	again := sc.TakeActions().Starts
	is.Equal(len(again), 1)
	is.Equal(again[0].Run.Task.Index, 6)
	is.Equal(again[0].Run.Num, 2)
	begin(sc, t0, again)
	finish(sc, t0, starts[0], lease.Done)
	finish(sc, t0, starts[2], lease.Done)
	is.Equal(len(sc.TakeActions().Replies), 0)
	finish(sc, t0, again[0], lease.Done)
	is.Equal(sc.TakeActions().Replies, []Reply{{key(1), job.Answer{Outcome: job.Done}}})
}

// Guards against a part whose endpoint is lost and that starts other tasks again than those that ran there.
func TestPartIsStartedAgainAfterALoss(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64, 64)
	sc.Submit(t0, key(1), part("j1", 5, 3))
	starts := sc.TakeActions().Starts
	begin(sc, t0, starts)
	sc.Lose(t0, starts[0].At.ID, true, "it was restarted")
	sc.Tick(t0.Add(time.Second))
	seen := map[int]bool{}
	for _, s := range sc.TakeActions().Starts {
		seen[s.Run.Task.Index] = true
	}
	is.True(len(seen) > 0)
	for k := range seen {
		is.True(k >= 5 && k < 8)
	}
}

// Guards against two runs of a task: the job is submitted again while its other parts run at owners that this one does
// not know.
func TestPartDoesNotGoOnForItsResubmission(t *testing.T) {
	for name, again := range map[string]*batch.Job{
		"whole": newJob("p1", 0, tasks(8, 10, 100*time.Millisecond)), "same part": part("p1", 5, 3), "other part": part("p1", 0, 5),
		"job of as many tasks": newJob("p1", 0, tasks(3, 10, 100*time.Millisecond)),
	} {
		for _, begun := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				sc := resending(64, 5*time.Second)
				if !begun {
					sc.Submit(t0, key(8), newJob("k1", 0, tasks(3, 10, 50*time.Millisecond)))
				}
				sc.TakeActions()
				sc.Submit(t0, key(2), askedAt(t0, part("p1", 5, 3)))
				starts := sc.TakeActions().Starts
				is.Equal(len(starts) > 0, begun)
				begin(sc, t0, starts)
				sc.Submit(t0.Add(time.Second), key(3), askedAt(t0.Add(time.Second), again))
				acts := sc.TakeActions()
				is.Equal(len(acts.Starts), 0)
				answers := map[Key]job.Answer{}
				for _, r := range acts.Replies {
					answers[r.Key] = r.Answer
				}
				for _, k := range []Key{key(2), key(3)} {
					is.Equal(answers[k].Outcome, job.Unknown)
					is.Equal(answers[k].Reason, job.StillRuns)
				}
				is.True(answers[key(3)].Retry >= sc.cfg.Limits.Outlive())
			})
		}
	}
}

// Guards against two runs of a task: a part is done, its owner's older heartbeat still lists the job, and the job is
// submitted again there while other parts run.
func TestOwnerRemembersEndedParts(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	sc.cfg.Limits.Resend = 1300 * time.Millisecond
	sc.Submit(t0, key(1), part("j1", 7, 1))
	starts := sc.TakeActions().Starts
	begin(sc, t0, starts)
	finish(sc, t0, starts[0], lease.Done)
	is.Equal(sc.TakeActions().Replies[0].Answer.Outcome, job.Done)
	now := t0.Add(sc.cfg.Limits.Outlive() - 1)
	sc.Submit(now, key(2), askedAt(now, newJob("j1", 0, tasks(8, 8, 100*time.Millisecond))))
	acts := sc.TakeActions()
	is.Equal(len(acts.Starts), 0)
	is.Equal(acts.Replies[0].Answer.Reason, job.StillRuns)
	now = now.Add(1)
	sc.Submit(now, key(3), askedAt(now, newJob("j1", 0, tasks(8, 8, 100*time.Millisecond))))
	is.Equal(len(sc.TakeActions().Starts), 8)
}

// Guards against work wasted for a part that is refused after others have begun: it is taken although it will be late,
// and stays until its job's time is over.
func TestPartOfABegunJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(20)
	n := uint64(0)
	for refused := false; !refused; {
		n++
		sc.Submit(t0, key(n), newJob("w"+string(rune('a'+n)), 0, tasks(1, 20, 200*time.Millisecond)))
		refused = len(sc.TakeActions().Replies) > 0
	}
	p := part("j1", 5, 3)
	sc.Submit(t0, key(100), p)
	is.Equal(sc.TakeActions().Replies[0].Answer.Outcome, job.Refused)
	p.Begun = true
	sc.Submit(t0, key(101), p)
	is.Equal(len(sc.TakeActions().Replies), 0)
	sc.Tick(t0.Add(p.TimeLeft - time.Millisecond))
	for _, r := range sc.TakeActions().Replies {
		is.True(r.Key != key(101))
	}
	sc.Tick(t0.Add(p.TimeLeft))
	is.Equal(sc.TakeActions().Replies[0].Answer.Reason, job.Deadline)
}

// Guards against a part that goes on after the VM that answers the caller died: its keepalives stop, and nobody else can
// end the part.
func TestPartEndsWithoutKeepalives(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	sc.TakeActions()
	sc.Submit(t0, key(2), askedAt(t0, part("p1", 5, 3)))
	begin(sc, t0, sc.TakeActions().Starts)
	now := t0.Add(100 * time.Millisecond)
	sc.Keepalive(now, key(2), now)
	last := now.Add(sc.cfg.Limits.Expiry() - 1)
	sc.Keepalive(last, key(1), last) // another job, which goes on
	sc.Tick(last)
	for _, r := range sc.TakeActions().Replies {
		is.True(r.Key != key(2))
	}
	sc.Tick(now.Add(sc.cfg.Limits.Expiry()))
	acts := sc.TakeActions()
	is.Equal(len(acts.Stops), 3)
	is.Equal(acts.Replies[0].Key, key(2))
	is.Equal(acts.Replies[0].Answer.Outcome, job.Unknown)
}
