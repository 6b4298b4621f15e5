package grid

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/plat/fakes"
)

// ownerWait is how long callers' jobs wait for the first owner of endpoints.
const ownerWait = 600 * time.Millisecond

// joinTime is the age up to which a VM may not know all owners, and may probe for them.
const joinTime = 2 * time.Second

// lightLoad is a load that one VM and the endpoints of its failure domain can carry.
func lightLoad(do func(*Grid)) Setup {
	set := withFault(do)
	set.Load = 12
	return set
}

// logClaims records when a VM claims groups.
func logClaims(set *Setup, vm int) *logTimes {
	m := &logTimes{words: []string{"msg=group", "vm=" + fakes.Addrs(20, set.VMs)[vm].String(), "no VM owns it"}}
	set.Log = m
	return m
}

// After a loss of all VMs only one restarts. Guards against it waiting for neighbours that are
// lost.
func TestOnlyVMThatRestartsServesSoon(t *testing.T) {
	const down = time.Second
	for vm := range 2 {
		is := is.New(t)
		set := lightLoad(func(g *Grid) {
			for n := range g.VMs {
				g.Kill(g.VM(n))
			}
			time.Sleep(down)
			g.Boot(g.VM(vm).Mesh, g.VM(vm).Domain)
		})
		claimed := logClaims(&set, vm)
		set.Seed = uint64(vm) + 1
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt+down, 3)
		born := g.startedAt.Add(faultAt + down)
		soon := claimed.count(born, born.Add(ownerWait))
		t.Logf("%d groups claimed in time for the first callers", soon)
		is.True(soon > 0)
		is.True(g.Counts(allKinds, faultAt+down+2500*time.Millisecond, faultAt+down+5500*time.Millisecond).Share() >= 0.95)
	}
}

// Guards against a VM that mistakes the loss of all others for a cut of its own links and claims
// nothing.
func TestOnlySurvivingVMServesSoon(t *testing.T) {
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		left := -1
		set := lightLoad(func(g *Grid) {
			for n := range g.VMs {
				if v := g.VM(n); left < 0 && !v.Node.Owns(v.Domain) {
					left = n
				}
			}
			for n := range g.VMs {
				if n != left {
					g.Kill(g.VM(n))
				}
			}
		})
		set.Seed = seed + 1
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 5)
		is.True(left >= 0)
		is.True(g.Counts(allKinds, faultAt+5*time.Second, faultAt+10*time.Second).Share() >= 0.95)
	}
}

// One of two VMs is cut off. Guards against each taking the other for lost, so that both send
// orders to the same endpoints in turn.
func TestTwoSeparatedVMsClaimNothing(t *testing.T) {
	const cut = 8 * time.Second
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		set := withFault(func(g *Grid) {
			g.VM(1).isolated.Store(true)
			time.Sleep(cut)
			g.VM(1).isolated.Store(false)
		})
		set.Domains, set.VMs, set.Endpoints, set.Load, set.Seed = 1, 2, 48, 80, seed+1
		claims := &logTimes{words: []string{"msg=group", "no VM owns it"}}
		set.Log = claims
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 5)
		is.Equal(claims.count(g.startedAt.Add(faultAt), g.startedAt.Add(faultAt+cut+time.Second)), 0)
		is.True(g.Counts(allKinds, faultAt+2*time.Second, faultAt+cut).Share() >= 0.95)
	}
}

// Guards against one of two VMs that waits for the other after its loss.
func TestVMServesSoonAfterLosingItsOnlyPeer(t *testing.T) {
	for vm := range 2 {
		is := is.New(t)
		set := lightLoad(func(g *Grid) { g.Kill(g.VM(vm)) })
		set.Domains, set.VMs, set.Endpoints, set.Seed = 1, 2, 24, uint64(vm)+1
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 5)
		is.True(g.Counts(allKinds, faultAt+5*time.Second, faultAt+10*time.Second).Share() >= 0.95)
	}
}

