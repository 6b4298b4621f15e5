package grid

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/edge/serve"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

const faultAt = 5 * time.Second // when the fault strikes

// withFault is the usual load with one fault.
func withFault(do func(*Grid)) Setup {
	set := UserSetup(110)
	set.Faults = []Fault{{At: faultAt, Do: do}}
	return set
}

// cutOff isolates a failure domain for a while.
func cutOff(span time.Duration) func(*Grid) {
	return func(g *Grid) {
		g.Isolate("fd-c", true)
		time.Sleep(span)
		g.Isolate("fd-c", false)
	}
}

// Guards against a quarter of all jobs failing for seconds after one VM dies: the owner of a
// failure domain's endpoints is killed and no VM takes them over.
func TestOwnerKilled(t *testing.T) {
	is := is.New(t)
	g := simulate(t, withFault(func(g *Grid) { g.Kill(g.Owner("fd-b")) }))
	logPerKind(t, g, faultAt-time.Second, faultAt+2*time.Second)
	is.True(g.Counts(allKinds, faultAt-time.Second, faultAt+2*time.Second).Share() >= 0.85)
	is.True(g.Counts(allKinds, faultAt+2*time.Second, faultAt+8*time.Second).Share() >= 0.97)
	is.True(g.Owner("fd-b") == nil) // all VMs have ended by now
}

// Guards against a task that runs twice at a time: an owner is paused for four seconds, another VM
// takes its endpoints over, and the first one resumes and sends orders and renewals that it decided
// on before the pause.
func TestOwnerPaused(t *testing.T) {
	is := is.New(t)
	g := simulate(t, withFault(func(g *Grid) { g.Pause(g.Owner("fd-a"), 4*time.Second) }))
	logPerKind(t, g, faultAt-time.Second, faultAt+5*time.Second)
	is.True(g.Counts(allKinds, faultAt+6*time.Second, faultAt+10*time.Second).Share() >= 0.95)
}

// Guards against jobs refused for seconds after all VMs were killed and restarted within half a
// second of each other: each looked for existing owners for long, and two VMs of a domain claimed
// the same endpoints one after the other. With claims 0.4 s after a start instead of 1 s, and jobs
// that wait for them, a day earned 0.883 of its worth instead of 0.859.
func TestAllKilledAtOnce(t *testing.T) {
	is := is.New(t)
	const down = time.Second
	g := simulate(t, withFault(func(g *Grid) { g.KillAll(down) }))
	logPerKind(t, g, faultAt, faultAt+down+2*time.Second)
	is.True(g.Counts(allKinds, faultAt+down+1500*time.Millisecond, faultAt+10*time.Second).Share() >= 0.95)
}

// Guards against new callers refused or answered late after a power loss of all VMs. All VMs are
// down for 1.2 s at the usual load, and callers of that time come again 1.3 s later, so that VMs
// that have just started, some with neighbours still down, get twice the usual load. Jobs that
// could no longer meet their objective took capacity, and the first VMs waited a second for the
// others: 0.74 of the new callers were served in time.
func TestFreshCallersAreServedAfterALossOfAll(t *testing.T) {
	is := is.New(t)
	const down = 1200 * time.Millisecond
	var fresh Count
	for seed := range uint64(numSeeds) {
		set := UserSetup(130)
		set.Seed, set.Resubmit = seed+1, true
		set.Faults = []Fault{{At: faultAt, Do: func(g *Grid) { g.KillAll(down) }}}
		g := simulate(t, set)
		from := faultAt + down + 200*time.Millisecond
		fresh.Add(g.Counts(allKinds, from, from+1300*time.Millisecond))
	}
	t.Logf("%.3f in time of %+v", fresh.Share(), fresh)
	is.True(fresh.Share() >= 0.84) // usually 0.88
}

// Guards against callers cut off by a planned replacement, in which all VMs leave and restart one
// after the other: endpoints were dropped with the tasks that run there, or jobs of a VM that left
// were lost.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := UserSetup(110)
	set.Span = 30 * time.Second
	for i := range set.VMs {
		set.Faults = append(set.Faults, Fault{At: faultAt + time.Duration(i)*2*time.Second, Do: func(g *Grid) { g.Drain(g.VM(i), true) }})
	}
	g := simulate(t, set)
	logPerKind(t, g, faultAt, faultAt+25*time.Second)
	c := g.Counts(allKinds, faultAt, faultAt+25*time.Second)
	is.True(c.Failed <= c.Asked/200)
	is.True(c.Share() >= 0.93)
}

// Guards against a failure domain that serves no jobs, or both sides running the same task, when it
// loses the other domains and the store for six seconds: the owner of its endpoints was on the
// other side, or stopped without the store.
func TestDomainCutOff(t *testing.T) {
	is := is.New(t)
	const span = 6 * time.Second
	g := simulate(t, withFault(cutOff(span)))
	logPerKind(t, g, faultAt, faultAt+span)
	is.True(g.Counts(allKinds, faultAt+2*time.Second, faultAt+span).Share() >= 0.9)
	is.True(g.Counts(allKinds, faultAt+span+3*time.Second, faultAt+10*time.Second).Share() >= 0.95)
}

