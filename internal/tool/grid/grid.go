package grid

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/edge/hangup"
	"dahliawinch/internal/edge/serve"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Setup is a deployment and its load.
type Setup struct {
	Domains   int
	VMs       int
	Endpoints int
	Kinds     []Kind
	Load      float64 // jobs per second
	Warm      time.Duration
	Span      time.Duration // measured after Warm
	Seed      uint64
	// Rate scales the load of a kind at a time since the start; nil is 1 throughout.
	Rate   func(kind int, at time.Duration) float64
	Faults []Fault
	// Store is what an answer of the store takes, and Spread the time over which VMs start; 0 for 4 ms
	// and all at once.
	Store, Spread time.Duration
	// Deaf is how many VMs the store turns away at first, and for how long.
	Deaf    int
	DeafFor time.Duration
	// Weigh counts the bytes of control messages, as they are coded.
	Weigh bool
	// Link is what each VM can send, in bytes a second; 0 for no bound.
	Link int
	// Again makes callers whose VM dies or that find none submit again after a while, as the
	// users' do. They are counted once, from when they first came.
	Again bool
	// Insist is how often callers submit again whose job ended as unknown.
	Insist int
	// Guilty is the part of the jobs of which one task crashes whatever endpoint starts it.
	Guilty float64
	Log    io.Writer
}

// Fault does something to the grid at a time since its start.
type Fault struct {
	At time.Duration
	Do func(*Grid)
}

// Limits of the endpoints.
var Limits = lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: again, Notice: hangup.Notice}

// Users are the users' deployments: 8 VMs, 48 endpoints of 64 or 96 cores, and three
// kinds of job that fill 70 % of them at a load of 140 jobs per second.
func Users(load float64) Setup {
	return Setup{
		Domains: 4, VMs: 8, Endpoints: 48, Kinds: Three(), Load: load,
		Warm: 3 * time.Second, Span: 12 * time.Second, Seed: 1,
	}
}

// Grid is a deployment in play.
type Grid struct {
	Setup
	Judge  *Judge
	Plans  *fakes.Topic[plan.Decl]
	Roster *fakes.Topic[lease.Info]
	Named  *fakes.Topic[serve.VM]
	Probes *fakes.Topic[serve.Probe]
	// Casts and StoreCalls count what the VMs sent each other and asked of the store, and
	// Records and Others what it gave them: of endpoints, and of all else.
	Casts, StoreCalls, Records, Others atomic.Int64
	// Control is the bytes of what the VMs sent each other, but for jobs and their answers.
	Control atomic.Int64

	ctx    context.Context //nolint:containedctx // the life of the grid
	end    context.CancelFunc
	wg     sync.WaitGroup
	began  time.Time
	r      *rand.Rand
	serial atomic.Uint64

	mu        sync.Mutex
	vms       []*VM
	cuts      map[[2]string]bool
	heals     map[[2]string]time.Time // when links over a healed path are up
	away      map[string]bool         // failure domains that don't reach the store
	turned    map[netip.AddrPort]bool // VMs that the store turns away
	endpoints map[string]*fakes.Leased
	order     []string
	results   []Result
}

func domainName(n int) string { return fmt.Sprintf("fd-%c", 'a'+n) }

// Play runs a setup to its end; it must be called inside a synctest bubble.
func Play(set Setup) *Grid {
	g := &Grid{
		Setup: set, Judge: NewJudge(), r: rand.New(rand.NewPCG(set.Seed, 99)), began: time.Now(),
		Plans: fakes.NewTopic[plan.Decl](), Roster: fakes.NewTopic[lease.Info](), Named: fakes.NewTopic[serve.VM](), Probes: fakes.NewTopic[serve.Probe](),
		cuts: map[[2]string]bool{}, heals: map[[2]string]time.Time{}, away: map[string]bool{}, turned: map[netip.AddrPort]bool{}, endpoints: map[string]*fakes.Leased{},
	}
	g.ctx, g.end = context.WithCancel(context.Background())
	g.build()
	for _, f := range set.Faults {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			time.Sleep(f.At)
			f.Do(g)
		}()
	}
	g.load()
	g.finish()
	return g
}

func (g *Grid) build() {
	g.Declare(1)
	for i := range g.Endpoints {
		cores := 64.0
		if i%3 == 2 {
			cores = 96
		}
		g.AddEndpoint(domainName(i%g.Domains), cores)
	}
	for i, a := range fakes.Addrs(20, g.VMs) {
		if i < g.Deaf {
			g.turned[a] = true
		}
		if g.Spread == 0 {
			g.Boot(a, domainName(i%g.Domains))
			continue
		}
		at := time.Duration(g.r.Int64N(int64(g.Spread)))
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			time.Sleep(at)
			g.Boot(a, domainName(i%g.Domains))
		}()
	}
	if g.Deaf > 0 {
		time.AfterFunc(g.DeafFor, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			clear(g.turned)
		})
	}
}

// AddEndpoint starts an endpoint and lists it.
func (g *Grid) AddEndpoint(domain string, cores float64) *fakes.Leased {
	g.mu.Lock()
	n := len(g.order)
	id := fmt.Sprintf("ep-%03d", n)
	in := lease.Info{
		ID: id, Addr: fakes.Addrs(10, n+1)[n], Domain: domain, Pool: pool,
		Labels: []string{fmt.Sprintf("rack-%d", n/6)}, Size: job.Size{Cores: cores, Memory: 128},
	}
	e := fakes.NewLeased(in, Limits, g.Judge, time.Duration(n)*time.Second, g.Seed+uint64(n))
	e.Crashed = func() { g.reborn(e) }
	g.endpoints[id] = e
	g.order = append(g.order, id)
	g.mu.Unlock()
	g.Roster.Put(id, in)
	return e
}

