package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/lease"
)

// slowDown makes the scheduler rate an endpoint five times as slow as the others.
func slowDown(sc *Scheduler, id string) {
	for range 20 {
		for _, s := range sc.order {
			r := health.Report{Addr: s.Addr, Kind: "p/q", End: health.OK, Ran: 100 * time.Millisecond, Expected: 100 * time.Millisecond}
			if s.ID == id {
				r.Ran *= 5
			}
			sc.health.Record(t0, r)
		}
	}
}

// list reports the runs of an endpoint with the given progress.
func list(sc *Scheduler, now time.Time, id string, percent int) {
	ep := sc.Find(id)
	r := lease.Report{Clock: now.Sub(t0).Milliseconds()}
	for _, x := range ep.Runs {
		r.Running = append(r.Running, lease.Listed{Name: x.Name, Num: x.Num, Percent: percent})
	}
	sc.Renewed(now, now, ep, r)
}

// An endpoint becomes slow during a run. If the run is left to end there, the job is late, while another
// endpoint is idle.
func TestRunOnASlowEndpointIsMoved(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64, 64, 64, 64)
	const work = 200 * time.Millisecond
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 30, work)))
	s := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{s})
	slowDown(sc, s.At.ID)
	list(sc, t0.Add(work/2), s.At.ID, 10)
	is.Equal(len(sc.TakeActions().Stops), 0) // too early to judge
	list(sc, t0.Add(work), s.At.ID, 20)
	is.Equal(len(sc.TakeActions().Stops), 1)
	over := t0.Add(work + 10*time.Millisecond)
	finish(sc, over, s, lease.Gone)
	again := sc.TakeActions().Starts
	is.Equal(len(again), 1)
	is.True(again[0].At != s.At)
	is.True(again[0].Run.Num > s.Run.Num)
}

// All endpoints are equally slow, or a task is larger than declared. If a long run is mistaken for one
// on a slow endpoint, runs are stopped again and again, and a job of large tasks never ends.
func TestLongRunIsNotMoved(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64, 64)
	const work = 200 * time.Millisecond
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 30, work)))
	s := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{s})
	for n := range 10 {
		list(sc, t0.Add(time.Duration(n)*work), s.At.ID, 3*n)
	}
	is.Equal(len(sc.TakeActions().Stops), 0)
}

// In a burst while a rack is slow, the healthy endpoints are full and the slow ones have room. If that
// room counts for jobs that would be late there, jobs are accepted that miss their objective: in a
// simulated burst 352 of 437 jobs met it, and 394 when the room doesn't count.
func TestRoomOfSlowEndpointsIsForLateJobs(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(64, 64, 64, 64)
	slowDown(sc, "d")
	full := sc.Load(t0)
	is.Equal(full.Total, 3*64.0)
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(6, 30, time.Second)))
	sc.endpoints["d"].lastStart = t0
	starts := sc.TakeActions().Starts
	is.Equal(len(starts), 6)
	for _, s := range starts {
		is.True(s.At.ID != "d")
	}
	sc.Submit(t0, key(2), newJob("j2", 0, tasks(1, 30, 100*time.Millisecond)))
	late := sc.TakeActions()
	is.Equal(len(late.Starts), 1) // it can't be in time anywhere, and delays nobody
	is.Equal(late.Starts[0].At.ID, "d")
}
