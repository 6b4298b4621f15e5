package owner

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/share"
)

// heavyDay multiplies the rates of a heavy day: all ranks three times as often, and then rank 2 eight times.
func heavyDay(rank int, at time.Duration) float64 {
	switch {
	case at >= 2*time.Second && at < 9*time.Second:
		return 3
	case at >= 9*time.Second && at < 14*time.Second && rank == 2:
		return 8
	default:
		return 1
	}
}

// Guards against a rank with a share that gets what earlier ranks leave on a heavy day, or more than its share while
// they want the rest. Three points are what callers of the share are promised.
func TestReplayOfHeavyDayGivesTheShare(t *testing.T) {
	is := is.New(t)
	const seeds = 4
	mean := map[bool]float64{}
	for _, on := range []bool{false, true} {
		cfg := Config{}
		if on {
			cfg.Shares = map[int]float64{2: 0.4}
		}
		for seed := range uint64(seeds) {
			p := newReplay(cfg, 32)
			p.from = 3500 * time.Millisecond // after the runs of the usual load
			p.play(drawArrivals(seed, 9*time.Second, heavyDay), 9*time.Second)
			p.check(t)
			part := p.used[2] / p.waiting
			mean[on] += part / seeds
			urgent, ofUrgent := p.inTime(0)
			late, ofLate := p.inTime(2)
			t.Logf("share %v, seed %d: %.3f of the cores while work waits; in time %d of %d urgent, %d of %d of rank 2", on, seed, part, urgent, ofUrgent, late, ofLate)
		}
	}
	t.Logf("%.3f without, %.3f with a share of 0.4", mean[false], mean[true])
	is.True(math.Abs(mean[true]-0.4) <= 0.03)
	is.True(mean[false] < 0.3)
}

// Guards against a share that is given only where its rank's work waits: of two owners one has all work of rank 2, and
// its peer's cores count too. They exchange reports each 0.3 s, as between failure domains.
func TestOwnerWithAllWorkMakesUpForItsPeer(t *testing.T) {
	is := is.New(t)
	const report = 300 * time.Millisecond
	factor := func(with bool) func(int, time.Duration) float64 {
		return func(rank int, _ time.Duration) float64 {
			if rank < 2 {
				return 3
			}
			if with {
				return 6
			}
			return 0.001
		}
	}
	cfg := Config{Shares: map[int]float64{2: 0.25}}
	owners := []*replay{newReplay(cfg, 32), newReplay(cfg, 32)}
	arrivals := [][]arrival{drawArrivals(1, 10*time.Second, factor(true)), drawArrivals(2, 10*time.Second, factor(false))}
	for at := report; at <= 10*time.Second; at += report {
		for i, p := range owners {
			p.from = 4 * time.Second
			k := 0
			for k < len(arrivals[i]) && arrivals[i][k].at <= at {
				k++
			}
			p.play(arrivals[i][:k], at)
			arrivals[i] = arrivals[i][k:]
		}
		for i, p := range owners {
			peer := owners[1-i]
			p.sc.AddShares(p.now, key(uint64(i)).VM, peer.sc.Shares())
		}
	}
	all, cores := 0.0, 0.0
	for _, p := range owners {
		p.check(t)
		all += p.used[2]
		cores += p.waiting
	}
	t.Logf("%.3f of the cores of both, %.3f of those of the owner with the work", all/cores, owners[0].used[2]/owners[0].waiting)
	is.True(math.Abs(all/cores-0.25) <= 0.03)
}

// shareOwner returns an owner of two endpoints of 16 cores on which runs of the given ranks need 8 cores each, and
// waiting jobs of ranks 0 and 2 with a task each.
func shareOwner(share float64, ranks ...int) (*Scheduler, []Start) {
	sc := newScheduler(16, 16)
	if share > 0 {
		sc.cfg.Shares = map[int]float64{2: share}
	}
	for i, r := range ranks {
		sc.Submit(t0, key(uint64(i+1)), newJob(fmt.Sprint(i), r, tasks(1, 8, 100*time.Millisecond)))
	}
	first := sc.TakeActions().Starts
	begin(sc, t0, first)
	for i, r := range []int{0, 2} {
		j := newJob(fmt.Sprintf("w%d", r), r, tasks(1, 8, 100*time.Millisecond))
		j.Slack = time.Second
		sc.Submit(t0, key(uint64(10+i)), j)
	}
	sc.Tick(t0)
	return sc, first
}