// Guards against jobs that fail on both sides when a partition heals. Each side had claimed
// endpoints of the other that it could not reach; after the heal its orders arrived there with a
// higher fence than that of the owner that had served all along. A VM must not claim endpoints that
// it can't reach, nor claim them before links to their owner can be up again.
func TestHealedPartitionMovesNoEndpoints(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Second
	g := simulate(t, withFault(cutOff(span)))
	logPerKind(t, g, faultAt+span-time.Second, faultAt+span+1500*time.Millisecond)
	is.True(g.Counts(allKinds, faultAt+span-time.Second, faultAt+span+1500*time.Millisecond).Failed == 0)
}

// Guards against jobs that fail while no VM reaches the store for five seconds, because known
// records are dropped.
func TestStoreAway(t *testing.T) {
	is := is.New(t)
	g := simulate(t, withFault(func(g *Grid) {
		for i := range g.Domains {
			g.CutStore(domainName(i), true)
		}
		time.Sleep(5 * time.Second)
		for i := range g.Domains {
			g.CutStore(domainName(i), false)
		}
	}))
	is.True(g.Counts(allKinds, faultAt, faultAt+8*time.Second).Share() >= 0.98)
}

// Guards against a VM that starts while the store is away and refuses its callers until the store
// is back. The store is away for six seconds and a VM is restarted one second later; it must learn
// the configuration and the endpoints from other VMs.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	ready, knows := false, false
	g := simulate(t, withFault(func(g *Grid) {
		for i := range g.Domains {
			g.CutStore(domainName(i), true)
		}
		time.Sleep(time.Second)
		v := g.VM(0)
		g.Kill(v)
		v = g.Boot(v.Mesh, v.Domain)
		time.Sleep(2 * time.Second)
		ready, knows = v.Node.Ready(), g.Owner(v.Domain) != nil
		time.Sleep(3 * time.Second)
		for i := range g.Domains {
			g.CutStore(domainName(i), false)
		}
	}))
	is.True(ready && knows)
	is.True(g.Counts(allKinds, faultAt+3*time.Second, faultAt+6*time.Second).Share() >= 0.97)
}

// Guards against late jobs when endpoints leave a share of the orders unanswered and carry them out
// seconds later. An order was waited for far longer than an answer takes, and its task was then
// held back until it was certain that nothing runs; ends went unnoticed with lost renewals;
// endpoints were marked as bad. With orders repeated after 25 ms under the same number, and shorter
// renewals after a loss, the share of jobs in time went from 0.78 to 0.99 with one order in
// eighteen lost, and from 0.01 to 0.57 with one in two.
func TestOrdersCarriedOutLate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ lost, share float64 }{{0.055, 0.96}, {0.5, 0.5}} {
		t.Run(fmt.Sprint(c.lost), func(t *testing.T) {
			is := is.New(t)
			g := simulate(t, withFault(func(g *Grid) {
				for i := range g.Endpoints {
					g.Endpoint(i).Set(fakes.Behavior{Late: c.lost, Delay: 3 * time.Second})
				}
			}))
			logPerKind(t, g, faultAt, faultAt+8*time.Second)
			is.True(g.Counts(allKinds, faultAt, faultAt+8*time.Second).Share() >= c.share)
		})
	}
}

// Guards against a few bad endpoints that fail a large part of all jobs: five of 48 misbehave for
// six seconds, and since they are free most often they attract the most work.
func TestBadEndpoints(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		manners fakes.Behavior
		share   float64
	}{
		{"fail", fakes.Behavior{Fail: true}, 0.93},
		{"hang", fakes.Behavior{Hang: true}, 0.9},
		{"mute", fakes.Behavior{Silent: true}, 0.93},
		{"slow", fakes.Behavior{Slow: 7}, 0.91}, // earned 0.91 if fifteen runs detect a straggler, 0.94 if four do
		{"ill", fakes.Behavior{Ill: true}, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := simulate(t, withFault(func(g *Grid) {
				for i := range 5 {
					g.Endpoint(9 * i).Set(c.manners)
				}
				time.Sleep(6 * time.Second)
				for i := range 5 {
					g.Endpoint(9 * i).Set(fakes.Behavior{})
				}
			}))
			logPerKind(t, g, faultAt, faultAt+6*time.Second)
			is.True(g.Counts(allKinds, faultAt, faultAt+6*time.Second).Share() >= c.share)
		})
	}
}

// Guards against one job in twelve being late while a rack of endpoints is slow, although the others
// have room: eight of 48 take 6.5 times as long for five seconds. They were detected only by runs
// that had ended, which takes a second or more, and got work meanwhile.
func TestSlowEndpointsAreKnownByRunsThatGoOn(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Second
	var all Count
	earned := 0.0
	for seed := range uint64(numSeeds) {
		set := withFault(func(g *Grid) {
			for i := range 8 {
				g.Endpoint(6 * i).Set(fakes.Behavior{Slow: 6.5})
			}
			time.Sleep(span)
			for i := range 8 {
				g.Endpoint(6 * i).Set(fakes.Behavior{})
			}
		})
		set.Seed = seed + 1
		g := simulate(t, set)
		all.Add(g.Counts(allKinds, faultAt, faultAt+span))
		earned += g.Earned(faultAt, faultAt+span) / numSeeds
	}
	t.Logf("earned %.3f, in time %.3f of %+v", earned, all.Share(), all)
	is.True(earned >= 0.9)
}

