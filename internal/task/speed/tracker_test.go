package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

// play records runs on endpoints of the given speeds, one after the other. Run times are off by 0.32 (sigma) from what
// was expected, and 3 of 100 take 7 times as long.
func play(t *Tracker, r *rand.Rand, runs int, speeds ...float64) {
	for range runs {
		for i, f := range speeds {
			usual := 200 * time.Millisecond
			ran := float64(usual) * math.Exp(0.32*r.NormFloat64()) / f
			if r.Float64() < 0.03 {
				ran *= 7
			}
			t.Record(t0, id(i), time.Duration(ran), usual)
		}
	}
}

func id(n int) string { return fmt.Sprintf("ep-%02d", n) }

func add(t *Tracker, n int) {
	for i := range n {
		t.Add(id(i), "")
	}
}

// Guards against placing by factors that single long tasks have moved: after 40 runs each, the factors have to be right
// up to a fifth.
func TestSpeedsOfMixedEndpointsAreFound(t *testing.T) {
	for _, kinds := range [][]float64{{0.7, 0.7, 1.7}, {0.8, 1, 1.25}} {
		is := is.New(t)
		tr := New()
		var speeds []float64
		mean := 0.0
		for i := range 30 {
			speeds = append(speeds, kinds[i%len(kinds)])
			mean += math.Log(speeds[i]) / 30
		}
		add(tr, len(speeds))
		play(tr, rand.New(rand.NewPCG(1, 1)), 40, speeds...)
		for i, f := range speeds {
			off := math.Abs(math.Log(tr.Factor(id(i)) / (f / math.Exp(mean))))
			is.True(off < math.Log(1.3))
		}
	}
}

// Guards against placing by noise where all endpoints are alike.
func TestAlikeEndpointsAreUsual(t *testing.T) {
	is := is.New(t)
	tr := New()
	speeds := make([]float64, 32)
	for i := range speeds {
		speeds[i] = 1
	}
	add(tr, len(speeds))
	r := rand.New(rand.NewPCG(2, 1))
	unusual, all := 0, 0
	for range 100 {
		play(tr, r, 1, speeds...)
		for i := range speeds {
			all++
			if f := tr.Factor(id(i)); f != 1 {
				unusual++
				is.True(f > 0.7 && f < 1.43)
			}
		}
	}
	t.Logf("unusual %d of %d", unusual, all)
	is.True(float64(unusual) < 0.1*float64(all))
}

// Guards against a factor that stays wrong: a peer's estimate is corrected within 20 runs.
func TestWrongFactorIsCorrected(t *testing.T) {
	is := is.New(t)
	tr := New()
	add(tr, 9)
	speeds := make([]float64, 9)
	for i := range speeds {
		speeds[i] = 1
	}
	r := rand.New(rand.NewPCG(3, 1))
	play(tr, r, 30, speeds...)
	tr.remember(hash("ep-09"), heard{log: math.Log(2.2), at: t0})
	tr.Add("ep-09", "")
	is.True(tr.Factor("ep-09") > 2)
	play(tr, r, 20, append(speeds, 1)...)
	is.True(tr.Factor("ep-09") < 1.4)
}

// Guards against a new endpoint of a slow kind that is taken for a usual one until it has made jobs late.
func TestNewEndpointStartsWithTheMeanOfItsKind(t *testing.T) {
	is := is.New(t)
	tr := New()
	for i := range 12 {
		tr.Add(id(i), fmt.Sprint("kind-", i%2))
	}
	speeds := make([]float64, 12)
	for i := range speeds {
		speeds[i] = []float64{0.7, 1.4}[i%2]
	}
	play(tr, rand.New(rand.NewPCG(4, 1)), 40, speeds...)
	is.Equal(tr.Add("new-slow", "kind-0"), "kind")
	tr.Add("new-fast", "kind-1")
	tr.Add("new", "kind-2")
	is.True(tr.Factor("new-slow") < 0.85)
	is.True(tr.Factor("new-fast") > 1.2)
	is.Equal(tr.Factor("new"), 1.0)
}

