package owner

import (
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

var (
	t0      = time.Unix(1_700_000_000, 0)
	home    = netip.MustParseAddrPort("10.0.0.9:1")
	errMute = errors.New("no answer")
)

// bench is a book with endpoints that are known and idle.
func bench(cores ...float64) *Book {
	b := New(Config{Limits: lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond}, Far: 2, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	for i, c := range cores {
		id := string(rune('a' + i))
		b.Own(lease.Info{
			ID: id, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80), Pool: "p",
			Labels: []string{"rack-" + id}, Size: job.Size{Cores: c, Memory: 64},
		}, 7)
		b.Renewed(t0, t0, b.Find(id), lease.Report{Clock: 1000})
	}
	b.Take()
	return b
}

func key(n uint64) Key { return Key{VM: home, Inc: 1, Call: n} }

func tasks(n int, cores float64, run time.Duration) batch.Step {
	return batch.Step{Count: n, Need: job.Size{Cores: cores}, Run: run}
}

func of(id string, rank int, steps ...batch.Step) *batch.Job {
	return &batch.Job{ID: id, Queue: "q" + id[:1], Pool: "p", Rank: rank, Attempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond, Left: 3 * time.Second, Steps: steps}
}

// begin confirms all starts.
func begin(b *Book, now time.Time, starts []Start) {
	for _, s := range starts {
		b.Started(now, s.At, s.Run)
	}
}

var serial = map[*lease.Endpoint]int64{}

// finish lets a run end.
func finish(b *Book, now time.Time, s Start, how lease.How) {
	serial[s.At]++
	r := lease.Report{Clock: 2000, Ended: []lease.Ended{{Serial: serial[s.At], Name: s.Run.Name, Num: s.Run.Num, How: how}}}
	for _, x := range s.At.Runs {
		if x != s.Run && x.Stage != lease.Sent {
			r.Running = append(r.Running, lease.Listed{Name: x.Name, Num: x.Num, Percent: 50})
		}
	}
	b.Renewed(now, now, s.At, r)
}

func TestTasksArePackedAndTheJobIsDoneWithItsLast(t *testing.T) {
	is := is.New(t)
	b := bench(64, 96)
	b.Submit(t0, key(1), of("j1", 0, tasks(5, 30, 100*time.Millisecond)))
	a := b.Take()
	is.Equal(len(a.Starts), 5) // 64 takes two, 96 three
	begin(b, t0, a.Starts)
	for i, s := range a.Starts {
		finish(b, t0.Add(100*time.Millisecond), s, lease.Done)
		is.Equal(len(b.Take().Tells), i/4)
	}
	is.Equal(b.Jobs(), 0)
}

func TestUrgentJobsStartFirstWhenRoomComes(t *testing.T) {
	is := is.New(t)
	b := bench(30)
	b.Submit(t0, key(1), of("x1", 1, tasks(1, 30, 50*time.Millisecond)))
	first := b.Take().Starts
	begin(b, t0, first)
	b.Submit(t0, key(2), of("y1", 2, tasks(1, 30, 500*time.Millisecond)))
	b.Submit(t0, key(3), of("z1", 0, tasks(1, 30, 50*time.Millisecond)))
	is.Equal(len(b.Take().Starts), 0)
	finish(b, t0.Add(50*time.Millisecond), first[0], lease.Done)
	next := b.Take().Starts
	is.Equal(len(next), 1)
	is.Equal(next[0].Run.Task.Job, "z1")
}

// Symptom: jobs wait for seconds and are then refused. Sequence: more work comes than
// can be done. Cause: it is not foreseen when the job comes.
func TestJobThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := bench(30)
	n := uint64(0)
	refused := 0
	for range 30 {
		n++
		b.Submit(t0, key(n), of("w"+string(rune('a'+n)), 1, tasks(1, 30, 200*time.Millisecond)))
		for _, tell := range b.Take().Tells {
			is.Equal(tell.Answer.Outcome, job.Refused)
			is.Equal(tell.Answer.Reason, job.Overload)
			is.True(tell.Answer.Retry > 0)
			refused++
		}
	}
	is.True(refused >= 20)
}

