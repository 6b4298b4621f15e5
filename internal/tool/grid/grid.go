package grid

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
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

// Setup describes a deployment and its load.
type Setup struct {
	Domains   int
	VMs       int
	Endpoints int
	Kinds     []Kind
	Load      float64 // jobs per second
	Warmup    time.Duration
	Span      time.Duration // measured after Warmup
	Seed      uint64
	// Rate returns the factor on the load of a kind at a time since the start; nil means 1
	// throughout.
	Rate   func(kind int, at time.Duration) float64
	Faults []Fault
	// StoreDelay is how long the store takes to answer, 0 for 4 ms. BootSpread is the time over
	// which the VMs start, 0 for all at once.
	StoreDelay, BootSpread time.Duration
	// Rejected is how many VMs the store rejects at first, RejectedFor for how long.
	Rejected    int
	RejectedFor time.Duration
	// CountBytes makes the grid count the encoded bytes of control messages.
	CountBytes bool
	// LinkRate is what each VM can send, in bytes a second; 0 means no limit.
	LinkRate int
	// AnswerDelay is how long answers of endpoints are held back at most, each for a random time, so that they overtake
	// each other.
	AnswerDelay time.Duration
	// Resubmit makes callers submit again after a while if their VM dies or they find none, as the
	// users' callers do. Such a job is counted once, from its first submission.
	Resubmit bool
	// Return makes callers come back after a refusal, when its answer says, while their time allows.
	Return bool
	// UnknownRetries is how often callers resubmit a job that ended as unknown.
	UnknownRetries int
	// CrashShare is the share of jobs with a task that crashes every endpoint that starts it.
	CrashShare float64
	// Options are those of all VMs. OptionsOf, if set, replaces them for the n-th VM.
	Options   serve.Options
	OptionsOf func(n int) serve.Options
	// Speeds are the speeds of the endpoints, one after the other and again from the first; nil means 1 for all.
	// Endpoints of one speed are of one kind.
	Speeds []float64
	// LongShare is the share of tasks that take LongFactor times as long as their job declares.
	LongShare, LongFactor float64
	// GangShare is the share of jobs whose tasks work only together, of any width up to MaxGang. In every fourth of them
	// they are a second step, and in every fourth one fails once.
	GangShare float64
	MaxGang   int
	Log       io.Writer
}

// Fault is an action on the grid at a time since its start.
type Fault struct {
	At time.Duration
	Do func(*Grid)
}

// Limits are the time limits of the endpoints.
var Limits = lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond, Resend: resubmitAfter, Notice: hangup.CloseDelay}

// UserSetup returns the users' deployment: 8 VMs, 48 endpoints of 64 or 96 cores, and three kinds
// of job that fill 70 % of them at a load of 140 jobs per second.
func UserSetup(load float64) Setup {
	return Setup{
		Domains: 4, VMs: 8, Endpoints: 48, Kinds: UserKinds(), Load: load,
		Warmup: 3 * time.Second, Span: 12 * time.Second, Seed: 1,
	}
}

// Grid is a running simulation of a deployment.
type Grid struct {
	Setup
	Judge    *Judge
	Plans    *fakes.Topic[plan.Decl]
	Roster   *fakes.Topic[lease.Info]
	Registry *fakes.Topic[serve.VM]
	Probes   *fakes.Topic[serve.Probe]
	// Messages counts what the VMs sent each other and StoreCalls their calls to the store.
	// EndpointReads and OtherReads count the records that the store returned: those of endpoints,
	// and all others.
	Messages, StoreCalls, EndpointReads, OtherReads atomic.Int64
	// ControlBytes counts the bytes that the VMs sent each other, without jobs and their answers.
	ControlBytes atomic.Int64

	ctx       context.Context //nolint:containedctx // ends with the grid
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	startedAt time.Time
	r         *rand.Rand
	answerR   *rand.Rand // for AnswerDelay; guarded by mu
	serial    atomic.Uint64

	mu          sync.Mutex
	vms         []*VM
	cuts        map[[2]string]bool
	healsAt     map[[2]string]time.Time // when links over a healed path are up again
	cutOff      map[string]bool         // endpoints that no VM reaches
	storeCut    map[string]bool         // failure domains that can't reach the store
	rejected    map[netip.AddrPort]bool // VMs that the store rejects
	endpoints   map[string]*fakes.Leased
	endpointIDs []string
	results     []Result
}

func domainName(n int) string { return fmt.Sprintf("fd-%c", 'a'+n) }

// Run simulates a setup to its end; it must be called inside a synctest bubble.
func Run(set Setup) *Grid {
	g := &Grid{
		Setup: set, Judge: NewJudge(), r: rand.New(rand.NewPCG(set.Seed, 99)), answerR: rand.New(rand.NewPCG(set.Seed, 98)), startedAt: time.Now(),
		Plans: fakes.NewTopic[plan.Decl](), Roster: fakes.NewTopic[lease.Info](), Registry: fakes.NewTopic[serve.VM](), Probes: fakes.NewTopic[serve.Probe](),
		cuts: map[[2]string]bool{}, healsAt: map[[2]string]time.Time{}, cutOff: map[string]bool{}, storeCut: map[string]bool{}, rejected: map[netip.AddrPort]bool{}, endpoints: map[string]*fakes.Leased{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	if g.Log != nil {
		g.Log = &lockedWriter{w: g.Log}
	}
	g.build()
	for _, f := range set.Faults {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			time.Sleep(f.At)
			f.Do(g)
		}()
	}
	g.generateLoad()
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
		if i < g.Rejected {
			g.rejected[a] = true
		}
		if g.BootSpread == 0 {
			g.Boot(a, domainName(i%g.Domains))
			continue
		}
		at := time.Duration(g.r.Int64N(int64(g.BootSpread)))
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			time.Sleep(at)
			g.Boot(a, domainName(i%g.Domains))
		}()
	}
	if g.Rejected > 0 {
		time.AfterFunc(g.RejectedFor, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			clear(g.rejected)
		})
	}
}