// Guards against a VM that keeps probing, through the store, for a neighbour that is lost for good.
func TestLostNeighbourIsProbedAtStartOnly(t *testing.T) {
	const lost, restarted = 7, 3 // of one failure domain
	is := is.New(t)
	set := withFault(func(g *Grid) {
		g.Kill(g.VM(lost))
		g.Restart(g.VM(restarted), time.Second)
	})
	probes := &logTimes{words: []string{"neighbours probed"}}
	set.Log = probes
	g := simulate(t, set)
	logPerTwoSeconds(t, g, faultAt, 5)
	born := g.startedAt.Add(faultAt + time.Second)
	is.True(probes.count(born, born.Add(joinTime)) > 0)
	is.Equal(probes.count(born.Add(joinTime), born.Add(time.Hour)), 0)
	is.True(g.Counts(allKinds, faultAt+2*time.Second, faultAt+8*time.Second).Share() >= 0.95)
}

// Guards against a VM that is cut off at its start for longer than it waits for others, and then
// claims what they own.
func TestVMCutOffForLongClaimsNothing(t *testing.T) {
	const vm, down, cut = 7, 2 * time.Second, 14 * time.Second
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		set := withFault(func(g *Grid) {
			v := g.VM(vm)
			g.Kill(v)
			time.Sleep(down)
			v = g.Boot(v.Mesh, v.Domain)
			v.isolated.Store(true)
			time.Sleep(cut)
			v.isolated.Store(false)
		})
		set.Span, set.Seed = faultAt+down+cut, seed+1
		claims := logClaims(&set, vm)
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 9)
		is.Equal(claims.count(g.startedAt.Add(faultAt), g.startedAt.Add(faultAt+down+cut)), 0)
		is.True(g.Counts(allKinds, faultAt+down, faultAt+down+cut).Share() >= 0.95)
	}
}

// Guards against the only VM of its failure domain claiming what others own when it is cut off at
// its start.
func TestOnlyVMOfItsDomainCutOffClaimsNothing(t *testing.T) {
	const vm, down, cut = 1, 2 * time.Second, 14 * time.Second
	is := is.New(t)
	set := withFault(func(g *Grid) {
		v := g.VM(vm)
		g.Kill(v)
		time.Sleep(down)
		v = g.Boot(v.Mesh, v.Domain)
		v.isolated.Store(true)
		time.Sleep(cut)
		v.isolated.Store(false)
	})
	set.VMs, set.Load, set.Span = set.Domains, 80, faultAt+down+cut
	far := &logTimes{words: []string{"msg=group", "group=fd-a/", "vm=" + fakes.Addrs(20, set.VMs)[vm].String(), "no VM owns it"}}
	set.Log = far
	g := simulate(t, set)
	logPerTwoSeconds(t, g, faultAt, 8)
	is.Equal(far.count(g.startedAt.Add(faultAt), g.startedAt.Add(faultAt+down+cut)), 0)
}

// After a loss of all VMs, guards against the only VM of a failure domain waiting for VMs that are
// lost.
func TestOnlyVMOfItsDomainServesSoonAfterRestart(t *testing.T) {
	const vm, down = 1, time.Second
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		set := lightLoad(func(g *Grid) {
			for n := range g.VMs {
				g.Kill(g.VM(n))
			}
			time.Sleep(down)
			g.Boot(g.VM(vm).Mesh, g.VM(vm).Domain)
		})
		set.VMs, set.Seed = set.Domains, seed+1
		claimed := logClaims(&set, vm)
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt+down, 3)
		born := g.startedAt.Add(faultAt + down)
		is.True(claimed.count(born, born.Add(ownerWait)) > 0)
		is.True(g.Counts(allKinds, faultAt+down+2500*time.Millisecond, faultAt+down+5500*time.Millisecond).Share() >= 0.95)
	}
}

// A VM is restarted while its failure domain is cut off from the others but not from the store.
// Guards against it leaving its own endpoints idle because it learns through the store that the
// other VMs are alive.
func TestOnlyVMOfCutOffDomainServesIt(t *testing.T) {
	const vm, down, cut = 1, 2 * time.Second, 6 * time.Second
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		set := withFault(func(g *Grid) {
			v := g.VM(vm)
			g.Isolate(v.Domain, true)
			g.CutStore(v.Domain, false)
			g.Kill(v)
			time.Sleep(down)
			g.Boot(v.Mesh, v.Domain)
			time.Sleep(cut)
			g.Isolate(v.Domain, false)
		})
		set.VMs, set.Load, set.Span, set.Seed = set.Domains, 80, faultAt+down+cut, seed+1
		claimed := logClaims(&set, vm)
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 8)
		born := g.startedAt.Add(faultAt + down)
		is.True(claimed.count(born, born.Add(time.Second)) > 0)
		is.True(g.Counts(allKinds, faultAt+down+2*time.Second, faultAt+down+cut).Share() >= 0.95)
	}
}