// Symptom: a caller is told that its job did not run, and it did. Sequence: a start gets
// no answer; the caller leaves or its time runs out. Cause: nothing was confirmed, so
// nothing is thought to have begun.
func TestUnansweredStartIsNeverCalledNotRun(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	s := b.Take().Starts[0]
	b.Unsure(t0, s.At, s.Run, errMute)
	b.Cancel(t0, key(1), "its caller left")
	a := b.Take()
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown)
	is.True(len(a.Stops) > 0)
}

func TestRefusedStartIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	s := b.Take().Starts[0]
	b.Refused(t0, s.At, s.Run, agent.NoRoom)
	next := b.Take().Starts
	is.Equal(len(next), 1)
	is.True(next[0].At != s.At)
	is.Equal(next[0].Run.Num, 2)
	b.Unsent(t0, next[0].At, next[0].Run, errMute)
	b.Cancel(t0, key(1), "its caller left")
	is.Equal(b.Take().Tells[0].Answer.Outcome, job.Refused) // nothing ever began
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	now := t0
	for i := range 3 {
		a := b.Take()
		is.Equal(len(a.Starts), 1)
		is.Equal(a.Starts[0].Run.Num, i+1)
		begin(b, now, a.Starts)
		now = now.Add(10 * time.Millisecond)
		finish(b, now, a.Starts[0], lease.Failed)
	}
	a := b.Take()
	is.Equal(a.Tells[0].Answer.Outcome, job.Failed)
	is.Equal(len(a.Starts), 0)
}

// Symptom: a task runs twice. Sequence: a caller's connection breaks, its job is being
// stopped, and the caller submits it again. Cause: the new job starts beside the old runs.
// What happens: a task that has failed at two endpoints is tried at one of these a third time, though a good
// one has room, and its job is called failed. Why: a run that began before an endpoint turned bad is done
// there after the failure, and took the mark of the failure away. What showed it: "run failed" of runs 2 and
// 3 of one task at the same endpoint, 205 ms apart.
func TestRunFromBeforeTheFailureProvesNothing(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64, 64)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	b.Submit(t0, key(1), of("a1", 0, tasks(1, 30, 200*time.Millisecond)))
	old := b.Take().Starts[0]
	begin(b, t0, []Start{old})
	b.Submit(at(1), key(2), of("b1", 0, tasks(1, 30, 200*time.Millisecond)))
	first := b.Take().Starts[0]
	begin(b, at(1), []Start{first})
	is.Equal(first.At, old.At)
	finish(b, at(30), first, lease.Failed)
	second := b.Take().Starts[0]
	begin(b, at(30), []Start{second})
	finish(b, at(40), old, lease.Done)
	finish(b, at(60), second, lease.Failed)
	b.Tick(at(400))
	third := b.Take().Starts[0]
	is.True(third.At != first.At)
	is.True(third.At != second.At)
}

func TestJobSubmittedAgainWaitsForItsOldRuns(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	s := b.Take().Starts[0]
	begin(b, t0, []Start{s})
	b.Submit(t0, key(2), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	a := b.Take()
	is.Equal(len(a.Starts), 0)
	is.Equal(a.Tells[0].Answer.Outcome, job.Unknown)  // the first
	is.Equal(a.Tells[1].Answer.Reason, job.StillRuns) // the second: come back soon
	finish(b, t0, s, lease.Gone)
	b.Submit(t0, key(3), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	again := b.Take().Starts
	is.Equal(len(again), 1)
	is.True(again[0].Run.Num > s.Run.Num)
}

func TestStepsLabelsSpreadAndGangs(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64)
	second := tasks(1, 10, 50*time.Millisecond)
	second.After = []int{0}
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 10, 50*time.Millisecond), second))
	s := b.Take().Starts
	is.Equal(len(s), 1)
	begin(b, t0, s)
	finish(b, t0, s[0], lease.Done)
	s = b.Take().Starts
	is.Equal(s[0].Run.Step, 1)
	begin(b, t0, s)
	finish(b, t0, s[0], lease.Done)
	b.Take()

	label := tasks(2, 10, 50*time.Millisecond)
	label.Label = "rack-b"
	b.Submit(t0, key(2), of("l1", 0, label))
	for _, x := range b.Take().Starts {
		is.Equal(x.At.ID, "b")
	}
	spread := tasks(2, 10, 50*time.Millisecond)
	spread.Spread = 1
	b.Submit(t0, key(3), of("s1", 0, spread))
	x := b.Take().Starts
	is.True(len(x) == 2 && x[0].At != x[1].At)
	gang := tasks(4, 30, 50*time.Millisecond) // two fit here, one there
	gang.Gang = true
	b.Submit(t0, key(4), of("g1", 0, gang))
	is.Equal(len(b.Take().Starts), 0)
	missing := tasks(1, 10, 50*time.Millisecond)
	missing.Label = "rack-z"
	b.Submit(t0, key(5), of("m1", 0, missing))
	is.Equal(b.Take().Tells[0].Answer.Reason, job.NoEndpoint)
}

