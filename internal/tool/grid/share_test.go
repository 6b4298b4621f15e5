package grid

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/edge/serve"
)

// heavyDay multiplies the load of all kinds by three for 7 s, and then that of the long kind by eight for 5 s.
func heavyDay(kind int, at time.Duration) float64 {
	switch {
	case at >= sharesFrom && at < sharesTo:
		return 3
	case at >= sharesTo && at < sharesTo+5*time.Second && kind == long:
		return 8
	default:
		return 1
	}
}

const (
	sharesFrom = 3 * time.Second
	sharesTo   = 10 * time.Second
)

// shareSetup returns a heavy day on which urgent and plain jobs alone ask for 1.5 times all cores, and the long ones for
// 0.6 of them, so that both have work waiting.
func shareSetup(seed uint64, shares map[string]float64) Setup {
	set := UserSetup(140)
	set.Seed, set.Options, set.Rate = seed, serve.Options{Shares: shares}, heavyDay
	return set
}

// settled is how long after a heavy day's beginning the share is measured: a long run, 0.9 s in the mean, and a half.
const settled = 1500 * time.Millisecond

// Guards against long jobs that get what urgent and plain ones leave on a heavy day, though their rank has a share, and
// against earlier ranks that lose more than that. Three points are what callers of the share are promised.
func TestHeavyDayGivesLongJobsTheirShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const seeds = 3
	mean := map[bool]float64{}
	var long2 [2]Count
	for n, shares := range []map[string]float64{nil, {"2": 0.4}} {
		for seed := range uint64(seeds) {
			set := shareSetup(seed+1, shares)
			use := measureUse(&set, "")
			g := simulate(t, set)
			use.learnJobs(g)
			part, while := use.part(long, "", sharesFrom+settled, sharesTo)
			later, _ := use.part(long, "", sharesTo+settled, sharesTo+5*time.Second)
			t.Logf("shares %v, seed %d: %.3f of the cores in %s with long work waiting, %.3f while only that is heavy", shares, seed+1, part, while, later)
			logPerKind(t, g, sharesFrom, sharesTo)
			mean[shares != nil] += part / seeds
			long2[n].Add(g.Counts(long, sharesFrom, sharesTo))
			is.True(later >= 0.37)
		}
	}
	t.Logf("%.3f of the cores without a share, %.3f with 0.4; long jobs in time %.3f, %.3f", mean[false], mean[true], long2[0].Share(), long2[1].Share())
	is.True(math.Abs(mean[true]-0.4) <= 0.03)
	is.True(mean[false] < mean[true])
	is.True(long2[1].Share() > long2[0].Share())
}

// Guards against a domain that doesn't give the share while it hears no other: it counts what it reaches.
func TestCutOffDomainGivesTheShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sum := 0.0
	const seeds = 3
	for seed := range uint64(seeds) {
		set := shareSetup(seed+1, map[string]float64{"2": 0.4})
		set.Faults = append(set.Faults, Fault{At: sharesFrom, Do: cutOff(sharesTo - sharesFrom)})
		use := measureUse(&set, "fd-c")
		g := simulate(t, set)
		use.learnJobs(g)
		part, while := use.part(long, "fd-c", sharesFrom+settled, sharesTo)
		t.Logf("seed %d: %.3f of the domain's cores in %s", seed+1, part, while)
		sum += part / seeds
	}
	t.Logf("%.3f of the domain's cores", sum)
	is.True(sum >= 0.37)
}

// Guards against urgent jobs that lose on a calm day because a later rank has a share that it doesn't need. The
// threshold is that of a calm day without shares.
func TestCalmDayWithSharesMeetsObjectives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := UserSetup(100)
	set.Options = serve.Options{Shares: map[string]float64{"2": 0.4}}
	g := simulate(t, set)
	logPerKind(t, g, set.Warmup, set.Warmup+set.Span)
	for i := range g.Kinds {
		is.True(g.Counts(i, set.Warmup, set.Warmup+set.Span).Share() >= 0.97)
	}
}

// Guards against broken promises under random faults with Fill and shares, and with VMs beside that have neither.
func TestRandomFaultsWithSharesBreakNoPromise(t *testing.T) {
	simulateRandom(t, func(s uint64) (set Setup, names string) {
		set = UserSetup(160)
		set.Seed, set.Span = s, 10*time.Second
		set.OptionsOf = func(n int) serve.Options {
			if n%3 == 2 {
				return serve.Options{}
			}
			return serve.Options{Fill: true, Shares: map[string]float64{"1": 0.2, "2": 0.4}}
		}
		set.Faults, names = RandomFaults(s, set.Span)
		return set, names
	})
}
