package owner

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// newMixed returns a scheduler that estimates speeds and knows those of its endpoints, each with the given cores.
func newMixed(cores float64, speeds ...float64) *Scheduler {
	sc := newScheduler()
	sc.cfg.Speeds = true
	sc.initSpeeds()
	for i, f := range speeds {
		id := fmt.Sprintf("ep-%02d", i)
		sc.Own(lease.Info{ID: id, Addr: netipAddr(i), Pool: "p", Size: job.Size{Cores: cores, Memory: 64}}, 7)
		sc.Renewed(t0, t0, sc.Find(id), lease.Report{Clock: 1000})
		s := sc.endpoints[id]
		for range 200 {
			sc.recordSpeed(t0, s, time.Duration(float64(100*time.Millisecond)/f), 100*time.Millisecond)
		}
	}
	for _, s := range sc.order {
		sc.setSpeed(s, "test")
	}
	sc.TakeActions()
	return sc
}

func netipAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n)}), 80)
}

// recordRun records a run that ended on an endpoint.
func (sc *Scheduler) recordRun(now time.Time, s *endpoint, ran, usual time.Duration) {
	sc.health.Record(now, health.Report{Addr: s.Addr, Kind: "p/q", End: health.OK, Ran: ran, Expected: s.on(usual)})
	sc.recordSpeed(now, s, ran, usual)
}

// Guards against long jobs that are late because short ones hold the fast endpoints: with room on all, a task of 0.76 s
// goes to a fast endpoint, one of 51 ms, which meets its objective anywhere, to a slow one.
func TestLongTasksGetTheFastEndpoints(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.7, 0.7, 1.7)
	for n := range uint64(12) { // the usual mix, from which the scheduler learns what a usual task needs
		j := newJob(fmt.Sprint("warm", n), 1, tasks(2, 8, 170*time.Millisecond))
		sc.Submit(t0, key(n), j)
		for _, s := range sc.TakeActions().Starts {
			begin(sc, t0, []Start{s})
			finish(sc, t0.Add(sc.endpoints[s.At.ID].on(170*time.Millisecond)), s, lease.Done)
		}
		sc.TakeActions()
	}
	sc.Submit(t0, key(100), newJob("short", 0, tasks(1, 8, 51*time.Millisecond)))
	short := sc.TakeActions().Starts
	is.Equal(len(short), 1)
	is.True(sc.speedOf(short[0].At.ID) < 1)
	sc.Submit(t0, key(101), newJob("long", 2, tasks(2, 8, 760*time.Millisecond)))
	for _, s := range sc.TakeActions().Starts {
		is.True(sc.speedOf(s.At.ID) > 1)
	}
}

// Guards against an objective that is given up while a faster endpoint would meet it after a short wait: on the slow one
// alone the task would be late.
func TestTaskWaitsForAnEndpointThatIsFastEnough(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.4, 0.4, 1, 1, 1, 1)
	work := 600 * time.Millisecond // 1.1 s on a slow endpoint, 1.02 s until the objective
	for n := range uint64(4) {
		sc.Submit(t0, key(n), newJob(fmt.Sprint("fill", n), 0, tasks(2, 8, work)))
	}
	for _, s := range sc.TakeActions().Starts {
		is.True(sc.speedOf(s.At.ID) > 0.8)
	}
	sc.Submit(t0, key(10), newJob("late", 0, tasks(1, 8, work)))
	is.Equal(len(sc.TakeActions().Starts), 0)
	sc.Submit(t0, key(11), newJob("short", 0, tasks(1, 8, 60*time.Millisecond))) // 120 of 156 ms there
	starts := sc.TakeActions().Starts
	is.Equal(len(starts), 1)
	is.True(sc.speedOf(starts[0].At.ID) < 0.8)
}

// Guards against runs that are stopped as slow or stuck although they are only long: the task takes 7 times as long, on
// a healthy endpoint of a slow kind, and makes progress.
func TestLongRunOnASlowKindIsLeftAlone(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.7, 0.7, 0.7, 1.7)
	work := 100 * time.Millisecond
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 8, work)))
	s := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{s})
	long := time.Duration(float64(7*work) / sc.speedOf(s.At.ID))
	for at := 50 * time.Millisecond; at < long; at += 50 * time.Millisecond {
		list(sc, t0.Add(at), s.At.ID, int(100*at/long))
		sc.Keepalive(t0.Add(at), key(1), t0.Add(at))
		sc.Tick(t0.Add(at))
		is.Equal(len(sc.TakeActions().Stops), 0)
	}
}