// rebornAfter is how long a crashed endpoint is away, and goneAfter until its entry goes.
const (
	rebornAfter = 2 * time.Second
	goneAfter   = 4500 * time.Millisecond
)

// Boot starts a VM; at an address that had one, it is a new incarnation.
func (g *Grid) Boot(at netip.AddrPort, domain string) *VM {
	v := &VM{Mesh: at, Domain: domain, Inc: g.serial.Add(1), clock: &clock{}, up: &uplink{rate: g.Link}, born: time.Now()}
	ctx, cancel := context.WithCancel(g.ctx)
	v.cancel = cancel
	out := g.Log
	if out == nil {
		out = io.Discard
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelInfo})).With("vm", at)
	timers := timer.New(v.clock)
	v.Node = serve.NewNode(ctx, serve.Config{VM: at, Domain: domain, Inc: v.Inc, Limits: Limits, Far: 2}, serve.Parts{
		Platform: serve.Platform{
			Agent: &hands{g, v}, Plans: &seen[plan.Decl]{g.Plans, g, v, &g.Others}, Endpoints: &seen[lease.Info]{g.Roster, g, v, &g.Records},
			VMs: &registry{seen[serve.VM]{g.Named, g, v, &g.Others}}, Presence: &presence{seen[serve.Probe]{g.Probes, g, v, &g.Others}},
		},
		Mesh: &post{g: g, from: v, links: map[*VM]*link{}}, Timers: timers, Clock: timer.Wall{}, Meter: meter.New(), Log: log,
	})
	g.remember(v)
	g.mu.Lock()
	g.vms = append(g.vms, v)
	g.mu.Unlock()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		timers.Run(ctx)
	}()
	v.ready.Store(true)
	v.Node.Start()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.balance(ctx, v)
	}()
	return v
}

// The balancer looks at an address each balanceEvery. After balanceMisses in a row it sends no callers there
// until it finds a VM ready.
const (
	balanceEvery  = time.Second
	balanceMisses = 2
)

// remember takes over what the balancer knows of a VM's address from the VM's former life.
func (g *Grid) remember(v *VM) {
	was := g.at(v.Mesh)
	if was == nil || !was.known.Load() {
		return
	}
	v.known.Store(true)
	v.shunned.Store(was.shunned.Load() || time.Since(was.died) >= balanceMisses*balanceEvery)
}

// balance sends no callers to a VM that was ready, or was so in a former life, and is not any more.
func (g *Grid) balance(ctx context.Context, v *VM) {
	t := time.NewTicker(balanceEvery)
	defer t.Stop()
	for was := !v.shunned.Load(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		is := v.Node.Ready()
		if is {
			v.known.Store(true)
		}
		v.shunned.Store(v.known.Load() && !is && !was)
		was = is
	}
}

// VM returns the newest incarnation of the n-th VM.
func (g *Grid) VM(n int) *VM { return g.at(fakes.Addrs(20, g.VMs)[n]) }

func (g *Grid) at(a netip.AddrPort) (vm *VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.vms {
		if v.Mesh == a {
			vm = v
		}
	}
	return vm
}

// Owner returns the VM that owns an endpoint of a failure domain, or nil.
func (g *Grid) Owner(domain string) *VM {
	g.mu.Lock()
	vms := append([]*VM(nil), g.vms...)
	g.mu.Unlock()
	for _, v := range vms {
		if !v.dead.Load() && v.Node.Owns(domain) {
			return v
		}
	}
	return nil
}

// Owners is how many VMs own endpoints of their own failure domain.
func (g *Grid) Owners() (n int) {
	g.mu.Lock()
	vms := append([]*VM(nil), g.vms...)
	g.mu.Unlock()
	for _, v := range vms {
		if !v.dead.Load() && v.Node.Owns(v.Domain) {
			n++
		}
	}
	return n
}

// Endpoint returns the n-th endpoint.
func (g *Grid) Endpoint(n int) *fakes.Leased {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoints[g.order[n]]
}

func (g *Grid) endpoint(id string) *fakes.Leased {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoints[id]
}

func (g *Grid) isCut(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[[2]string{from, to}]
}

// linkless reports whether no message passes: the path is cut, or the links over it are
// not up again.
func (g *Grid) linkless(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	way := [2]string{from, to}
	return g.cuts[way] || time.Now().Before(g.heals[way])
}

func (g *Grid) storeless(v *VM) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away[v.Domain] || g.turned[v.Mesh]
}

// settleFor is how long the grid goes on after the load, so that late orders are
// carried out and what is judged has happened.
const settleFor = 5 * time.Second

func (g *Grid) finish() {
	time.Sleep(settleFor)
	g.mu.Lock()
	vms := append([]*VM(nil), g.vms...)
	g.mu.Unlock()
	for _, v := range vms {
		v.dead.Store(true)
		v.Node.Close()
	}
	g.end()
	for _, v := range vms {
		v.Node.Wait()
	}
	g.wg.Wait()
}
