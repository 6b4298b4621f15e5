package grid

import (
	"testing"
	"time"
)

// longTasks is a load of tasks that run for longer than callers wait before they submit again, on links
// that carry some 1,500 messages a second.
func longTasks(seed uint64, do func(*Grid)) Setup {
	set := Users(10)
	for i := range set.Kinds {
		set.Kinds[i].Work = 4 * time.Second
	}
	set.Seed, set.Link, set.Span = seed, 1_000_000, 6*time.Second
	set.Again, set.Insist = true, 3
	set.Faults = []Fault{{At: hit, Do: do}}
	return set
}

// slower is how many times slower a link gets whose messages come seconds late.
const slower = 900

// Guards against heartbeats of a lost VM that arrive late and keep its jobs running beside their next submission.
func TestLateHeartbeatsOfALostVMKeepNoJobRunning(t *testing.T) {
	for seed := range uint64(plays) {
		play(t, longTasks(seed+1, func(g *Grid) {
			v := g.VM(int(seed))
			v.up.narrow(slower)
			time.Sleep(1500 * time.Millisecond)
			g.Kill(v)
		}))
	}
}

// Guards against a job that runs on beside its next submission since the word that it is not wanted comes late.
func TestJobThatIsNotWantedEndsWithoutWordOfIt(t *testing.T) {
	for seed := range uint64(plays) {
		play(t, longTasks(seed+1, func(g *Grid) {
			v := g.VM(int(seed))
			v.up.narrow(slower)
			for i := range g.Domains { // it hears no owner, and its own heartbeats go on
				if from := domainName(i); from != v.Domain {
					g.Cut(from, v.Domain, true)
				}
			}
		}))
	}
}
