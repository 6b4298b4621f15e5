package grid

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// simulate runs a setup in virtual time and fails the test on any violation.
func simulate(t *testing.T, set Setup) (g *Grid) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g = Run(set)
		for i, b := range g.Judge.Violations() {
			if i < 10 {
				t.Error(b)
			}
		}
		if n := g.Judge.Running(); n > 0 {
			t.Errorf("%d runs never ended", n)
		}
	})
	return g
}

// logPerKind logs how the jobs of each kind ended in a span.
func logPerKind(t *testing.T, g *Grid, from, to time.Duration) {
	t.Helper()
	for i, k := range g.Kinds {
		t.Logf("%-8s %+v", k.Name, g.Counts(i, from, to))
	}
	t.Logf("earned %.3f, starts %d, stopped %d", g.Earned(from, to), g.Judge.Starts, g.Judge.Stops)
}

// logPerTwoSeconds logs how jobs ended in each two seconds from a moment on.
func logPerTwoSeconds(t *testing.T, g *Grid, from time.Duration, n int) {
	t.Helper()
	for i := range n {
		at := from + time.Duration(2*i)*time.Second
		t.Logf("%s after: %+v", at-from, g.Counts(allKinds, at, at+2*time.Second))
	}
}

func TestCalmDayMeetsObjectives(t *testing.T) {
	is := is.New(t)
	set := UserSetup(100)
	g := simulate(t, set)
	logPerKind(t, g, set.Warmup, set.Warmup+set.Span)
	for i := range g.Kinds {
		is.True(g.Counts(i, set.Warmup, set.Warmup+set.Span).Share() >= 0.97)
	}
}
