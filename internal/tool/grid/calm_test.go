package grid

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// play runs a setup in virtual time and fails on any broken promise.
func play(t *testing.T, set Setup) (g *Grid) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g = Play(set)
		for i, b := range g.Judge.Broken() {
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

// report prints how each kind's jobs of a span ended.
func report(t *testing.T, g *Grid, from, to time.Duration) {
	t.Helper()
	for i, k := range g.Kinds {
		t.Logf("%-8s %+v", k.Name, g.Counts(i, from, to))
	}
	t.Logf("earned %.3f, starts %d, stopped %d", g.Earned(from, to), g.Judge.Starts, g.Judge.Stops)
}

// steps prints how the jobs of each two seconds from a moment on ended.
func steps(t *testing.T, g *Grid, from time.Duration, n int) {
	t.Helper()
	for i := range n {
		at := from + time.Duration(2*i)*time.Second
		t.Logf("%s after: %+v", at-from, g.Counts(every, at, at+2*time.Second))
	}
}

func TestCalmDayMeetsObjectives(t *testing.T) {
	is := is.New(t)
	set := Users(100)
	g := play(t, set)
	report(t, g, set.Warm, set.Warm+set.Span)
	for i := range g.Kinds {
		is.True(g.Counts(i, set.Warm, set.Warm+set.Span).Share() >= 0.97)
	}
}
