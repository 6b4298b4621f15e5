package share

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func vm(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func report(cores, used, waiting float64) Report {
	return Report{Pool: "p", Cores: cores, Ranks: []Use{{Rank: 2, Used: used, Waiting: waiting}}}
}

// Guards against a rank that gets its share only where its work waits at every owner, against owners that give it more
// than its share together, and against one that is cut off and gives it nothing.
func TestLevelMakesUpForOwnersWithoutWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		own   Report
		peers []Report
		want  float64
	}{
		{"alone", report(100, 0, 500), nil, 0.4},
		{"all have work", report(100, 0, 500), []Report{report(100, 10, 500), report(100, 40, 500)}, 0.4},
		{"one of two has work", report(100, 0, 500), []Report{report(100, 0, 0)}, 0.8},
		{"one of four has work", report(100, 0, 500), []Report{report(100, 0, 0), report(100, 0, 0), report(100, 0, 0)}, 1},
		{"a peer has little work", report(100, 0, 500), []Report{report(100, 10, 10)}, 0.6},
		{"a peer gives too much", report(100, 0, 500), []Report{report(100, 70, 500)}, 0.1},
		{"peers give the whole share", report(100, 0, 500), []Report{report(100, 90, 0)}, 0},
		{"it holds a little more than all lack", report(100, 82, 500), []Report{report(100, 0, 0)}, 0.8},
		{"another pool", report(100, 0, 500), []Report{{Pool: "q", Cores: 100}}, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l Ledger
			for i, p := range c.peers {
				l.Record(t0, vm(i+1), []Report{p})
			}
			got := l.Level(t0.Add(300*time.Millisecond), c.own, 2, 0.4)
			t.Logf("%.3f", got)
			is.True(math.Abs(got-c.want) <= 0.002)
			if len(c.peers) > 0 { // after maxAge it counts itself alone
				is.True(math.Abs(l.Level(t0.Add(maxAge+time.Millisecond), c.own, 2, 0.4)-0.4) <= 0.002)
			}
		})
	}
}

// Guards against a burst in which every owner makes up for all others before it has heard that they have work too.
func TestGrantRisesSlowlyBeyondTheShare(t *testing.T) {
	is := is.New(t)
	var started, g Grant
	is.Equal(started.Update(t0, 0.4, 1, true, true), 0.4) // an owner that has just started
	is.Equal(g.Update(t0, 0.4, 1, false, false), 0.4)     // no work: nothing is made up for
	is.Equal(g.Update(t0.Add(time.Second), 0.4, 1, false, false), 0.4)
	is.Equal(g.Update(t0.Add(1100*time.Millisecond), 0.4, 1, true, false), 0.4) // room of its own is left
	got := g.Update(t0.Add(1400*time.Millisecond), 0.4, 1, true, true)
	is.True(got > 0.4 && got <= 0.53) // 0.3 s, as long as the next heartbeats of peers take
	is.Equal(g.Update(t0.Add(1500*time.Millisecond), 0.4, 0.4, true, true), 0.4)
	is.Equal(g.Update(t0.Add(1600*time.Millisecond), 0.4, 0.1, true, true), 0.1)
	for n := range 40 {
		got = g.Update(t0.Add(1600*time.Millisecond+time.Duration(n)*50*time.Millisecond), 0.4, 0.9, true, true)
	}
	is.Equal(got, 0.9)
	for n := range 40 { // and falls as slowly without work
		got = g.Update(t0.Add(4*time.Second+time.Duration(n)*50*time.Millisecond), 0.4, 0.9, false, false)
	}
	is.Equal(got, 0.4)
}

// Guards against precedence that gives a rank more than its share of all cores, and against less than its share while
// it has work for it.
func TestLevelGivesNoMoreThanTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "owners")
		part := rapid.Float64Range(0.01, 0.9).Draw(t, "share")
		var l Ledger
		var all []amount
		for i := range n {
			cores := rapid.Float64Range(16, 800).Draw(t, "cores")
			r := report(cores, rapid.Float64Range(0, 1).Draw(t, "used")*cores, rapid.Float64Range(0, 1000).Draw(t, "waiting"))
			all = append(all, r.amount(2))
			l.Record(t0, vm(i), []Report{r})
		}
		own := report(100, 20, 300)
		mine := own.amount(2)
		mine.used = 0
		all = append(all, mine)
		level := l.Level(t0, own, 2, part)
		cores, used, given, wanted := 0.0, 0.0, 0.0, 0.0
		for _, a := range all {
			cores += a.cores
			used += a.used
			given += a.given(level)
			wanted += max(a.used, a.wanted)
		}
		slack := cores / 1000 // the resolution of the level
		if level < 0 || level > 1 {
			t.Fatalf("level %v", level)
		}
		if given > max(used, part*cores)+slack {
			t.Fatalf("given %v of %v, %v in use", given, cores, used)
		}
		if given < min(wanted, part*cores)-slack {
			t.Fatalf("given only %v of %v, wanted %v", given, cores, wanted)
		}
	})
}