func TestGivenEndpointsGetOnlyJobsThatHaveBegun(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	b.Submit(t0, key(1), of("j1", 0, tasks(3, 30, 100*time.Millisecond)))
	s := b.Take().Starts
	is.Equal(len(s), 2)
	begin(b, t0, s)
	b.Give("a")
	b.Submit(t0, key(2), of("k1", 0, tasks(1, 4, 100*time.Millisecond)))
	a := b.Take()
	is.Equal(a.Tells[0].Answer.Outcome, job.Refused)
	is.Equal(len(b.Release()), 0)
	finish(b, t0, s[0], lease.Done)
	s2 := b.Take().Starts
	is.Equal(len(s2), 1) // the job's third task
	begin(b, t0, s2)
	finish(b, t0, s[1], lease.Done)
	finish(b, t0, s2[0], lease.Done)
	at := b.Find("a")
	b.Renewed(t0, t0, at, lease.Report{Clock: 3000}) // the last end is taken note of
	is.Equal(b.Release(), []string{"a"})
}

func TestLostEndpointsTasksStartElsewhere(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 100*time.Millisecond)))
	s := b.Take().Starts
	begin(b, t0, s)
	b.Lose(t0, s[0].At.ID, false, "another VM owns it")
	is.Equal(len(b.Take().Starts), 0) // it may run until the lease ends
	b.Tick(t0.Add(time.Second))
	next := b.Take().Starts
	is.Equal(len(next), 1)
	is.True(next[0].At.ID != s[0].At.ID)
	begin(b, t0.Add(time.Second), next)
	b.Lose(t0.Add(time.Second), next[0].At.ID, true, "it was restarted")
	is.Equal(b.Jobs(), 1) // and waits for an endpoint
}

// Symptom: in a burst most jobs are late, though the endpoints could do most of them in
// time. Sequence: more work comes than the endpoints can do; a job that will be late waits
// behind the others, takes what is free for a moment, and the next in time waits for it.
// Cause: late jobs are begun whenever there is room. While less comes than can be done they
// use what would stay idle.
func TestLateJobIsRefusedOnlyWhileMoreComesThanCanBeDone(t *testing.T) {
	is := is.New(t)
	late := of("l1", 1, tasks(1, 27, 100*time.Millisecond))
	calm := bench(64)
	for _, id := range []string{"a1", "a2"} { // the one endpoint is full for 0.3 s
		calm.Submit(t0, key(uint64(id[1])), of(id, 0, tasks(1, 27, 300*time.Millisecond)))
	}
	then := t0.Add(195 * time.Millisecond)
	calm.Submit(then, key(9), late)
	is.Equal(len(calm.Take().Tells), 0) // it waits
	crowd := bench(64)
	for _, id := range []string{"a1", "a2"} {
		crowd.Submit(t0, key(uint64(id[1])), of(id, 0, tasks(1, 27, 300*time.Millisecond)))
	}
	for _, id := range []string{"a3", "a4", "a5", "a6"} {
		crowd.Submit(then, key(uint64(id[1])), of(id, 0, tasks(1, 27, 300*time.Millisecond)))
	}
	crowd.Take()
	crowd.Submit(then, key(9), late)
	told := crowd.Take().Tells
	is.Equal(len(told), 1)
	is.Equal(told[0].Answer.Outcome, job.Refused)
	is.True(told[0].Answer.Retry > 0)
}

