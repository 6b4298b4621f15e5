package grid

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"dahliawinch/internal/plat/fakes"
)

// faultKind draws faults of one kind.
type faultKind struct {
	name string
	draw func(r *rand.Rand) func(*Grid)
}

// faultKinds are the faults that may strike at any moment, also together or repeatedly.
var faultKinds = []faultKind{
	{"kill", func(r *rand.Rand) func(*Grid) {
		n, down := r.IntN(8), time.Duration(r.IntN(3000))*time.Millisecond
		return func(g *Grid) {
			if v := g.VM(n); !v.dead.Load() {
				g.Restart(v, down)
			}
		}
	}},
	{"kill owner", func(r *rand.Rand) func(*Grid) {
		d, down := r.IntN(4), time.Duration(r.IntN(3000))*time.Millisecond
		return func(g *Grid) {
			if v := g.Owner(domainName(d)); v != nil {
				g.Restart(v, down)
			}
		}
	}},
	{"kill all", func(r *rand.Rand) func(*Grid) {
		down := time.Duration(500+r.IntN(1500)) * time.Millisecond
		return func(g *Grid) { g.KillAll(down) }
	}},
	{"pause", func(r *rand.Rand) func(*Grid) {
		n, d := r.IntN(8), time.Duration(300+r.IntN(5000))*time.Millisecond
		return func(g *Grid) { g.Pause(g.VM(n), d) }
	}},
	{"drain", func(r *rand.Rand) func(*Grid) {
		n := r.IntN(8)
		return func(g *Grid) {
			if v := g.VM(n); !v.dead.Load() && !v.Node.Leaving() {
				g.Drain(v, true)
			}
		}
	}},
	{"cut", func(r *rand.Rand) func(*Grid) {
		a, b, d, oneWay := r.IntN(4), r.IntN(4), time.Duration(300+r.IntN(5000))*time.Millisecond, r.IntN(2) == 0
		return func(g *Grid) {
			g.Cut(domainName(a), domainName(b), a != b)
			g.Cut(domainName(b), domainName(a), a != b && !oneWay)
			time.Sleep(d)
			g.Cut(domainName(a), domainName(b), false)
			g.Cut(domainName(b), domainName(a), false)
		}
	}},
	{"isolate", func(r *rand.Rand) func(*Grid) {
		a, d := r.IntN(4), time.Duration(300+r.IntN(6000))*time.Millisecond
		return func(g *Grid) {
			g.Isolate(domainName(a), true)
			time.Sleep(d)
			g.Isolate(domainName(a), false)
		}
	}},
	{"store away", func(r *rand.Rand) func(*Grid) {
		d := time.Duration(300+r.IntN(6000)) * time.Millisecond
		return func(g *Grid) {
			for i := range g.Domains {
				g.CutStore(domainName(i), true)
			}
			time.Sleep(d)
			for i := range g.Domains {
				g.CutStore(domainName(i), false)
			}
		}
	}},
	{"history gone", func(*rand.Rand) func(*Grid) {
		return func(g *Grid) {
			g.Plans.Compact()
			g.Roster.Compact()
			g.Registry.Compact()
		}
	}},
	{"endpoint crashes", func(r *rand.Rand) func(*Grid) {
		n := r.IntN(48)
		return func(g *Grid) {
			e := g.Endpoint(n)
			e.Crash()
			time.Sleep(4 * time.Second)
			g.Roster.Remove(e.ID)
		}
	}},
	{"manners", func(r *rand.Rand) func(*Grid) {
		m := []fakes.Behavior{
			{Slow: 6}, {Fail: true}, {Hang: true}, {Silent: true}, {Ill: true},
			{Late: 0.1, Delay: time.Duration(2+r.IntN(4)) * time.Second}, {Late: 0.4, Delay: time.Duration(200+r.IntN(2000)) * time.Millisecond},
		}[r.IntN(7)]
		from, n, d := r.IntN(40), 1+r.IntN(8), time.Duration(500+r.IntN(5000))*time.Millisecond
		return func(g *Grid) {
			for i := range n {
				g.Endpoint(from + i).Set(m)
			}
			time.Sleep(d)
			for i := range n {
				g.Endpoint(from + i).Set(fakes.Behavior{})
			}
		}
	}},
	{"cordon", func(r *rand.Rand) func(*Grid) {
		d, span := r.IntN(4), cordonWithin+time.Duration(r.IntN(4000))*time.Millisecond
		return func(g *Grid) { g.Cordon(domainName(d), cordonWithin, span) }
	}},
	{"endpoint leaves", func(r *rand.Rand) func(*Grid) {
		n := r.IntN(48)
		return func(g *Grid) {
			e := g.Endpoint(n)
			in := e.Info
			in.Drains = true
			g.Roster.Put(in.ID, in)
			time.Sleep(4 * time.Second)
			e.Crash()
			g.Roster.Remove(in.ID)
		}
	}},
}

// linkFaults are faults of deployments with bounded links: VMs become late before they are lost.
var linkFaults = []faultKind{
	{"narrow", func(r *rand.Rand) func(*Grid) { return slowLink(r, func(*Grid, *VM) {}) }},
	{"narrow and kill", func(r *rand.Rand) func(*Grid) {
		down := time.Duration(r.IntN(3000)) * time.Millisecond
		return slowLink(r, func(g *Grid, v *VM) {
			if !v.dead.Load() {
				g.Restart(v, down)
			}
		})
	}},
	{"narrow and pause", func(r *rand.Rand) func(*Grid) {
		d := time.Duration(300+r.IntN(3000)) * time.Millisecond
		return slowLink(r, func(g *Grid, v *VM) { g.Pause(v, d) })
	}},
}