// Guards against tasks that run on for seconds though no caller waits for them: orders are carried
// out three seconds late, and the VMs that sent them are removed for good meanwhile. A late start
// must not be accepted, and every run must end with the last lease that its VM requested.
func TestNothingRunsOnAfterVMsAreRemoved(t *testing.T) {
	is := is.New(t)
	leaseEnd := Limits.Hold + Limits.Stop
	var running []int
	set := withFault(func(g *Grid) {
		for i := range 16 {
			g.Endpoint(3 * i).Set(fakes.Behavior{Late: 0.5, Delay: 3 * time.Second})
		}
		time.Sleep(500 * time.Millisecond)
		for i := range g.VMs {
			g.Kill(g.VM(i))
		}
		running = append(running, g.Judge.Running())
		time.Sleep(leaseEnd)
		for range 12 {
			running = append(running, g.Judge.Running())
			time.Sleep(250 * time.Millisecond)
		}
	})
	simulate(t, set)
	t.Log(running)
	is.True(running[0] > 0)
	for _, n := range running[1:] {
		is.Equal(n, 0)
	}
}

// Guards against jobs that fail when endpoints crash or leave: four crash, four announce that they
// leave and go two seconds later. Their runs were waited for, or new work was sent there.
func TestEndpointsCrashAndLeave(t *testing.T) {
	is := is.New(t)
	g := simulate(t, withFault(func(g *Grid) {
		for i := range 8 {
			e := g.Endpoint(5 * i)
			if i < 4 {
				e.Crash()
				continue
			}
			in := e.Info
			in.Drains = true
			g.Roster.Put(in.ID, in)
		}
		time.Sleep(2 * time.Second)
		for i := 4; i < 8; i++ {
			if u := g.Endpoint(5 * i).Used(); u.Cores > 0 {
				t.Errorf("endpoint %d still runs work two seconds after it said that it leaves", 5*i)
			}
			g.Endpoint(5 * i).Crash()
		}
	}))
	logPerKind(t, g, faultAt, faultAt+6*time.Second)
	is.True(g.Counts(allKinds, faultAt, faultAt+6*time.Second).Share() >= 0.93)
}

// Guards against a caller that goes on using its connection to a leaving VM, waits and is cut off:
// owners reported their load only to VMs that stay, so the leaving VM knew no owner and held the
// jobs until it ended.
func TestLeavingVMServesCallersThatStay(t *testing.T) {
	is := is.New(t)
	answers := make(chan job.Answer, 3)
	simulate(t, withFault(func(g *Grid) {
		v := g.VM(0)
		v.accepting.Store(false) // otherwise it learns of owners by answering other callers
		go g.Drain(v, false)
		for i := range cap(answers) {
			time.Sleep(700 * time.Millisecond)
			j, _, _ := g.drawJob(rand.New(rand.NewPCG(uint64(i), 1)), plain, 1_000_000+i)
			go func() {
				a := v.Node.Submit(g.ctx, serve.Submission{Host: host, Path: "/plain/" + j.ID, Job: j, Left: time.Second})
				g.Judge.Answered(j.ID, j.Tasks(), a)
				answers <- a
			}()
		}
	}))
	done := 0
	for range cap(answers) {
		if a := <-answers; a.Outcome == job.Done {
			done++
		}
	}
	is.Equal(done, cap(answers))
}

// Guards against a task that runs twice at a time: an owner is paused while a job is on its way to
// it; the VM that sent the job gives up, and its caller resubmits it elsewhere; the owner resumes
// before its endpoints are taken over, reads the job and starts it, however late. (Found by the
// soak, seed 136: two VMs paused.)
func TestPausedOwnerStartsNoOldJobs(t *testing.T) {
	const pause, again = 950 * time.Millisecond, 1300 * time.Millisecond
	simulate(t, withFault(func(g *Grid) {
		g.Pause(g.Owner("fd-a"), pause)
		for i := range 40 {
			j, _, _ := g.drawJob(rand.New(rand.NewPCG(uint64(i), 1)), plain, 1_000_000+i)
			g.Judge.Expect(batch.Task{Job: j.ID}.String(), fakes.Work{Need: j.Steps[0].Need, Run: 1700 * time.Millisecond})
			j.Steps[0].Count = 1
			go func() {
				for n := range 2 {
					v := g.VM(n)
					if v == g.Owner("fd-a") {
						v = g.VM(4)
					}
					a := v.Node.Submit(g.ctx, serve.Submission{Host: host, Path: "/plain/" + j.ID, Job: j, Left: 3 * time.Second})
					if a.Outcome != job.Unknown {
						return
					}
					time.Sleep(again)
				}
			}()
		}
		time.Sleep(pause)
	}))
}
