package model

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var faults = flag.Int("faults", 3, "faults of a sequence")

// Every sequence of up to so many faults: no two runs of the task at the same time, none
// after it was done, no "not run" of a job that began, none that goes on for nobody; neither
// with the job's caller at its owner nor at another VM.
func TestNoSequenceOfFaultsBreaksAPromise(t *testing.T) {
	for name, s := range setups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plays, trace := Explore(*faults, None, s)
			t.Logf("%d sequences", plays)
			if trace != nil {
				t.Error(strings.Join(trace, "\n"))
			}
		})
	}
}

var setups = map[string]Setup{"own": Own, "other": Other}

// Each clause is needed: without it a short sequence breaks a promise.
func TestEachClauseIsNeeded(t *testing.T) {
	for name, x := range map[string]struct {
		fault Fault
		setup Setup
	}{
		"a refusal after an unanswered start proves nothing":   {RefusalProves, Own},
		"an unanswered start may have begun":                   {DoubtIsOver, Own},
		"the next owner's fence is higher":                     {SameFence, Own},
		"what runs on a silent endpoint goes on":               {SilenceIsEnd, Own},
		"a job that comes late was asked for when it was sent": {HandReadNow, Other},
		"a word that comes late is as old as when it was sent": {WordReadNow, Other},
		"tasks start on a fresh word":                          {AnyAge, Other},
		"no lease outlasts the word of a run":                  {LeaseAnyway, Other},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			plays, trace := Explore(3, x.fault, x.setup)
			t.Logf("%d sequences\n%s", plays, strings.Join(trace, "\n"))
			is.True(trace != nil)
		})
	}
}
