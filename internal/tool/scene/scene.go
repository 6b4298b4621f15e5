package scene

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
	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/keeper"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/roster"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/mix"
)

// Setup configures a deployment, its load and its faults.
type Setup struct {
	Domains     int
	VMs         int
	Endpoints   int
	Slots       int // of an endpoint
	Policy      string
	Spill       bool // as in flow.Config, like the next two
	SizeWeight  float64
	EarlyReject bool
	Lag         time.Duration // by which the platform's list is stale
	Doc         *doc.Document
	Mix         mix.Mix
	Load        float64       // offered slot time over the capacity of all slots
	Warm        time.Duration // before the measured span
	Span        time.Duration // measured, after Warm
	Seed        uint64
	// Rate scales the load at a time since the start; nil is 1 throughout.
	Rate func(at time.Duration) float64
	// Faults are injected during the load, each at its time.
	Faults []Fault
	Log    io.Writer
	// LogRules are the platform log's limits; Retention is how long the VMs assume that it
	// keeps records.
	LogRules  fakes.LogRules
	Retention time.Duration
}

// Fault is an action on the scene at a time since its start.
type Fault struct {
	At time.Duration
	Do func(*Scene)
}

// DefaultSetup returns a deployment of the service's initial size under a load.
func DefaultSetup(load float64) Setup {
	return Setup{
		Domains: 4, VMs: 8, Endpoints: 50, Slots: 8, Policy: place.Homes, Spill: true,
		SizeWeight: flow.DefaultSizeWeight, EarlyReject: true,
		Doc: mix.Document(), Mix: mix.Default(), Load: load,
		LogRules:  fakes.LogRules{Rate: 400, Synced: 5 * time.Millisecond, Keep: time.Hour},
		Retention: time.Hour,
		Warm:      5 * time.Second, Span: 20 * time.Second, Seed: 1,
	}
}

// Scene is a running deployment.
type Scene struct {
	Setup
	Judge *judge.Judge
	List  *fakes.List
	// Stream is the service's stream in the platform's log.
	Stream *fakes.Log

	ctx       context.Context //nolint:containedctx // ends with the scene
	end       context.CancelFunc
	wg        sync.WaitGroup
	began     time.Time
	rng       *rand.Rand
	mu        sync.Mutex
	vms       []*VM
	cuts      map[[2]string]bool
	logCuts   map[string]bool // failure domains disconnected from the log
	endpoints map[netip.AddrPort]*fakes.Endpoint
	addrs     []netip.AddrPort // of the endpoints, by index
	meters    []*meter.Meter
	nodes     []*flow.Node               // of every incarnation of every VM
	totals    [2]counts                  // at the start and the end of the measured span
	tenants   map[string]string          // by job
	starts    map[string][]time.Duration // of tasks, by tenant
	results   []Result
	trace     []Arrival
	serial    atomic.Uint64
}

// domainName returns the name of the n-th failure domain.
func domainName(n int) string { return fmt.Sprintf("fd-%c", 'a'+n) }

// Run runs a setup to its end. It must be called inside a synctest bubble.
func Run(set Setup) *Scene {
	s := &Scene{
		Setup: set, Judge: judge.New(), rng: rand.New(rand.NewPCG(set.Seed, 77)), began: time.Now(),
		cuts: map[[2]string]bool{}, logCuts: map[string]bool{}, tenants: map[string]string{}, starts: map[string][]time.Duration{}, endpoints: map[netip.AddrPort]*fakes.Endpoint{},
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.build()
	s.declare()
	s.began = time.Now()
	for _, f := range set.Faults {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			time.Sleep(f.At)
			f.Do(s)
		}()
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		time.Sleep(s.Warm)
		s.totals[0] = s.count()
		time.Sleep(s.Span)
		s.totals[1] = s.count()
	}()
	s.runLoad()
	s.finish()
	return s
}

