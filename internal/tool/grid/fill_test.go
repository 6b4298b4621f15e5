package grid

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/edge/serve"
)

// Guards against jobs lost, run twice or late because later ones were started first, in a burst of all kinds. The
// thresholds are those of such a burst without Fill.
func TestBurstWithFillIsServedAsWithout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	from, to := 4*time.Second, 8*time.Second
	var all, first Count
	for seed := range uint64(numSeeds) {
		set := UserSetup(120)
		set.Seed, set.Options = seed+1, serve.Options{Fill: true}
		set.Rate = burst(2.5, from, to, urgent, long, plain)
		g := simulate(t, set)
		logPerKind(t, g, from, to)
		all.Add(g.Counts(allKinds, from, to))
		first.Add(g.Counts(urgent, from, to))
	}
	t.Logf("urgent %.3f, all %.3f", first.Share(), all.Share())
	is.True(first.Share() >= 0.75)
	is.True(all.Share() >= 0.70)
	is.True(float64(all.Failed) <= 0.01*float64(all.Asked))
}
