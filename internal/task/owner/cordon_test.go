package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// A job waits for room when its failure domain is cordoned. If it keeps waiting though other domains
// have room, it ends by its deadline.
func TestCordonRefusesWaitingJobs(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(2, 30, 100*time.Millisecond)))
	begin(sc, t0, sc.TakeActions().Starts)
	sc.Submit(t0, key(2), newJob("j2", 0, tasks(1, 30, time.Second)))
	sc.Cordon(t0, "", true)
	a := sc.TakeActions()
	is.Equal(len(a.Starts)+len(a.Stops), 0) // running tasks go on
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Key, key(2))
	is.Equal(a.Replies[0].Answer.Outcome, job.Refused)
	is.Equal(a.Replies[0].Answer.Reason, job.NoEndpoint)
	sc.Submit(t0, key(3), newJob("j3", 0, tasks(1, 30, time.Second)))
	is.Equal(sc.TakeActions().Replies[0].Answer.Reason, job.NoEndpoint)
	is.Equal(sc.Load(t0).Total, 0.0) // so that other VMs send no jobs
	sc.Cordon(t0.Add(50*time.Millisecond), "", false)
	sc.Submit(t0.Add(50*time.Millisecond), key(4), newJob("j4", 0, tasks(1, 1, time.Second)))
	is.Equal(len(sc.TakeActions().Starts), 1)
}

// Some tasks of a job run when its domain is cordoned; others wait for room that comes soon, or late.
// If begun jobs count as new ones, one that is nearly done is lost; if not, tasks start long after.
func TestBegunJobsStartTasksDuringCordonGrace(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(4, 30, 100*time.Millisecond)))
	first := sc.TakeActions().Starts
	is.Equal(len(first), 2)
	begin(sc, t0, first)
	sc.Cordon(t0, "", true)
	soon := t0.Add(cordonGrace / 2)
	finish(sc, soon, first[0], lease.Done)
	a := sc.TakeActions()
	is.Equal(len(a.Starts), 1)
	begin(sc, soon, a.Starts)
	late := t0.Add(cordonGrace + 10*time.Millisecond)
	finish(sc, late, first[1], lease.Done)
	a = sc.TakeActions()
	is.Equal(len(a.Starts), 0)
	sc.Tick(late)
	a = sc.TakeActions()
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Answer.Outcome, job.Unknown) // it has begun
	is.Equal(a.Replies[0].Answer.Reason, job.NoEndpoint)
	is.Equal(len(a.Stops), 1)
}

// One of two domains of an owner is cordoned. If its endpoints still count for placement, a job whose
// label exists only there is held until its deadline.
func TestJobForCordonedLabelIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64, 64)
	in := sc.Find("b").Info
	in.ID, in.Domain, in.Labels = "c", "other", []string{"special"}
	sc.Own(in, 7)
	sc.Renewed(t0, t0, sc.Find("c"), lease.Report{Clock: 1000})
	sc.Cordon(t0, "other", true)
	sc.TakeActions()
	st := tasks(1, 10, time.Second)
	st.Label = "special"
	sc.Submit(t0, key(1), newJob("j1", 0, st))
	a := sc.TakeActions()
	is.Equal(a.Replies[0].Answer.Reason, job.NoEndpoint)
	sc.Submit(t0, key(2), newJob("j2", 0, tasks(1, 10, time.Second)))
	is.Equal(len(sc.TakeActions().Starts), 1) // other jobs are served
}

// A domain is cordoned before this VM owns anything there. If the cordon is recorded at endpoints
// only, an endpoint that comes up there gets work.
func TestNewEndpointInCordonedDomainGetsNoWork(t *testing.T) {
	is := is.New(t)
	sc := newScheduler()
	sc.Cordon(t0, "d", true)
	in := lease.Info{ID: "x", Domain: "d", Pool: "p", Size: job.Size{Cores: 64, Memory: 64}}
	sc.Own(in, 7)
	sc.Renewed(t0, t0, sc.Find("x"), lease.Report{Clock: 1000})
	sc.TakeActions()
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 10, time.Second)))
	is.Equal(len(sc.TakeActions().Starts), 0)
}

// An endpoint shrinks below what it runs, and grows again. If its size is read once and never updated,
// starts are refused for lack of room, or an endpoint that doesn't check its room is overcommitted.
func TestRoomFollowsEndpointResize(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64)
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	first := sc.TakeActions().Starts
	begin(sc, t0, first)
	in := sc.Find("a").Info
	in.Size.Cores = 20
	sc.Update(t0, in)
	sc.Submit(t0, key(2), newJob("j2", 0, tasks(1, 15, time.Second)))
	is.Equal(len(sc.TakeActions().Starts), 0) // running tasks count
	finish(sc, t0, first[0], lease.Done)
	is.Equal(len(sc.TakeActions().Starts), 1)
	sc.Submit(t0, key(3), newJob("j3", 0, tasks(1, 30, time.Second)))
	is.Equal(sc.TakeActions().Replies[0].Answer.Reason, job.NoEndpoint) // no endpoint is that large now
	in.Size.Cores = 96
	sc.Update(t0, in)
	sc.Submit(t0, key(4), newJob("j4", 0, tasks(2, 30, time.Second)))
	is.Equal(len(sc.TakeActions().Starts), 2)
}
