package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Guards against a second start of a job that is submitted again, and against telling its caller to come back although
// the run goes on.
func TestJobSubmittedAgainGoesOn(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	s := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{s})
	now := t0.Add(800 * time.Millisecond)
	sc.Submit(now, key(2), askedAt(now, newJob("j1", 0, tasks(1, 30, 5*time.Second))))
	acts := sc.TakeActions()
	is.Equal(len(acts.Starts)+len(acts.Stops), 0)
	is.Equal(acts.Replies, []Reply{{key(1), job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Detail: "the same job was submitted again"}}})

	sc.Cancel(now, key(1), "its caller left") // noticed late
	sc.Keepalive(now, key(1), now.Add(time.Second))
	sc.Tick(now.Add(sc.cfg.Limits.Expiry() - time.Millisecond))
	is.Equal(len(sc.TakeActions().Stops), 0)
	finish(sc, now.Add(sc.cfg.Limits.Expiry()), s, lease.Done)
	acts = sc.TakeActions()
	is.Equal(acts.Replies[0].Key, key(2))
	is.Equal(acts.Replies[0].Answer.Outcome, job.Done)
}

// Guards against a job that goes on for a caller who has left after its resubmission too.
func TestResumedJobEndsWithoutKeepalives(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	begin(sc, t0, sc.TakeActions().Starts)
	now := t0.Add(800 * time.Millisecond)
	sc.Submit(now, key(2), askedAt(now, newJob("j1", 0, tasks(1, 30, 5*time.Second))))
	sc.Keepalive(now, key(1), now.Add(time.Second)) // of the VM that the first caller has left
	sc.Tick(now.Add(sc.cfg.Limits.Expiry()))
	is.Equal(len(sc.TakeActions().Stops), 1)
}

// Guards against a job that other VMs don't know of while its runs are being stopped, or know of too late.
func TestOldJobsAreAdvertisedUntilTheirRunsEnd(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	starts := sc.TakeActions().Starts
	begin(sc, t0, starts)
	minAge := 650 * time.Millisecond
	now := t0.Add(minAge)
	is.Equal(len(sc.Advertised(now.Add(-1), minAge)), 0)
	is.Equal(sc.Advertised(now, minAge), []uint64{batch.HashID("j1")})
	sc.Cancel(now, key(1), "its caller left")
	is.Equal(len(sc.Advertised(now, minAge)), 1)
	finish(sc, now, starts[0], lease.Gone)
	is.Equal(len(sc.Advertised(now, minAge)), 0)
}
