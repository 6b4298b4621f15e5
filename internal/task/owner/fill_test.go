package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/lease"
)

// gapOwner returns an owner of one endpoint of 16 cores on which 7.3 are free beside a run, and waiting jobs of one
// task each, which need the given cores. The end of a short run makes it start them.
func gapOwner(fill bool, slack time.Duration, ranks []int, cores ...float64) *Scheduler {
	sc := newScheduler(16)
	sc.cfg.Fill = fill
	sc.Submit(t0, key(1), newJob("a", 0, tasks(1, 8.7, 100*time.Millisecond)))
	sc.Submit(t0, key(2), newJob("b", 0, tasks(1, 7.3, 100*time.Millisecond)))
	first := sc.TakeActions().Starts
	begin(sc, t0, first)
	for i, c := range cores {
		j := newJob(string(rune('c'+i)), ranks[i], tasks(1, c, 100*time.Millisecond))
		j.Slack = slack
		sc.Submit(t0, key(uint64(3+i)), j)
	}
	finish(sc, t0.Add(10*time.Millisecond), first[1], lease.Done)
	return sc
}

// Guards against 7.3 free cores being given to a task of 5.5 while one of 7.2 waits, and against a job that starts
// later because of it though it can't wait, or because of one of another rank.
func TestTaskThatFillsTheGapStartsFirst(t *testing.T) {
	same, mixed := []int{0, 0, 0}, []int{0, 1, 1}
	for _, c := range []struct {
		name  string
		fill  bool
		slack time.Duration
		ranks []int
		want  string
	}{
		{"off", false, time.Second, same, "c"},
		{"on", true, time.Second, same, "d"},
		{"no time to wait", true, 70 * time.Millisecond, same, "c"},
		{"first is urgent", true, time.Second, mixed, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sc := gapOwner(c.fill, c.slack, c.ranks, 5.5, 7.2, 6.9)
			starts := sc.TakeActions().Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Run.Task.Job, c.want)
		})
	}
}

// Guards against other VMs sending jobs for a gap of 2 cores that none of the tasks of 7 cores and more can use.
func TestLoadOffersNoGapThatNoTaskFits(t *testing.T) {
	is := is.New(t)
	for _, fill := range []bool{false, true} {
		sc := newScheduler(16, 16)
		sc.cfg.Fill = fill
		sc.Submit(t0, key(1), newJob("a", 0, tasks(2, 7, time.Second)))
		want := 2.0 + 16
		if fill {
			want = 16
		}
		is.Equal(sc.Load(t0).Free, want)
		is.Equal(sc.Load(t0).Total, 32.0)
	}
}

// Guards against urgent jobs that start later, or miss their objective, since others were passed over: twice the
// usual load of all ranks. One millisecond is the difference between two replays whose jobs differ by chance; the
// objective leaves urgent jobs 60 ms and more.
func TestFillDelaysNoUrgentJob(t *testing.T) {
	is := is.New(t)
	type outcome struct {
		mean    time.Duration
		share   float64
		started int
	}
	var got [2]outcome
	const seeds = 4
	for n, fill := range []bool{false, true} {
		in, all, sum := 0, 0, time.Duration(0)
		for seed := range uint64(seeds) {
			p := newReplay(Config{Fill: fill}, 32)
			p.play(drawArrivals(seed, 6*time.Second, times(2)), 8*time.Second)
			p.check(t)
			i, a := p.inTime(0)
			in, all = in+i, all+a
			for _, w := range p.waits(0) {
				sum += w
				got[n].started++
			}
		}
		got[n].mean, got[n].share = sum/time.Duration(got[n].started), float64(in)/float64(all)
		t.Logf("fill %v: %d urgent jobs started after %s on average, %.3f in time", fill, got[n].started, got[n].mean, got[n].share)
	}
	is.True(got[1].mean <= got[0].mean+time.Millisecond)
	is.True(got[1].share >= got[0].share-0.01)
	is.True(float64(got[1].started) >= 0.98*float64(got[0].started))
}

// Guards against two tasks on the same room, a task that starts twice, and a job that is passed over without end.
func TestFillKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newReplay(Config{Fill: true}, rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		all := drawArrivals(rapid.Uint64().Draw(rt, "seed"), 400*time.Millisecond, times(rapid.Float64Range(0.2, 2).Draw(rt, "load")))
		slack := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "slack")) * time.Millisecond
		for i := range all {
			all[i].job.Slack += slack
		}
		for at := time.Duration(0); at < 800*time.Millisecond; at += 20 * time.Millisecond {
			k := 0
			for k < len(all) && all[k].at <= at {
				k++
			}
			p.play(all[:k], at)
			all = all[k:]
			for _, e := range p.sc.jobs {
				if e.passed > 8 {
					rt.Fatalf("job %s was passed over %d times", e.ID, e.passed)
				}
			}
		}
		if p.overful {
			rt.Fatal("an endpoint has more runs than room")
		}
		for name, n := range p.tasks {
			if n > 1 {
				rt.Fatalf("%s started %d times", name, n)
			}
		}
	})
}
