package owner

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// The time from a job's last keepalive to the end of its last run is reported when that run ends.
func TestOutlivedRunsAreReported(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	var reported []time.Duration
	sc.cfg.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	sc.cfg.Outlived = func(d time.Duration) { reported = append(reported, d) }
	j := newJob("j1", 0, tasks(2, 30, time.Second))
	j.AskedAt = t0
	sc.Submit(t0, key(1), j)
	starts := sc.TakeActions().Starts
	begin(sc, t0, starts)
	sc.Cancel(t0.Add(300*time.Millisecond), key(1), "its caller left")
	finish(sc, t0.Add(340*time.Millisecond), starts[0], lease.Gone)
	is.Equal(len(reported), 0)
	finish(sc, t0.Add(390*time.Millisecond), starts[1], lease.Gone)
	is.Equal(reported, []time.Duration{390 * time.Millisecond})
}

// Guards against a histogram that counts runs as going on during an owner's pause, though their lease ran out.
func TestOutlivedEndsWithTheLease(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	var reported []time.Duration
	sc.cfg.Outlived = func(d time.Duration) { reported = append(reported, d) }
	begin(sc, t0, sc.TakeActions().Starts)
	ep := sc.Find("e")
	lapse := ep.LeaseEnd()
	ep.Missed = silentAfter
	sc.RenewalFailed(t0.Add(100*time.Millisecond), ep, errNoAnswer)
	sc.Cancel(t0.Add(200*time.Millisecond), key(1), "its caller left")
	sc.Tick(t0.Add(5 * time.Second)) // it was paused
	is.Equal(reported, []time.Duration{lapse.Sub(t0)})
}

// resending returns a scheduler whose callers submit again after 1.3 s, with a job of another VM whose last keepalive is t0.
func resending(cores float64, run time.Duration) *Scheduler {
	sc := newScheduler(cores)
	sc.cfg.Limits.Resend = 1300 * time.Millisecond
	sc.Lose(t0, "a", true, "made anew")
	sc.Own(lease.Info{ID: "e", Pool: "p", Size: job.Size{Cores: cores, Memory: 64}}, 8)
	sc.Renewed(t0, t0, sc.Find("e"), lease.Report{Clock: 1000})
	sc.TakeActions()
	sc.Submit(t0, key(1), askedAt(t0, newJob("j1", 0, tasks(1, 30, run))))
	return sc
}

func askedAt(at time.Time, j *batch.Job) *batch.Job {
	j.AskedAt = at
	return j
}

// Guards against a run whose stop is never confirmed and whose lease is extended by the runs beside it.
func TestUnconfirmedStopEndsWithTheLeaseInTime(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	ep := sc.Find("e")
	starts := sc.TakeActions().Starts
	begin(sc, t0, starts)
	n := starts[0].Run
	for now := t0; now.Before(t0.Add(3 * time.Second)); now = now.Add(50 * time.Millisecond) {
		sc.Submit(now, key(uint64(now.UnixNano())), newJob("k"+now.String(), 0, tasks(1, 1, 5*time.Second)))
		sc.Tick(now)
		ep.RenewUntil(now)
		for _, s := range sc.TakeActions().Starts {
			sc.Started(now, s.At, s.Run)
		}
		if n.Stage != lease.Over {
			is.True(!ep.LeaseEnd().After(t0.Add(sc.cfg.Limits.Outlive())))
		}
	}
	is.Equal(n.Stage, lease.Stopping)
}

// Guards against a job that goes on after its VM fell silent, and one that ends while keepalives arrive.
func TestJobEndsWithoutKeepalives(t *testing.T) {
	is := is.New(t)
	sc := resending(64, 5*time.Second)
	begin(sc, t0, sc.TakeActions().Starts)
	now := t0
	for ; now.Before(t0.Add(2 * time.Second)); now = now.Add(150 * time.Millisecond) {
		sc.Keepalive(now, key(1), now.Add(-100*time.Millisecond))
		sc.Tick(now)
		is.Equal(len(sc.TakeActions().Stops), 0)
	}
	last := now.Add(-250 * time.Millisecond)
	sc.Tick(last.Add(sc.cfg.Limits.Expiry() - time.Millisecond))
	is.Equal(len(sc.TakeActions().Stops), 0)
	sc.Tick(last.Add(sc.cfg.Limits.Expiry()))
	acts := sc.TakeActions()
	is.Equal(len(acts.Stops), 1)
	is.Equal(acts.Replies[0].Answer.Outcome, job.Unknown)
}

// Guards against a start on a keepalive that is too old for the lease to end in time.
func TestTasksStartOnAFreshKeepaliveOnly(t *testing.T) {
	is := is.New(t)
	sc := resending(30, 300*time.Millisecond) // one task fills it
	first := sc.TakeActions().Starts
	begin(sc, t0, first)
	j := askedAt(t0, newJob("l1", 2, tasks(1, 30, 300*time.Millisecond)))
	j.Slack = time.Second
	sc.Submit(t0, key(2), j)
	now := t0.Add(sc.cfg.Limits.Fresh() + time.Millisecond)
	finish(sc, now, first[0], lease.Done)
	is.Equal(len(sc.TakeActions().Starts), 0)
	sc.Keepalive(now, key(2), now.Add(-10*time.Millisecond))
	is.Equal(len(sc.TakeActions().Starts), 1)
}

// Guards against a start at a time read before a pause, on an endpoint whose lease was renewed after it.
func TestNoRunStartsUnderALeaseBeyondItsKeepalive(t *testing.T) {
	is := is.New(t)
	sc := resending(96, 5*time.Second)
	begin(sc, t0, sc.TakeActions().Starts)
	ep := sc.Find("e")
	asked := t0.Add(200 * time.Millisecond)
	old := asked.Add(sc.cfg.Limits.Fresh())
	woke := old.Add(700 * time.Millisecond)
	sc.Keepalive(woke, key(1), woke)
	ep.RenewUntil(woke)
	sc.Submit(old, key(2), askedAt(asked, newJob("k1", 0, tasks(1, 30, 5*time.Second))))
	is.Equal(len(sc.TakeActions().Starts), 0)
}
