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

const hit = 5 * time.Second // when the fault strikes

// faulty is the usual load with one fault.
func faulty(do func(*Grid)) Setup {
	set := Users(110)
	set.Faults = []Fault{{At: hit, Do: do}}
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

// Symptom: for seconds after one VM dies a quarter of all jobs fail. Sequence: the owner
// of a failure domain's endpoints is killed. Cause: nobody takes its endpoints over.
func TestOwnerKilled(t *testing.T) {
	is := is.New(t)
	g := play(t, faulty(func(g *Grid) { g.Kill(g.Owner("fd-b")) }))
	report(t, g, hit-time.Second, hit+2*time.Second)
	is.True(g.Counts(every, hit-time.Second, hit+2*time.Second).Share() >= 0.85)
	is.True(g.Counts(every, hit+2*time.Second, hit+8*time.Second).Share() >= 0.97)
	is.True(g.Owner("fd-b") == nil) // all VMs have ended by now
}

// Symptom: a task runs twice at the same time. Sequence: an owner stands still for four
// seconds, another takes its endpoints over, and the first goes on where it was. Cause:
// orders and renewals that were decided before the pause are still given.
func TestOwnerPaused(t *testing.T) {
	is := is.New(t)
	g := play(t, faulty(func(g *Grid) { g.Pause(g.Owner("fd-a"), 4*time.Second) }))
	report(t, g, hit-time.Second, hit+5*time.Second)
	is.True(g.Counts(every, hit+6*time.Second, hit+10*time.Second).Share() >= 0.95)
}

// Symptom: after a power loss of all VMs jobs are refused for seconds. Sequence: all VMs
// are killed and start again within half a second of each other. Cause: each watches for
// owners for long, and two of one domain claim the same endpoints one after the other.
// Claims 0.4 s after a start instead of 1 s, jobs that wait for them: 0.859 to 0.883 of a
// day's worth.
func TestAllKilledAtOnce(t *testing.T) {
	is := is.New(t)
	const down = time.Second
	g := play(t, faulty(func(g *Grid) { g.KillAll(down) }))
	report(t, g, hit, hit+down+2*time.Second)
	is.True(g.Counts(every, hit+down+1500*time.Millisecond, hit+10*time.Second).Share() >= 0.95)
}

// Symptom: after a power loss of all VMs two thirds of the callers that come for the first time
// are refused or answered late. Sequence: all VMs lose power for 1.2 s at the usual load; whoever
// came meanwhile comes again 1.3 s later, so that twice the usual load meets VMs that have just
// started, some of whose neighbours have no power yet. Cause: jobs that can't meet their
// objective any more take places, and the first VMs wait a second for the others: 0.74 of them
// were in aim.
func TestFreshCallersAreServedAfterALossOfAll(t *testing.T) {
	is := is.New(t)
	const down = 1200 * time.Millisecond
	var fresh Count
	for seed := range uint64(plays) {
		set := Users(130)
		set.Seed, set.Again = seed+1, true
		set.Faults = []Fault{{At: hit, Do: func(g *Grid) { g.KillAll(down) }}}
		g := play(t, set)
		from := hit + down + 200*time.Millisecond
		fresh.Add(g.Counts(every, from, from+1300*time.Millisecond))
	}
	t.Logf("%.3f in aim of %+v", fresh.Share(), fresh)
	is.True(fresh.Share() >= 0.84) // 0.88 measured
}

// Symptom: callers are cut off by a planned replacement. Sequence: all VMs leave and
// start again, one after the other. Cause: endpoints are dropped with what runs there, or
// jobs of a VM that left are forgotten.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := Users(110)
	set.Span = 30 * time.Second
	for i := range set.VMs {
		set.Faults = append(set.Faults, Fault{At: hit + time.Duration(i)*2*time.Second, Do: func(g *Grid) { g.Drain(g.VM(i), true) }})
	}
	g := play(t, set)
	report(t, g, hit, hit+25*time.Second)
	c := g.Counts(every, hit, hit+25*time.Second)
	is.True(c.Failed <= c.Asked/200)
	is.True(c.Share() >= 0.93)
}

