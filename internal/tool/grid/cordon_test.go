package grid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// inForce is how soon after it was declared a cordon is in force on all VMs while all is calm.
const inForce = 300 * time.Millisecond

// Symptom: tasks start in a failure domain long after its operators cordoned it, or jobs are lost
// around that moment. Sequence: a domain is cordoned under load for five seconds. Cause: the word is
// read by nobody; or what waits at the domain's owners stays there.
func TestCordonedDomainStartsNothing(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Second
	set := Users(90)
	set.Faults = []Fault{{At: hit, Do: func(g *Grid) { g.Cordon("fd-b", inForce, span) }}}
	g := play(t, set)
	report(t, g, hit-time.Second, hit+span+time.Second)
	// 64 % of all cores are asked for, 85 % of those that are left.
	is.True(g.Counts(every, hit-time.Second, hit+span).Share() >= 0.93)
	is.True(g.Counts(every, hit+span, hit+span+2*time.Second).Share() >= 0.97)
}

// Symptom: as above. Sequence: two domains are cordoned, one after the other. Cause: as above, or
// jobs are sent to and fro between them.
func TestTwoCordonedDomains(t *testing.T) {
	is := is.New(t)
	const span = 4 * time.Second
	set := Users(60)
	set.Faults = []Fault{
		{At: hit, Do: func(g *Grid) { g.Cordon("fd-a", inForce, span) }},
		{At: hit + time.Second, Do: func(g *Grid) { g.Cordon("fd-c", inForce, span) }},
	}
	g := play(t, set)
	report(t, g, hit, hit+span+time.Second)
	is.True(g.Counts(every, hit, hit+span).Share() >= 0.93)
}

// Symptom: tasks start in a cordoned domain after a loss of all VMs. Sequence: a domain is
// cordoned, then all VMs are killed and start again. Cause: endpoints are owned before what
// operators declare is known.
func TestCordonOutlivesTheLossOfAllVMs(t *testing.T) {
	is := is.New(t)
	const down = time.Second
	set := Users(80)
	set.Faults = []Fault{
		{At: hit - time.Second, Do: func(g *Grid) { g.Cordon("fd-b", inForce, 8*time.Second) }},
		{At: hit, Do: func(g *Grid) { g.KillAll(down) }},
	}
	g := play(t, set)
	report(t, g, hit, hit+7*time.Second)
	is.True(g.Counts(every, hit+down+1500*time.Millisecond, hit+7*time.Second).Share() >= 0.93)
}

// Symptom: one VM still starts tasks in a cordoned domain seconds later. Sequence: the store turns
// the domain's reader away, then the domain is cordoned. Cause: it hears of the store only, not of
// its neighbours. A second of patience with the reader is allowed for.
func TestCordonIsHeardOfNeighbours(t *testing.T) {
	for _, vm := range []int{1, 5} { // both of the domain: one of them reads
		set := Users(80)
		set.Faults = []Fault{
			{At: hit - 2*time.Second, Do: func(g *Grid) { g.Turn(g.VM(vm), true) }},
			{At: hit, Do: func(g *Grid) { g.Cordon("fd-b", time.Second+inForce, 5*time.Second) }},
		}
		play(t, set)
	}
}
