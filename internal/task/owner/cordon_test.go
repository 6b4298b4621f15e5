package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Symptom: jobs end by their deadline after their failure domain was cordoned. Sequence: a job
// waits for room, its domain is cordoned. Cause: it waits on, though other domains have room.
func TestCordonRefusesWhatWaits(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(2, 30, 100*time.Millisecond)))
	begin(b, t0, b.Take().Starts)
	b.Submit(t0, key(2), of("j2", 0, tasks(1, 30, time.Second)))
	b.Cordon(t0, "", true)
	a := b.Take()
	is.Equal(len(a.Starts)+len(a.Stops), 0) // what runs goes on
	is.Equal(len(a.Tells), 1)
	is.Equal(a.Tells[0].Key, key(2))
	is.Equal(a.Tells[0].Answer.Outcome, job.Refused)
	is.Equal(a.Tells[0].Answer.Reason, job.NoEndpoint)
	b.Submit(t0, key(3), of("j3", 0, tasks(1, 30, time.Second)))
	is.Equal(b.Take().Tells[0].Answer.Reason, job.NoEndpoint)
	is.Equal(b.Load(t0).Total, 0.0) // so that others send nothing
	b.Cordon(t0.Add(50*time.Millisecond), "", false)
	b.Submit(t0.Add(50*time.Millisecond), key(4), of("j4", 0, tasks(1, 1, time.Second)))
	is.Equal(len(b.Take().Starts), 1)
}

// Symptom: a job that was nearly done is lost when its domain is cordoned, or starts tasks there
// long after. Sequence: some of its tasks run, others wait for room that comes free soon, or late.
// Cause: begun jobs are treated as new ones, or are let start for ever.
func TestCordonLetsBegunJobsFinishForAMoment(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(4, 30, 100*time.Millisecond)))
	first := b.Take().Starts
	is.Equal(len(first), 2)
	begin(b, t0, first)
	b.Cordon(t0, "", true)
	soon := t0.Add(cordonGrace / 2)
	finish(b, soon, first[0], lease.Done)
	a := b.Take()
	is.Equal(len(a.Starts), 1)
	begin(b, soon, a.Starts)
	late := t0.Add(cordonGrace + 10*time.Millisecond)
	finish(b, late, first[1], lease.Done)
	a = b.Take()
	is.Equal(len(a.Starts), 0)
	b.Tick(late)
	a = b.Take()
	is.Equal(len(a.Tells), 1)
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown) // it has begun
	is.Equal(a.Tells[0].Answer.Reason, job.NoEndpoint)
	is.Equal(len(a.Stops), 1)
}

// Symptom: a job whose label only a cordoned domain has is held until its deadline. Sequence: one of
// two domains of an owner is cordoned. Cause: its endpoints still count as ones that could run it.
func TestJobForCordonedLabelIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64)
	in := b.Find("b").Info
	in.ID, in.Domain, in.Labels = "c", "other", []string{"special"}
	b.Own(in, 7)
	b.Renewed(t0, t0, b.Find("c"), lease.Report{Clock: 1000})
	b.Cordon(t0, "other", true)
	b.Take()
	st := tasks(1, 10, time.Second)
	st.Label = "special"
	b.Submit(t0, key(1), of("j1", 0, st))
	a := b.Take()
	is.Equal(a.Tells[0].Answer.Reason, job.NoEndpoint)
	b.Submit(t0, key(2), of("j2", 0, tasks(1, 10, time.Second)))
	is.Equal(len(b.Take().Starts), 1) // others are served
}

// Symptom: an endpoint that comes up in a cordoned domain gets work. Sequence: the domain is
// cordoned before this VM owns anything there. Cause: the cordon is noted at endpoints only.
func TestEndpointOwnedUnderACordonStaysClosed(t *testing.T) {
	is := is.New(t)
	b := bench()
	b.Cordon(t0, "d", true)
	in := lease.Info{ID: "x", Domain: "d", Pool: "p", Size: job.Size{Cores: 64, Memory: 64}}
	b.Own(in, 7)
	b.Renewed(t0, t0, b.Find("x"), lease.Report{Clock: 1000})
	b.Take()
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 10, time.Second)))
	is.Equal(len(b.Take().Starts), 0)
}

// Symptom: starts are refused for want of room, or an endpoint that doesn't guard its room holds more
// than it has. Sequence: an endpoint shrinks under what it runs, and grows again. Cause: its size is
// taken over once and never updated.
func TestRoomFollowsTheEndpointsWord(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	first := b.Take().Starts
	begin(b, t0, first)
	in := b.Find("a").Info
	in.Size.Cores = 20
	b.Update(t0, in)
	b.Submit(t0, key(2), of("j2", 0, tasks(1, 15, time.Second)))
	is.Equal(len(b.Take().Starts), 0) // what runs counts
	finish(b, t0, first[0], lease.Done)
	is.Equal(len(b.Take().Starts), 1)
	b.Submit(t0, key(3), of("j3", 0, tasks(1, 30, time.Second)))
	is.Equal(b.Take().Tells[0].Answer.Reason, job.NoEndpoint) // no endpoint is as large now
	in.Size.Cores = 96
	b.Update(t0, in)
	b.Submit(t0, key(4), of("j4", 0, tasks(2, 30, time.Second)))
	is.Equal(len(b.Take().Starts), 2)
}