// Symptom: a failure domain that is cut off serves nobody, or both sides run the same
// task. Sequence: a domain loses the others and the store for six seconds. Cause: its
// endpoints' owner is on the other side, or doesn't go on without the store.
func TestDomainCutOff(t *testing.T) {
	is := is.New(t)
	const span = 6 * time.Second
	g := play(t, faulty(cutOff(span)))
	report(t, g, hit, hit+span)
	is.True(g.Counts(every, hit+2*time.Second, hit+span).Share() >= 0.9)
	is.True(g.Counts(every, hit+span+3*time.Second, hit+10*time.Second).Share() >= 0.95)
}

// Symptom: when a partition heals, jobs fail on both sides. Sequence: each side has
// claimed the other's endpoints, which it could not reach; with the heal its orders arrive
// there, with a higher fence than that of the owner that served all the while. Cause: a
// VM claims what it can't reach, or what it reaches before links to its owner can be up.
func TestHealedPartitionTakesNothingAway(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Second
	g := play(t, faulty(cutOff(span)))
	report(t, g, hit+span-time.Second, hit+span+1500*time.Millisecond)
	is.True(g.Counts(every, hit+span-time.Second, hit+span+1500*time.Millisecond).Failed == 0)
}

// Symptom: jobs fail while the store is away. Sequence: no VM reaches the store for five
// seconds. Cause: what was known is dropped.
func TestStoreAway(t *testing.T) {
	is := is.New(t)
	g := play(t, faulty(func(g *Grid) {
		for i := range g.Domains {
			g.Away(domainName(i), true)
		}
		time.Sleep(5 * time.Second)
		for i := range g.Domains {
			g.Away(domainName(i), false)
		}
	}))
	is.True(g.Counts(every, hit, hit+8*time.Second).Share() >= 0.98)
}

// Symptom: a VM that starts while the store is away refuses its callers until the store is
// back. Sequence: the store is lost for six seconds; a second later a VM is restarted.
// Cause: it learns of the configuration and the endpoints from the store alone.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	ready, knows := false, false
	g := play(t, faulty(func(g *Grid) {
		for i := range g.Domains {
			g.Away(domainName(i), true)
		}
		time.Sleep(time.Second)
		v := g.VM(0)
		g.Kill(v)
		v = g.Boot(v.Mesh, v.Domain)
		time.Sleep(2 * time.Second)
		ready, knows = v.Node.Ready(), g.Owner(v.Domain) != nil
		time.Sleep(3 * time.Second)
		for i := range g.Domains {
			g.Away(domainName(i), false)
		}
	}))
	is.True(ready && knows)
	is.True(g.Counts(every, hit+3*time.Second, hit+6*time.Second).Share() >= 0.97)
}

// Symptom: short jobs are late while a few orders are lost, and nothing is served while
// many are. Sequence: endpoints leave a share of the orders unanswered and carry them out
// seconds later. Cause: an order is waited for far longer than an answer takes, and then
// its task is held back until it is sure that nothing runs; ends go unnoticed with the
// renewal that was lost; endpoints are taken for bad. An order that is repeated after 25
// ms with the same number, and shorter renewals after a loss: 0.78 to 0.99 of the jobs in
// aim with one order in eighteen lost, 0.01 to 0.57 with one in two.
func TestOrdersCarriedOutLate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ lost, share float64 }{{0.055, 0.96}, {0.5, 0.5}} {
		t.Run(fmt.Sprint(c.lost), func(t *testing.T) {
			is := is.New(t)
			g := play(t, faulty(func(g *Grid) {
				for i := range g.Endpoints {
					g.Endpoint(i).Set(fakes.Manners{Late: c.lost, Delay: 3 * time.Second})
				}
			}))
			report(t, g, hit, hit+8*time.Second)
			is.True(g.Counts(every, hit, hit+8*time.Second).Share() >= c.share)
		})
	}
}

// Symptom: a few bad endpoints fail a large part of all jobs. Sequence: five of 48
// misbehave for six seconds. Cause: they are free most often and draw the most work.
func TestBadEndpoints(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		manners fakes.Manners
		share   float64
	}{
		{"fail", fakes.Manners{Fail: true}, 0.93},
		{"hang", fakes.Manners{Hang: true}, 0.9},
		{"mute", fakes.Manners{Mute: true}, 0.93},
		{"slow", fakes.Manners{Slow: 7}, 0.91}, // earned 0.91 where fifteen runs tell a straggler, 0.94 with four
		{"ill", fakes.Manners{Ill: true}, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := play(t, faulty(func(g *Grid) {
				for i := range 5 {
					g.Endpoint(9 * i).Set(c.manners)
				}
				time.Sleep(6 * time.Second)
				for i := range 5 {
					g.Endpoint(9 * i).Set(fakes.Manners{})
				}
			}))
			report(t, g, hit, hit+6*time.Second)
			is.True(g.Counts(every, hit, hit+6*time.Second).Share() >= c.share)
		})
	}
}

