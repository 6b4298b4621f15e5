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
var found = []uint64{
	61,  // late heartbeats of a lost VM kept its jobs running beside their next submission
	341, // an answer to a VM's earlier life was taken for that to another call
}

// Random faults, together and twice, under the usual load: no task runs twice at the
// same time, no job is called refused that began, no answer is partial, every run ends.
func TestRandomFaultsBreakNoPromise(t *testing.T) {
	random(t, func(s uint64) (set Setup, names string) {
		set = Users(110)
		set.Seed, set.Span = s, 10*time.Second
		set.Faults, names = Random(s, set.Span)
		return set, names
	})
}

// Guards against jobs that run on beside their next submission: links turn slow for a while, tasks run for seconds.
func TestRandomFaultsOnSlowLinksBreakNoPromise(t *testing.T) {
	random(t, func(s uint64) (set Setup, names string) {
		set = Users(110)
		for i := range set.Kinds {
			set.Kinds[i].Work = max(set.Kinds[i].Work, 1500*time.Millisecond)
		}
		set.Load /= 6
		set.Seed, set.Span, set.Link = s, 10*time.Second, 1_000_000
		set.Faults, names = RandomSlow(s, set.Span)
		return set, names
	})
}

// random plays seeds with callers that submit again after each outcome that is unknown.
func random(t *testing.T, setup func(seed uint64) (Setup, string)) {
	t.Helper()
	run := func(s uint64) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			set, names := setup(s)
			set.Again, set.Insist = true, 3
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