// restartFaults are endpoints that start again under their IDs, many at once.
var restartFaults = []faultKind{
	{"endpoints restart", func(r *rand.Rand) func(*Grid) {
		from, downs := r.IntN(48), make([]time.Duration, 3+r.IntN(13))
		for i := range downs {
			downs[i] = time.Duration(10+r.IntN(490)) * time.Millisecond
		}
		return func(g *Grid) {
			for i, down := range downs {
				e := g.Endpoint((from + i) % 48)
				g.wg.Add(1)
				go func() {
					defer g.wg.Done()
					if !e.Dead() {
						g.RestartEndpoint(e, down)
					}
				}()
			}
		}
	}},
}

// unseenFaults are endpoints that start again under their IDs and are cut off before anybody may know.
var unseenFaults = []faultKind{
	{"endpoints restart unseen", func(r *rand.Rand) func(*Grid) {
		const most = 16
		from, n := r.IntN(48), 3+r.IntN(most-2)
		var down, started, cut [most]time.Duration
		for i := range n {
			down[i] = time.Duration(10+r.IntN(490)) * time.Millisecond
			started[i] = time.Duration(r.IntN(40)) * time.Millisecond
			cut[i] = time.Duration(1000+r.IntN(2000)) * time.Millisecond
		}
		return func(g *Grid) {
			for i := range n {
				e := g.Endpoint((from + i) % 48)
				g.wg.Go(func() {
					if !e.Dead() {
						g.RestartUnseen(e, down[i], started[i], cut[i])
					}
				})
			}
		}
	}},
}

// slowLink makes a VM's link 5 to 1,000 times slower for a while and calls then meanwhile.
func slowLink(r *rand.Rand, then func(*Grid, *VM)) func(*Grid) {
	n, times := r.IntN(8), int(5*math.Pow(200, r.Float64()))
	before, after := time.Duration(r.IntN(2500))*time.Millisecond, time.Duration(500+r.IntN(2000))*time.Millisecond
	return func(g *Grid) {
		v := g.VM(n)
		v.uplink.slowDown(times)
		time.Sleep(before)
		then(g, v)
		time.Sleep(after)
		v.uplink.setRate(g.LinkRate)
	}
}

// cordonWithin is the time until a cordon is in force everywhere, whatever other faults strike: the
// store may be away for six seconds, a VM paused for five.
const cordonWithin = 9 * time.Second

// bootSpread is the time over which VMs get power again after a loss of all.
const bootSpread = 480 * time.Millisecond

// KillAll kills every VM at once and starts them again, spread over bootSpread.
func (g *Grid) KillAll(down time.Duration) {
	vms := make([]*VM, 0, g.VMs)
	for i := range g.VMs {
		if v := g.VM(i); !v.dead.Load() {
			g.Kill(v)
			vms = append(vms, v)
		}
	}
	time.Sleep(down)
	for _, v := range vms {
		g.Boot(v.Mesh, v.Domain)
		time.Sleep(bootSpread / time.Duration(len(vms)))
	}
}

// RandomFaults draws a sequence of faults from a seed; names describes it.
func RandomFaults(seed uint64, span time.Duration) (faults []Fault, names string) {
	r := rand.New(rand.NewPCG(seed, 4242))
	return drawFaults(r, faultKinds, 2+r.IntN(4), span)
}

// RandomLinkFaults adds faults of links to those of RandomFaults.
func RandomLinkFaults(seed uint64, span time.Duration) (faults []Fault, names string) {
	faults, names = RandomFaults(seed, span)
	r := rand.New(rand.NewPCG(seed, 4243))
	slow, more := drawFaults(r, linkFaults, 1+r.IntN(4), span)
	return append(faults, slow...), names + more
}

// RandomRestarts adds restarts of endpoints to those of RandomFaults.
func RandomRestarts(seed uint64, span time.Duration) (faults []Fault, names string) {
	faults, names = RandomFaults(seed, span)
	r := rand.New(rand.NewPCG(seed, 4244))
	restarts, more := drawFaults(r, restartFaults, 3+r.IntN(6), span)
	return append(faults, restarts...), names + more
}

// RandomUnseenRestarts adds restarts that nobody may know of before the endpoint is cut off to those of RandomFaults.
func RandomUnseenRestarts(seed uint64, span time.Duration) (faults []Fault, names string) {
	faults, names = RandomFaults(seed, span)
	r := rand.New(rand.NewPCG(seed, 4245))
	unseen, more := drawFaults(r, unseenFaults, 6+r.IntN(9), span)
	return append(faults, unseen...), names + more
}

func drawFaults(r *rand.Rand, from []faultKind, n int, span time.Duration) (faults []Fault, names string) {
	var b strings.Builder
	for range n {
		m := from[r.IntN(len(from))]
		at := 2*time.Second + time.Duration(r.Int64N(int64(span)))
		faults = append(faults, Fault{At: at, Do: m.draw(r)})
		fmt.Fprintf(&b, "%s at %s; ", m.name, at.Round(time.Millisecond))
	}
	return faults, b.String()
}