// Guards against the last remaining VM leaving the endpoints of other failure domains idle for as
// long as a VM that is cut off would.
func TestLastVMClaimsAllSoon(t *testing.T) {
	const vm, down, soon = 1, time.Second, 5 * time.Second
	for name, restarted := range map[string]bool{"left": false, "comes back": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(numSeeds) {
				is := is.New(t)
				var idle []string
				set := lightLoad(func(g *Grid) {
					for n := range g.VMs {
						if restarted || n != vm {
							g.Kill(g.VM(n))
						}
					}
					if restarted {
						time.Sleep(down)
						g.Boot(g.VM(vm).Mesh, g.VM(vm).Domain)
					}
					time.Sleep(soon)
					for n := range g.Domains {
						if !g.VM(vm).Node.Owns(domainName(n)) {
							idle = append(idle, domainName(n))
						}
					}
				})
				set.Seed = seed + 1
				g := simulate(t, set)
				logPerTwoSeconds(t, g, faultAt, 5)
				is.Equal(len(idle), 0)
			}
		})
	}
}

// Guards against a VM that is cut off when all VMs start, takes the others for lost before they can
// answer, and claims their endpoints.
func TestVMCutOffWhenAllStartClaimsNothing(t *testing.T) {
	const vm, down, cut = 1, time.Second, 14 * time.Second
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		set := withFault(func(g *Grid) {
			for n := range g.VMs {
				g.Kill(g.VM(n))
			}
			time.Sleep(down)
			v := g.Boot(g.VM(vm).Mesh, g.VM(vm).Domain)
			v.isolated.Store(true)
			for n := range g.VMs {
				if n != vm {
					time.Sleep(time.Second / time.Duration(g.VMs))
					g.Boot(g.VM(n).Mesh, g.VM(n).Domain)
				}
			}
			time.Sleep(cut)
			v.isolated.Store(false)
		})
		set.VMs, set.Load, set.Span, set.Seed = set.Domains, 80, faultAt+down+cut, seed+1
		claims := logClaims(&set, vm)
		claims.words = append(claims.words, "group=fd-a/")
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 6)
		is.Equal(claims.count(g.startedAt.Add(faultAt), g.startedAt.Add(faultAt+down+cut)), 0)
	}
}

// Guards against VMs that reach each other but no others, and claim what the others own.
func TestVMsCutOffTogetherClaimNothing(t *testing.T) {
	const cut = 8 * time.Second
	is := is.New(t)
	set := withFault(func(g *Grid) {
		for n := range 2 { // of two failure domains
			g.VM(n).partition.Store(1)
		}
		time.Sleep(cut)
		for n := range 2 {
			g.VM(n).partition.Store(0)
		}
	})
	first := logClaims(&set, 0)
	second := logClaims(&set, 1)
	set.Log = io.MultiWriter(first, second)
	g := simulate(t, set)
	logPerTwoSeconds(t, g, faultAt, 6)
	from, to := g.startedAt.Add(faultAt), g.startedAt.Add(faultAt+cut)
	is.Equal(first.count(from, to)+second.count(from, to), 0)
}

// Guards against a few remaining VMs that mistake the loss of most others for a cut, and leave
// their endpoints idle.
func TestFewSurvivingVMsServeSoon(t *testing.T) {
	const left, soon = 2, 5 * time.Second // of two failure domains
	for seed := range uint64(numSeeds) {
		is := is.New(t)
		idle := 0
		set := lightLoad(func(g *Grid) {
			for n := left; n < g.VMs; n++ {
				g.Kill(g.VM(n))
			}
			time.Sleep(2 * soon)
			for n := range g.Domains {
				if g.Owner(domainName(n)) == nil {
					idle++
				}
			}
		})
		set.Seed = seed + 1
		g := simulate(t, set)
		logPerTwoSeconds(t, g, faultAt, 5)
		is.True(g.Counts(allKinds, faultAt+soon, faultAt+2*soon).Share() >= 0.95)
		is.Equal(idle, 0)
	}
}