// AddEndpoint starts an endpoint and registers it in the store.
func (g *Grid) AddEndpoint(domain string, cores float64) *fakes.Leased {
	g.mu.Lock()
	n := len(g.endpointIDs)
	id := fmt.Sprintf("ep-%03d", n)
	in := lease.Info{
		ID: id, Addr: fakes.Addrs(10, n+1)[n], Domain: domain, Pool: pool,
		Labels: []string{fmt.Sprintf("rack-%d", n/6)}, Size: job.Size{Cores: cores, Memory: 128},
	}
	speed := 1.0
	if len(g.Speeds) > 0 {
		k := n % len(g.Speeds)
		speed = g.Speeds[k]
		in.Labels = append([]string{fmt.Sprintf("kind-%g", speed)}, in.Labels...)
	}
	e := fakes.NewLeased(in, Limits, g.Judge, time.Duration(n)*time.Second, g.Seed+uint64(n))
	e.Speed = speed
	e.Crashed = func() { g.replaceEndpoint(e) }
	g.endpoints[id] = e
	g.endpointIDs = append(g.endpointIDs, id)
	g.mu.Unlock()
	g.Roster.Put(id, in)
	return e
}

// A crashed endpoint is replaced after replacedAfter; its own entry is removed from the store after
// removedAfter.
const (
	replacedAfter = 2 * time.Second
	removedAfter  = 4500 * time.Millisecond
)

// Boot starts a VM. At an address that had one before, it is a new incarnation.
func (g *Grid) Boot(at netip.AddrPort, domain string) *VM {
	v := &VM{Mesh: at, Domain: domain, Inc: g.serial.Add(1), clock: &clock{}, uplink: &uplink{rate: g.LinkRate}, bootedAt: time.Now()}
	ctx, cancel := context.WithCancel(g.ctx)
	v.cancel = cancel
	out := g.Log
	if out == nil {
		out = io.Discard
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelInfo})).With("vm", at)
	timers := timer.New(v.clock)
	v.Node = serve.NewNode(ctx, serve.Config{VM: at, Domain: domain, Inc: v.Inc, Limits: Limits, RemoteFactor: 2, Options: g.optionsAt(at)}, serve.Deps{
		Platform: serve.Platform{
			Agent: &vmAgent{g, v}, Plans: &vmTopic[plan.Decl]{g.Plans, g, v, &g.OtherReads}, Endpoints: &vmTopic[lease.Info]{g.Roster, g, v, &g.EndpointReads},
			VMs: &registry{vmTopic[serve.VM]{g.Registry, g, v, &g.OtherReads}}, Presence: &presence{vmTopic[serve.Probe]{g.Probes, g, v, &g.OtherReads}},
		},
		Mesh: &vmMesh{g: g, from: v, links: map[*VM]*link{}}, Timers: timers, Clock: timer.Wall{}, Meter: meter.New(), Log: log,
	})
	g.inheritBalancer(v)
	g.mu.Lock()
	g.vms = append(g.vms, v)
	g.mu.Unlock()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		timers.Run(ctx)
	}()
	v.accepting.Store(true)
	v.Node.Start()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.runBalancer(ctx, v)
	}()
	return v
}

// optionsAt returns the options of the VM at an address.
func (g *Grid) optionsAt(at netip.AddrPort) serve.Options {
	if g.OptionsOf == nil {
		return g.Options
	}
	return g.OptionsOf(slices.Index(fakes.Addrs(20, g.VMs), at))
}

// The balancer probes each address every balancerInterval. After balancerMisses failed probes in a
// row it sends no callers there until it finds a VM ready.
const (
	balancerInterval = time.Second
	balancerMisses   = 2
)

// inheritBalancer copies what the balancer knows about a VM's address from the VM's previous
// incarnation.
func (g *Grid) inheritBalancer(v *VM) {
	previous := g.vmAt(v.Mesh)
	if previous == nil || !previous.seenReady.Load() {
		return
	}
	v.seenReady.Store(true)
	v.excluded.Store(previous.excluded.Load() || time.Since(previous.diedAt) >= balancerMisses*balancerInterval)
}

// runBalancer excludes a VM from callers once it, or a previous incarnation, was ready and it no
// longer is.
func (g *Grid) runBalancer(ctx context.Context, v *VM) {
	t := time.NewTicker(balancerInterval)
	defer t.Stop()
	for wasReady := !v.excluded.Load(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		isReady := v.Node.Ready()
		if isReady {
			v.seenReady.Store(true)
		}
		v.excluded.Store(v.seenReady.Load() && !isReady && !wasReady)
		wasReady = isReady
	}
}

// VM returns the newest incarnation of the n-th VM.
func (g *Grid) VM(n int) *VM { return g.vmAt(fakes.Addrs(20, g.VMs)[n]) }

func (g *Grid) vmAt(a netip.AddrPort) (vm *VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.vms {
		if v.Mesh == a {
			vm = v
		}
	}
	return vm
}

// Owner returns a VM that owns endpoints of a failure domain, or nil.
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

// Owners counts the VMs that own endpoints of their own failure domain.
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
	return g.endpoints[g.endpointIDs[n]]
}

func (g *Grid) endpoint(id string) *fakes.Leased {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoints[id]
}

// settleFor is how long the grid runs on after the load, so that late orders are carried out before
// the judge looks at the result.
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
	g.cancel()
	for _, v := range vms {
		v.Node.Wait()
	}
	g.wg.Wait()
}
