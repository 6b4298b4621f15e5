package model

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var faults = flag.Int("faults", 3, "faults of a sequence")

// Every sequence of up to so many faults: no two runs of the task at the same time, none
// after it was done, no "not run" of a job that began, none that goes on for nobody.
func TestNoSequenceOfFaultsBreaksAPromise(t *testing.T) {
	plays, trace := Explore(*faults, None)
	t.Logf("%d sequences", plays)
	if trace != nil {
		t.Error(strings.Join(trace, "\n"))
	}
}

// Each clause is needed: without it a short sequence breaks a promise.
func TestEachClauseIsNeeded(t *testing.T) {
	for name, f := range map[string]Fault{
		"a refusal after an unanswered start proves nothing": RefusalProves,
		"an unanswered start may have begun":                 DoubtIsOver,
		"the next owner's fence is higher":                   SameFence,
		"what runs on a silent endpoint goes on":             SilenceIsEnd,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plays, trace := Explore(3, f)
			t.Logf("%d sequences\n%s", plays, strings.Join(trace, "\n"))
			is.True(trace != nil)
		})
	}
}