// Guards against an owner that takes endpoints over and knows nothing of them: entries carry factors to other VMs.
func TestFactorsSurviveTheirTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := New(), New()
		n := rapid.IntRange(1, 40).Draw(t, "endpoints")
		for i := range n {
			from.remember(hash(id(i)), heard{log: rapid.Float64Range(math.Log(MinFactor), math.Log(MaxFactor)).Draw(t, "log"), at: t0})
			from.Add(id(i), "")
		}
		sent := from.All(t0.Add(time.Second))
		if len(sent) > n*entrySize {
			t.Fatalf("%d bytes for %d endpoints", len(sent), n)
		}
		to.Merge(t0, sent)
		for i := range n {
			to.Add(id(i), "")
			if off := math.Abs(math.Log(to.Factor(id(i)) / from.Factor(id(i)))); off > math.Log1p(MinChange)+0.02 {
				t.Fatalf("%s: %f became %f", id(i), from.Factor(id(i)), to.Factor(id(i)))
			}
		}
	})
}

// Guards against endpoints whose factor is never sent while others are repeated.
func TestChangesSendsEveryEndpoint(t *testing.T) {
	is := is.New(t)
	from, to := New(), New()
	const n = 30
	add(from, n)
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = []float64{0.5, 2}[i%2]
	}
	play(from, rand.New(rand.NewPCG(5, 1)), 40, speeds...)
	for range 8 {
		e := from.Changes(t0, 8)
		is.True(len(e) <= 8*entrySize)
		to.Merge(t0, e)
	}
	for i := range n {
		to.Add(id(i), "")
		is.True((to.Factor(id(i)) > 1.2) == (speeds[i] > 1))
	}
	alike := New()
	add(alike, n)
	is.Equal(len(alike.Changes(t0, 8)), 0) // nothing is sent where endpoints are alike
}

// Guards against a peer's estimate that replaces what this VM has measured, and against old ones that stay.
func TestOwnEstimateGoesBeforeAPeers(t *testing.T) {
	is := is.New(t)
	tr := New()
	add(tr, 6)
	speeds := []float64{1, 1, 1, 1, 1, 1}
	play(tr, rand.New(rand.NewPCG(6, 1)), 30, speeds...)
	before := tr.Factor(id(0))
	tr.Merge(t0, appendEntry(nil, hash(id(0)), math.Log(2), 0))
	is.Equal(tr.Factor(id(0)), before)
	tr.Merge(t0, appendEntry(nil, hash("other"), math.Log(2), 0))
	tr.Changes(t0.Add(maxAge+time.Second), 8)
	is.Equal(tr.Add("other", ""), "kind")
	tr.Merge(t0, []byte{1, 2, 3}) // an entry that was cut off is no entry
}

// Guards against endpoints without runs that look slow once the others have run: declared run times that are too long by
// half say nothing about them.
func TestEndpointWithoutRunsKeepsItsFactor(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.remember(hash(id(2)), heard{log: math.Log(1.5), at: t0})
	add(tr, 3)
	for range 30 {
		tr.Record(t0, id(0), 100*time.Millisecond, 200*time.Millisecond)
	}
	is.Equal(tr.Factor(id(0)), 1.0)
	is.Equal(tr.Factor(id(1)), 1.0)
	is.True(math.Abs(tr.Factor(id(2))-1.5) < 0.01)
}

func ExampleTracker() {
	tr := New()
	for _, name := range []string{"a", "b", "c"} {
		tr.Add(name, "")
	}
	for range 30 {
		tr.Record(t0, "a", 200*time.Millisecond, 200*time.Millisecond)
		tr.Record(t0, "b", 200*time.Millisecond, 200*time.Millisecond)
		tr.Record(t0, "c", 400*time.Millisecond, 200*time.Millisecond)
	}
	fmt.Printf("%.0f %.0f\n", tr.Factor("a")/tr.Factor("c"), tr.Factor("b")/tr.Factor("a"))
	// Output: 2 1
}
