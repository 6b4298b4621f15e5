package grid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// cordonDelay is how soon a declared cordon is in force on all VMs if there are no faults.
const cordonDelay = 300 * time.Millisecond

// Guards against tasks that start in a failure domain long after it was cordoned, or jobs lost
// around that moment. The domain is cordoned under load for five seconds. It failed if the cordon
// was not applied, or if jobs that waited at its owners stayed there.
func TestCordonedDomainStartsNothing(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Second
	set := UserSetup(90)
	set.Faults = []Fault{{At: faultAt, Do: func(g *Grid) { g.Cordon("fd-b", cordonDelay, span) }}}
	g := simulate(t, set)
	logPerKind(t, g, faultAt-time.Second, faultAt+span+time.Second)
	// 64 % of all cores are asked for, 85 % of those that are left.
	is.True(g.Counts(allKinds, faultAt-time.Second, faultAt+span).Share() >= 0.93)
	is.True(g.Counts(allKinds, faultAt+span, faultAt+span+2*time.Second).Share() >= 0.97)
}

// Guards against tasks that start in cordoned domains, or lost jobs, when two domains are cordoned one
// after the other: jobs may also be sent back and forth between them.
func TestTwoCordonedDomains(t *testing.T) {
	is := is.New(t)
	const span = 4 * time.Second
	set := UserSetup(60)
	set.Faults = []Fault{
		{At: faultAt, Do: func(g *Grid) { g.Cordon("fd-a", cordonDelay, span) }},
		{At: faultAt + time.Second, Do: func(g *Grid) { g.Cordon("fd-c", cordonDelay, span) }},
	}
	g := simulate(t, set)
	logPerKind(t, g, faultAt, faultAt+span+time.Second)
	is.True(g.Counts(allKinds, faultAt, faultAt+span).Share() >= 0.93)
}

// Guards against tasks that start in a cordoned domain after all VMs were killed and restarted,
// because endpoints are owned before the cordon is known.
func TestCordonSurvivesLossOfAllVMs(t *testing.T) {
	is := is.New(t)
	const down = time.Second
	set := UserSetup(80)
	set.Faults = []Fault{
		{At: faultAt - time.Second, Do: func(g *Grid) { g.Cordon("fd-b", cordonDelay, 8*time.Second) }},
		{At: faultAt, Do: func(g *Grid) { g.KillAll(down) }},
	}
	g := simulate(t, set)
	logPerKind(t, g, faultAt, faultAt+7*time.Second)
	is.True(g.Counts(allKinds, faultAt+down+1500*time.Millisecond, faultAt+7*time.Second).Share() >= 0.93)
}

// Guards against one VM that starts tasks in a cordoned domain for seconds, because it learns of
// cordons only from the store and not from its neighbours. The store rejects the domain's reader,
// then the domain is cordoned. One second to replace the reader is allowed.
func TestCordonIsLearnedFromNeighbours(t *testing.T) {
	for _, vm := range []int{1, 5} { // the domain's two VMs, one of which reads the store
		set := UserSetup(80)
		set.Faults = []Fault{
			{At: faultAt - 2*time.Second, Do: func(g *Grid) { g.RejectVM(g.VM(vm), true) }},
			{At: faultAt, Do: func(g *Grid) { g.Cordon("fd-b", time.Second+cordonDelay, 5*time.Second) }},
		}
		simulate(t, set)
	}
}
