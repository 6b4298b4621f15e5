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

// Setup is a deployment and its load.
type Setup struct {
	Domains   int
	VMs       int
	Endpoints int
	Slots     int
	Policy    string
	Spill     bool
	Stretch   float64
	Foresight bool
	Lag       time.Duration // of the platform's list
	Doc       *doc.Document
	Mix       mix.Mix
	Load      float64 // offered slot time over the slots
	Warm      time.Duration
	Span      time.Duration // measured after Warm
	Seed      uint64
	// Rate scales the load at a time since the start; nil is 1 throughout.
	Rate func(at time.Duration) float64
	// Faults are played beside the load, each at its time.
	Faults []Fault
	Log    io.Writer
	// LogRules are the platform log's limits, Retention what the VMs know of it.
	LogRules  fakes.LogRules
	Retention time.Duration
}

// Fault does something to the scene at a time since its start.
type Fault struct {
	At time.Duration
	Do func(*Scene)
}

// Brief is the deployment of the brief's sizes under a load.
func Brief(load float64) Setup {
	return Setup{
		Domains: 4, VMs: 8, Endpoints: 50, Slots: 8, Policy: place.Homes, Spill: true,
		Stretch: flow.DefaultStretch, Foresight: true,
		Doc: mix.Document(), Mix: mix.Paper(), Load: load,
		LogRules:  fakes.LogRules{Rate: 400, Synced: 5 * time.Millisecond, Keep: time.Hour},
		Retention: time.Hour,
		Warm:      5 * time.Second, Span: 20 * time.Second, Seed: 1,
	}
}

// Scene is a deployment in play.
type Scene struct {
	Setup
	Judge *judge.Judge
	List  *fakes.List
	// Stream is the service's stream of the platform's log.
	Stream *fakes.Log

	ctx       context.Context //nolint:containedctx // the life of the scene
	end       context.CancelFunc
	wg        sync.WaitGroup
	began     time.Time
	r         *rand.Rand
	mu        sync.Mutex
	vms       []*VM
	cuts      map[[2]string]bool
	logless   map[string]bool // failure domains cut off from the log
	endpoints map[netip.AddrPort]*fakes.Endpoint
	order     []netip.AddrPort
	meters    []*meter.Meter
	nodes     []*flow.Node               // of every life of every VM
	marks     [2]counts                  // at the start and the end of the measured span
	tenants   map[string]string          // by job
	starts    map[string][]time.Duration // of tasks, by tenant
	results   []Result
	trace     []Arrival
	serial    atomic.Uint64
}

// domainName names the n-th failure domain.
func domainName(n int) string { return fmt.Sprintf("fd-%c", 'a'+n) }

// Play runs a setup to its end; it must be called inside a synctest bubble.
func Play(set Setup) *Scene {
	s := &Scene{
		Setup: set, Judge: judge.New(), r: rand.New(rand.NewPCG(set.Seed, 77)), began: time.Now(),
		cuts: map[[2]string]bool{}, logless: map[string]bool{}, tenants: map[string]string{}, starts: map[string][]time.Duration{}, endpoints: map[netip.AddrPort]*fakes.Endpoint{},
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
		s.marks[0] = s.count()
		time.Sleep(s.Span)
		s.marks[1] = s.count()
	}()
	s.load()
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
		s.order = append(s.order, a)
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

// Boot starts a VM; at an address that had one, it is a new incarnation.
func (s *Scene) Boot(at netip.AddrPort, domain string) *VM {
	v := &VM{Mesh: at, Domain: domain, Inc: s.serial.Add(1), clock: &clock{}, gone: make(chan struct{})}
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
		Memory: flow.DefaultMemory, Term: flow.DefaultTerm, Tickets: flow.DefaultTickets,
		Retries: flow.DefaultRetries, Spill: s.Spill, Stretch: s.Stretch, Foresight: s.Foresight,
	}, flow.Parts{
		Timers: timers, Runner: &wire{s: s, from: v}, Mesh: &post{s: s, from: v, links: map[*VM]*link{}}, Meter: m,
		Log: log,
	})
	if err != nil {
		panic(err) // a scene is written by hand
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
	v.Keeper = keeper.New(&reach{s: s, from: v}, timers, s.Retention, node.Apply, log)
	node.Bind(v.Keeper)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		v.Keeper.Run(ctx)
	}()
	timers.Every(ctx, v.Keeper.RenewLook(), func() {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			v.Keeper.Renew(ctx)
		}()
	})
	s.watch(ctx, v)
	return v
}

// declare puts the first document in force before any load comes.
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

// watch keeps a VM's copy of the list fresh.
func (s *Scene) watch(ctx context.Context, v *VM) {
	learn := func() {
		if l, err := s.List.List(ctx); err == nil {
			v.Node.Learn(l)
		}
	}
	learn()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
				v.clock.Now()
				learn()
			}
		}
	}()
}

func (s *Scene) at(a netip.AddrPort) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.vms {
		if v.Mesh == a {
			return v
		}
	}
	return nil
}

// VM returns the n-th entry VM as it is now.
func (s *Scene) VM(n int) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[n]
}

// Endpoint returns the n-th endpoint.
func (s *Scene) Endpoint(n int) *fakes.Endpoint { return s.endpoints[s.order[n]] }

// finish lets everything that was started come to its end.
func (s *Scene) finish() {
	time.Sleep(10 * time.Second)
	s.end()
	s.wg.Wait()
	for _, n := range s.nodes {
		n.Wait()
	}
}