// Symptom: on a quiet day a job is refused though nobody else waits. Sequence: jobs too wide
// to be done in time are refused; the next would be a little late. Cause: work that was
// turned away counts as pressure, and there is nobody whom the late job could hold up.
func TestLateJobIsTakenWhileNobodyInTimeWaits(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	for _, id := range []string{"a1", "a2"} {
		b.Submit(t0, key(uint64(id[1])), of(id, 0, tasks(1, 27, 300*time.Millisecond)))
	}
	begin(b, t0, b.Take().Starts)
	then := t0.Add(195 * time.Millisecond)
	for n := range uint64(3) {
		b.Submit(then, key(20+n), of("w"+string(rune('a'+n)), 0, tasks(8, 27, 100*time.Millisecond)))
	}
	is.Equal(len(b.Take().Tells), 3) // refused
	b.Submit(then, key(9), of("l1", 1, tasks(1, 27, 100*time.Millisecond)))
	is.Equal(len(b.Take().Tells), 0)
}

// Symptom: a caller hears that its job was given up only when most of its time is over.
// Sequence: a job is taken, waits, and can't be in time any more while the load is over
// what can be done. Cause: it is held for as long as an answer is of any use.
func TestWaitingJobIsRefusedWhenItsObjectiveIsLost(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	for _, id := range []string{"a1", "a2"} {
		b.Submit(t0, key(uint64(id[1])), of(id, 0, tasks(1, 27, 300*time.Millisecond)))
	}
	first := b.Take().Starts
	begin(b, t0, first)
	then := t0.Add(200 * time.Millisecond)
	b.Submit(then, key(9), of("w1", 1, tasks(1, 27, 600*time.Millisecond))) // it can wait 0.34 s
	is.Equal(len(b.Take().Tells), 0)
	for n := range uint64(8) { // urgent ones come meanwhile
		b.Submit(then.Add(50*time.Millisecond), key(20+n), of("u"+string(rune('a'+n)), 0, tasks(1, 27, 300*time.Millisecond)))
	}
	b.Take()
	refused := func() (n int) {
		for _, x := range b.Take().Tells {
			if x.Key == key(9) {
				is.Equal(x.Answer.Outcome, job.Refused)
				n++
			}
		}
		return n
	}
	b.Tick(then.Add(290 * time.Millisecond))
	is.Equal(refused(), 0)
	b.Tick(then.Add(360 * time.Millisecond))
	is.Equal(refused(), 1)
}

// Guards against tasks that wait for the lease though the next owner has stopped them. The bound is what a stop
// takes, and two heartbeats.
func TestTasksOfATakenEndpointGoOnSoon(t *testing.T) {
	is := is.New(t)
	b := bench(64, 64)
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, 200*time.Millisecond)))
	a := b.Take()
	begin(b, t0, a.Starts)
	now := t0.Add(50 * time.Millisecond)
	taken := a.Starts[0]
	b.Lose(now, taken.At.ID, false, "another VM owns it")
	b.Take()
	next := bench()
	next.Own(taken.At.Info, taken.Fence+1)
	next.Renewed(now, now, next.Find(taken.At.ID), lease.Report{Clock: 1050, Running: []lease.Listed{{Name: taken.Run.Name, Num: taken.Run.Num}}})
	is.Equal(len(next.Take().Stops), 1)
	is.Equal(len(next.Cleared(now)), 0) // it may still run
	stopped := now.Add(50 * time.Millisecond)
	next.Renewed(stopped, stopped, next.Find(taken.At.ID), lease.Report{Clock: 1100})
	next.Cleared(stopped.Add(100 * time.Millisecond)) // this heartbeat is lost
	b.Tick(now.Add(249 * time.Millisecond))
	is.Equal(len(b.Take().Starts), 0) // before it hears that nothing runs there any more
	for _, c := range next.Cleared(stopped.Add(200 * time.Millisecond)) {
		b.Yield(now.Add(250*time.Millisecond), c)
	}
	b.Tick(now.Add(250 * time.Millisecond))
	a = b.Take()
	is.Equal(len(a.Starts)+len(a.Tells), 1)
}