// Guards against a task that stands still until its caller leaves: without progress for 0.4 s it starts elsewhere.
func TestStalledRunStartsElsewhere(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 1, 1, 1)
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 8, 900*time.Millisecond)))
	s := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{s})
	stopped := time.Duration(0)
	for at := 50 * time.Millisecond; at < 2*time.Second && stopped == 0; at += 50 * time.Millisecond {
		list(sc, t0.Add(at), s.At.ID, min(20, int(at/(9*time.Millisecond))))
		sc.Keepalive(t0.Add(at), key(1), t0.Add(at))
		sc.Tick(t0.Add(at))
		if len(sc.TakeActions().Stops) > 0 {
			stopped = at
		}
	}
	is.True(stopped > 500*time.Millisecond && stopped < 750*time.Millisecond) // it advanced until 0.18 s
}

// Guards against a run that is left on an endpoint that has turned faulty, while another one could end it in time.
func TestRunOnAFaultyEndpointOfASlowKindIsMoved(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.7, 0.7, 1.7)
	const work = 200 * time.Millisecond
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 8, work)))
	run := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{run})
	s := sc.endpoints[run.At.ID]
	for range slowStreak + 1 {
		sc.recordRun(t0, s, time.Duration(6.5*float64(s.on(work))), work)
	}
	list(sc, t0.Add(s.on(work)), s.ID, 15)
	is.Equal(len(sc.TakeActions().Stops), 1)
}

// Guards against a new owner that takes slow endpoints for usual ones: what the former owner measured goes with them.
func TestSpeedsFollowAChangeOfOwner(t *testing.T) {
	is := is.New(t)
	former := newMixed(16, 0.7, 0.7, 1.7)
	next := newMixed(16)
	next.MergeSpeeds(t0, former.Speeds(t0))
	for i := range 3 {
		id := fmt.Sprintf("ep-%02d", i)
		next.Own(lease.Info{ID: id, Addr: netipAddr(i), Pool: "p", Size: job.Size{Cores: 16, Memory: 64}}, 8)
		is.True(math.Abs(math.Log(next.speedOf(id)/former.speedOf(id))) < 0.15)
	}
	// One that arrives after the endpoint was taken over counts until the first run.
	late := newMixed(16)
	late.Own(lease.Info{ID: "ep-00", Addr: netipAddr(0), Pool: "p", Size: job.Size{Cores: 16, Memory: 64}}, 8)
	is.Equal(late.speedOf("ep-00"), 1.0)
	late.MergeSpeeds(t0, former.Speeds(t0))
	is.True(late.speedOf("ep-00") < 0.9)
}

// Guards against a faulty endpoint that is taken for one of a slow kind: 6.5 times slower, it gets no job that is in
// time.
func TestFaultyEndpointIsStillFound(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.7, 0.7, 0.7, 1.7)
	s := sc.endpoints["ep-00"]
	for range slowStreak + 1 {
		sc.recordRun(t0, s, time.Duration(6.5*float64(s.on(100*time.Millisecond))), 100*time.Millisecond)
	}
	is.True(sc.isSlow(s))
	factor := s.speed
	for range 20 { // its factor stays that of its healthy time
		sc.recordRun(t0, s, time.Duration(6.5*float64(s.on(100*time.Millisecond))), 100*time.Millisecond)
	}
	is.Equal(s.speed, factor)
	sc.recordRun(t0, s, s.on(100*time.Millisecond), 100*time.Millisecond)
	is.True(!sc.isSlow(s))
}

// Guards against idle slow endpoints: a task that waits for a faster one must not hold back those behind it in the
// queue that are in time on a slow one.
func TestTasksPassOneThatWaitsForAFasterEndpoint(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.4, 0.4, 1, 1, 1, 1)
	work := 600 * time.Millisecond
	for n := range uint64(4) {
		sc.Submit(t0, key(n), newJob(fmt.Sprint("fill", n), 0, tasks(2, 8, work)))
	}
	sc.TakeActions()
	sc.Submit(t0, key(10), newJob("waits", 0, tasks(1, 8, work)))
	is.Equal(len(sc.TakeActions().Starts), 0)
	short := newJob("short", 0, tasks(1, 8, 60*time.Millisecond))
	short.Slack = 2 * time.Second // its objective is the later one
	sc.Submit(t0, key(11), short)
	starts := sc.TakeActions().Starts
	is.Equal(len(starts), 1)
	is.True(sc.speedOf(starts[0].At.ID) < 0.8)
}