func (s *Scene) build() {
	var list roster.List
	for i, a := range fakes.Addrs(10, s.Endpoints) {
		in := place.Info{
			Addr: a, Domain: domainName(i % s.Domains), Rack: fmt.Sprintf("rack-%d", i/6),
			Slots: s.Slots, Size: job.Size{Cores: 64, Memory: 128},
		}
		s.endpoints[a] = fakes.NewEndpoint(in, s)
		s.addrs = append(s.addrs, a)
		list.Endpoints = append(list.Endpoints, roster.Endpoint{Info: in})
	}
	for i, a := range fakes.Addrs(20, s.VMs) {
		list.VMs = append(list.VMs, roster.VM{Mesh: a, Domain: domainName(i % s.Domains)})
	}
	s.List = fakes.NewList(s.Lag, list)
	s.Stream = fakes.NewLog(s.LogRules)
	for _, v := range list.VMs {
		s.Boot(v.Mesh, v.Domain)
	}
}

// Boot starts a VM. At the address of an earlier VM it is a new incarnation and replaces
// that one.
func (s *Scene) Boot(at netip.AddrPort, domain string) *VM {
	v := &VM{Mesh: at, Domain: domain, Inc: s.serial.Add(1), clock: &clock{}, killed: make(chan struct{})}
	ctx, cancel := context.WithCancel(s.ctx)
	v.cancel = cancel
	timers := timer.New(v.clock)
	m := meter.New()
	out := s.Log
	if out == nil {
		out = io.Discard
	}
	log := slog.New(slog.NewTextHandler(out, nil)).With("vm", at)
	node, err := flow.New(ctx, flow.Config{
		Self: at, Domain: domain, Inc: v.Inc, Secret: []byte(fmt.Sprint(s.Seed, v.Inc)), Policy: s.Policy,
		Memory: flow.DefaultMemory, TicketTerm: flow.DefaultTicketTerm, MaxTickets: flow.DefaultMaxTickets,
		RetryRatio: flow.DefaultRetryRatio, Spill: s.Spill, SizeWeight: s.SizeWeight, EarlyReject: s.EarlyReject,
	}, flow.Deps{
		Timers: timers, Runner: &runner{s: s, from: v}, Mesh: &vmMesh{s: s, from: v, links: map[*VM]*link{}}, Meter: m,
		Log: log,
	})
	if err != nil {
		panic(err) // a bug in the setup
	}
	v.Node = node
	s.mu.Lock()
	replaced := false
	for i, old := range s.vms {
		if old.Mesh == at {
			s.vms[i], replaced = v, true
		}
	}
	if !replaced {
		s.vms = append(s.vms, v)
	}
	s.meters = append(s.meters, m)
	s.nodes = append(s.nodes, node)
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		timers.Run(ctx)
	}()
	node.Start()
	v.Keeper = keeper.New(&vmLog{s: s, from: v}, timers, s.Retention, node.Apply, log)
	node.SetRevisionStore(v.Keeper)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		v.Keeper.Run(ctx)
	}()
	timers.Every(ctx, v.Keeper.RenewPeriod(), func() {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			v.Keeper.Renew(ctx)
		}()
	})
	s.pollList(ctx, v)
	return v
}

// declare puts the first document in force on all VMs before the load starts.
func (s *Scene) declare() {
	text, err := s.Doc.Encode()
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Minute)
	defer cancel()
	if v, err := s.VM(0).Keeper.Declare(ctx, 0, text, "scene", ""); err != nil || !v.Won {
		panic(fmt.Sprint("first declaration: ", v, err))
	}
	for i := range s.VMs {
		for s.VM(i).Rev() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// pollList refreshes a VM's copy of the platform's list every second.
func (s *Scene) pollList(ctx context.Context, v *VM) {
	refresh := func() {
		if l, err := s.List.List(ctx); err == nil {
			v.Node.UpdateRoster(l)
		}
	}
	refresh()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
				v.clock.Now()
				refresh()
			}
		}
	}()
}

func (s *Scene) vmAt(a netip.AddrPort) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.vms {
		if v.Mesh == a {
			return v
		}
	}
	return nil
}

// VM returns the current incarnation of the n-th entry VM.
func (s *Scene) VM(n int) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[n]
}

// Endpoint returns the n-th endpoint.
func (s *Scene) Endpoint(n int) *fakes.Endpoint { return s.endpoints[s.addrs[n]] }

// finish waits 10 s for work in progress, then stops all VMs.
func (s *Scene) finish() {
	time.Sleep(10 * time.Second)
	s.end()
	s.wg.Wait()
	for _, n := range s.nodes {
		n.Wait()
	}
}