// Symptom: one job in twelve is late while a rack of endpoints is slow, though the others have
// room. Sequence: eight of 48 take 6.5 times as long for five seconds. Cause: they are known by
// runs that have ended, which takes a second and more, and are given work meanwhile.
func TestSlowEndpointsAreKnownByRunsThatGoOn(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Second
	var all Count
	earned := 0.0
	for seed := range uint64(plays) {
		set := faulty(func(g *Grid) {
			for i := range 8 {
				g.Endpoint(6 * i).Set(fakes.Manners{Slow: 6.5})
			}
			time.Sleep(span)
			for i := range 8 {
				g.Endpoint(6 * i).Set(fakes.Manners{})
			}
		})
		set.Seed = seed + 1
		g := play(t, set)
		all.Add(g.Counts(every, hit, hit+span))
		earned += g.Earned(hit, hit+span) / plays
	}
	t.Logf("earned %.3f, in aim %.3f of %+v", earned, all.Share(), all)
	is.True(earned >= 0.9)
}

// Symptom: tasks of jobs that nobody asks for any more run on for seconds. Sequence: orders are
// carried out three seconds late, and the VMs that gave them are removed for good meanwhile.
// Cause: a start that is carried out late is still good, or a lease outlives the VM that renews it.
func TestNothingRunsOnForVMsThatAreRemoved(t *testing.T) {
	is := is.New(t)
	gone := Limits.Hold + Limits.Stop
	var running []int
	set := faulty(func(g *Grid) {
		for i := range 16 {
			g.Endpoint(3 * i).Set(fakes.Manners{Late: 0.5, Delay: 3 * time.Second})
		}
		time.Sleep(500 * time.Millisecond)
		for i := range g.VMs {
			g.Kill(g.VM(i))
		}
		running = append(running, g.Judge.Running())
		time.Sleep(gone)
		for range 12 {
			running = append(running, g.Judge.Running())
			time.Sleep(250 * time.Millisecond)
		}
	})
	play(t, set)
	t.Log(running)
	is.True(running[0] > 0)
	for _, n := range running[1:] {
		is.Equal(n, 0)
	}
}

// Symptom: jobs fail when endpoints crash or leave. Sequence: four crash, four announce
// that they leave and go two seconds later. Cause: their runs are waited for, or new work
// is sent there.
func TestEndpointsCrashAndLeave(t *testing.T) {
	is := is.New(t)
	g := play(t, faulty(func(g *Grid) {
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
	report(t, g, hit, hit+6*time.Second)
	is.True(g.Counts(every, hit, hit+6*time.Second).Share() >= 0.93)
}

// Symptom: a caller on an open connection to a VM that leaves waits and is cut off.
// Sequence: the VM has said that it leaves, and callers go on using the connections they
// have. Cause: the owners tell their load only to VMs that stay, so the leaving one knows
// none of them and holds the jobs until it ends.
func TestLeavingVMServesCallersThatStay(t *testing.T) {
	is := is.New(t)
	answers := make(chan job.Answer, 3)
	play(t, faulty(func(g *Grid) {
		v := g.VM(0)
		v.ready.Store(false) // no answers to others tell it of the owners
		go g.Drain(v, false)
		for i := range cap(answers) {
			time.Sleep(700 * time.Millisecond)
			j, _, _ := g.draw(rand.New(rand.NewPCG(uint64(i), 1)), plain, 1_000_000+i)
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

// Symptom: a task runs twice at the same time. Sequence: an owner stands still with a job
// on its way to it; the job's VM gives up and its caller submits it again, elsewhere; the
// owner wakes before anyone has taken its endpoints, reads the job and starts it. Cause: a job
// is started however late it comes. (Found by the soak, seed 136: two VMs paused.)
func TestPausedOwnerStartsNoOldJobs(t *testing.T) {
	const pause, again = 950 * time.Millisecond, 1300 * time.Millisecond
	play(t, faulty(func(g *Grid) {
		g.Pause(g.Owner("fd-a"), pause)
		for i := range 40 {
			j, _, _ := g.draw(rand.New(rand.NewPCG(uint64(i), 1)), plain, 1_000_000+i)
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