// Guards against a task that waits for a faster endpoint on which its health allows no run.
func TestTaskDoesNotWaitForAnEjectedEndpoint(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.5, 0.5, 0.5, 0.5, 0.5, 1)
	for _, s := range sc.order[:5] {
		s.speed = 0.7
	}
	fast := sc.endpoints["ep-05"]
	fast.fullUntil = t0.Add(10 * time.Millisecond)
	j := newJob("j1", 0, tasks(1, 8, 450*time.Millisecond)) // 643 ms on the others, 555 ms until the objective
	j.Stretch = 1.1
	sc.Submit(t0, key(1), j)
	is.Equal(len(sc.TakeActions().Starts), 0)
	for range 20 {
		sc.health.Record(t0, health.Report{Addr: fast.Addr, Kind: "p/q", End: health.Silent})
	}
	is.Equal(sc.maxRuns(t0, fast), 0)
	sc.Tick(t0.Add(time.Millisecond))
	is.Equal(len(sc.TakeActions().Starts), 1)
}

// Guards against the factor of a former process being used for the new one under its ID, which may run on other
// hardware.
func TestRestartedEndpointBeginsAnew(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.7, 0.7, 1.7)
	s := sc.endpoints["ep-02"]
	is.True(s.speed > 1.5)
	sc.Renewed(t0, t0, s.Endpoint, lease.Report{Clock: 1000, Born: 5})
	sc.Renewed(t0.Add(time.Second), t0.Add(time.Second), s.Endpoint, lease.Report{Clock: 2000, Born: 9})
	is.Equal(s.speed, 1.0)
}

// Guards against a healthy endpoint that counts as faulty for ever, because a peer's factor for it is far too high and
// the runs that show this are ignored.
func TestWrongFactorOfAPeerIsNotTakenForAFault(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.9, 1, 1, 1, 1.1)
	sc.MergeSpeeds(t0, newMixed(16, 1, 1, 1, 1, 1, 1, 1, 1, 2.5).Speeds(t0))
	sc.Own(lease.Info{ID: "ep-08", Addr: netipAddr(8), Pool: "p", Size: job.Size{Cores: 16, Memory: 64}}, 8)
	s := sc.endpoints["ep-08"]
	is.True(s.speed > 2)
	for range minOwnRuns {
		sc.recordRun(t0, s, 180*time.Millisecond, 100*time.Millisecond)
	}
	is.True(s.speed < 1.2)
	is.True(!sc.isSlow(s))
}

// Guards against long runs that are stopped as stuck between two whole percents of progress: at 50 s, each takes 0.5 s.
func TestLongRunIsNotStuckBetweenPercents(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 1, 1, 1)
	const work = 50 * time.Second
	j := newJob("j1", 0, tasks(1, 8, work))
	j.TimeLeft = 2 * work
	sc.Submit(t0, key(1), j)
	s := sc.TakeActions().Starts[0]
	begin(sc, t0, []Start{s})
	for at := 50 * time.Millisecond; at < 5*time.Second; at += 50 * time.Millisecond {
		list(sc, t0.Add(at), s.At.ID, int(100*at/work))
		sc.Keepalive(t0.Add(at), key(1), t0.Add(at))
		sc.Tick(t0.Add(at))
		is.Equal(len(sc.TakeActions().Stops), 0)
	}
}

// Guards against a run that is moved to another slow endpoint: it is stopped only because the fast one could end it in
// time, so it starts there, also when the job's own objective has passed.
func TestMovedRunStartsOnTheFastEndpoint(t *testing.T) {
	is := is.New(t)
	sc := newMixed(16, 0.4, 0.4, 2, 2) // 0.45 and 2.2 times the mean
	for _, s := range sc.order[2:] {
		s.fullUntil = t0.Add(560 * time.Millisecond)
	}
	sc.Submit(t0, key(1), newJob("j1", 0, tasks(1, 8, 200*time.Millisecond)))
	at := time.Duration(0)
	step := func() Actions {
		at += 10 * time.Millisecond
		sc.Keepalive(t0.Add(at), key(1), t0.Add(at))
		sc.Tick(t0.Add(at))
		return sc.TakeActions()
	}
	var starts []Start
	for len(starts) == 0 && at < 500*time.Millisecond {
		starts = step().Starts
	}
	is.Equal(len(starts), 1)
	run, since := starts[0], at
	begin(sc, t0.Add(at), starts)
	is.True(sc.speedOf(run.At.ID) < 1)
	var stops []Stop
	for len(stops) == 0 && at < 900*time.Millisecond {
		stops = step().Stops
		list(sc, t0.Add(at), run.At.ID, int(100*(at-since)/(1200*time.Millisecond))) // three times as long as expected
		stops = append(stops, sc.TakeActions().Stops...)
	}
	is.Equal(len(stops), 1)
	sc.Stopped(t0.Add(at), run.At, lease.RunID{Task: run.Run.Name, Num: run.Run.Num})
	finish(sc, t0.Add(at), run, lease.Gone)
	again := sc.TakeActions().Starts
	is.Equal(len(again), 1)
	is.True(sc.speedOf(again[0].At.ID) > 1)
}
