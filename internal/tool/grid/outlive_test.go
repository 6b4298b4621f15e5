package grid

import (
	"testing"
	"time"
)

// longTasks is a load of tasks that run for longer than callers wait before they submit again, on
// links that carry some 1,500 messages a second.
func longTasks(seed uint64, do func(*Grid)) Setup {
	set := UserSetup(10)
	for i := range set.Kinds {
		set.Kinds[i].Work = 4 * time.Second
	}
	set.Seed, set.LinkRate, set.Span = seed, 1_000_000, 6*time.Second
	set.Resubmit, set.UnknownRetries = true, 3
	set.Faults = []Fault{{At: faultAt, Do: do}}
	return set
}

// slowdown is a factor by which a link becomes so slow that its messages arrive seconds late.
const slowdown = 900

// Guards against late heartbeats of a lost VM that keep its jobs running beside their
// resubmissions.
func TestLateHeartbeatsOfALostVMKeepNoJobRunning(t *testing.T) {
	for seed := range uint64(numSeeds) {
		simulate(t, longTasks(seed+1, func(g *Grid) {
			v := g.VM(int(seed))
			v.uplink.slowDown(slowdown)
			time.Sleep(1500 * time.Millisecond)
			g.Kill(v)
		}))
	}
}

// Guards against a job that runs on beside its resubmission because the message that it is no
// longer wanted arrives late.
func TestUnwantedJobEndsWithoutNotice(t *testing.T) {
	for seed := range uint64(numSeeds) {
		simulate(t, longTasks(seed+1, func(g *Grid) {
			v := g.VM(int(seed))
			v.uplink.slowDown(slowdown)
			for i := range g.Domains { // it receives nothing from owners there, which still receive its heartbeats
				if from := domainName(i); from != v.Domain {
					g.Cut(from, v.Domain, true)
				}
			}
		}))
	}
}
