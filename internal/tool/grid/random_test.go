package grid

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 6, "random fault sequences to play")
	seed  = flag.Uint64("seed", 1, "the first of them")
)

// found are seeds that once broke a promise, each with its cause.
var found = []uint64{}

// Random faults, together and twice, under the usual load: no task runs twice at the
// same time, no job is called refused that began, no answer is partial, every run ends.
func TestRandomFaultsBreakNoPromise(t *testing.T) {
	run := func(s uint64) {
		set := Users(110)
		set.Seed, set.Span = s, 10*time.Second
		var names string
		set.Faults, names = Random(s, set.Span)
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			g := play(t, set)
			c := g.Counts(every, 0, time.Hour)
			t.Logf("%s%+v", names, c)
		})
	}
	for _, s := range found {
		run(s)
	}
	for i := range *seeds {
		run(*seed + uint64(i))
	}
}