// Guards against a rank below its share that waits behind earlier ones, and against precedence for one that has it.
func TestRankBelowItsShareGoesFirst(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64
		ranks []int
		peer  *share.Report
		want  int
	}{
		{"no share", 0, []int{0, 0, 0, 0}, nil, 0},
		{"below", 0.4, []int{0, 0, 0, 0}, nil, 2},
		{"at its share", 0.4, []int{0, 0, 2, 2}, nil, 0},
		{"a peer gives it", 0.4, []int{0, 0, 0, 0}, &share.Report{Pool: "p", Cores: 32, Ranks: []share.Use{{Rank: 2, Used: 28}}}, 0},
		{"a peer lacks room for its work", 0.4, []int{0, 0, 2, 0}, &share.Report{Pool: "p", Cores: 32, Ranks: []share.Use{{Rank: 2, Used: 0, Waiting: 100}}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sc, first := shareOwner(c.share, c.ranks...)
			if c.peer != nil {
				sc.AddShares(t0, home, []share.Report{*c.peer})
				sc.Tick(t0)
			}
			sc.TakeActions()
			finish(sc, t0.Add(10*time.Millisecond), first[0], lease.Done)
			starts := sc.TakeActions().Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Run.Task.Job, fmt.Sprintf("w%d", c.want))
		})
	}
}

// Guards against a gang that starts in part because its rank has a share, and then holds room without progress.
func TestShareStartsNoPartOfAGang(t *testing.T) {
	is := is.New(t)
	sc, first := shareOwner(0.4, 0, 0, 0, 0)
	gang := tasks(3, 8, 100*time.Millisecond)
	gang.Gang = true
	j := newJob("a", 2, gang)
	j.Slack = 200 * time.Millisecond // goes before w2
	sc.Submit(t0, key(20), j)
	sc.Tick(t0)
	sc.TakeActions()
	finish(sc, t0.Add(10*time.Millisecond), first[0], lease.Done)
	starts := sc.TakeActions().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Run.Task.Job, "w2")
}

// Guards against admission by the order of the queue alone: a job that has room by its rank's share is refused because
// of the work of earlier ranks, and one of theirs is accepted on room that the share takes.
func TestForecastFollowsTheShare(t *testing.T) {
	is := is.New(t)
	waits := map[bool][2]time.Duration{}
	for _, on := range []bool{false, true} {
		share := 0.0
		if on {
			share = 0.4
		}
		sc, _ := shareOwner(share, 0, 0, 0, 0)
		for n := range uint64(5) {
			j := newJob(fmt.Sprint("x", n), 0, tasks(4, 8, 100*time.Millisecond))
			j.Slack = 10 * time.Second
			sc.Submit(t0, key(30+n), j)
			k := newJob(fmt.Sprint("y", n), 2, tasks(2, 8, 100*time.Millisecond))
			k.Slack = 10 * time.Second
			sc.Submit(t0, key(40+n), k)
		}
		sc.Tick(t0)
		later, earlier := newJob("l", 2, tasks(1, 8, 100*time.Millisecond)), newJob("e", 0, tasks(1, 8, 100*time.Millisecond))
		later.Slack, earlier.Slack = time.Second, 20*time.Second
		waits[on] = [2]time.Duration{
			sc.forecast(t0, newEntry(t0, key(50), later, 100*time.Millisecond, sc.cfg.Limits)),
			sc.forecast(t0, newEntry(t0, key(51), earlier, 100*time.Millisecond, sc.cfg.Limits)),
		}
	}
	t.Logf("wait of rank 2 and of rank 0: %v without, %v with the share", waits[false], waits[true])
	is.True(waits[true][0] < waits[false][0]/2)
	is.True(waits[true][1] > waits[false][1])
}

// Guards against precedence for a rank that holds its share while an earlier one has a task for the room, and against
// two tasks on the same room or a task that starts twice.
func TestPrecedenceEndsAtTheShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		part := rapid.Float64Range(0.05, 0.9).Draw(rt, "share")
		p := newReplay(Config{Shares: map[int]float64{2: part}, Fill: rapid.Bool().Draw(rt, "fill")}, rapid.IntRange(2, 8).Draw(rt, "endpoints"))
		p.onStarts = func(starts []Start) {
			i := slices.IndexFunc(p.sc.shares.guarantees, func(g *guarantee) bool { return g.rank == 2 })
			if i < 0 || len(starts) == 0 {
				return
			}
			g, s := p.sc.shares.guarantees[i], starts[len(starts)-1]
			need := s.Run.Need.Cores
			if s.Run.Job.(*entry).Rank != 2 || p.sc.ShareCores(2)-need/2 <= g.target()+1e-6 {
				return
			}
			for _, e := range p.sc.queue { // what fits here and goes first in the queue should have started
				if e.Rank < 2 && !e.late && e.Steps[0].Need.Cores <= s.At.Free().Cores+need {
					rt.Fatalf("rank 2 holds %.1f of %.1f cores and started on %s before %s", p.sc.ShareCores(2), g.target(), s.At.ID, e.ID)
				}
			}
		}
		p.play(drawArrivals(rapid.Uint64().Draw(rt, "seed"), 600*time.Millisecond, times(rapid.Float64Range(0.3, 2).Draw(rt, "load"))), time.Second)
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
