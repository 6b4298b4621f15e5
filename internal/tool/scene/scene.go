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
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/conf/keeper"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/roster"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/place"
	"dahliawinch/internal/task/ticket"
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

// Result is one job as its caller saw it.
type Result struct {
	Job    *mix.Job
	At     time.Duration // since the start
	Took   time.Duration
	Ideal  time.Duration
	Answer *job.Answer
	Domain string
}

// Ratio is response over ideal.
func (r Result) Ratio() float64 { return r.Took.Seconds() / r.Ideal.Seconds() }

// Arrival is one job of the trace, for the bound that knows everything.
type Arrival struct {
	At  time.Duration
	Job *mix.Job
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

// Declare puts a changed document forward through a VM, on the base that it has.
func (s *Scene) Declare(ctx context.Context, v *VM, author string, change func(*doc.Document)) (fold.Verdict, error) {
	r, ok := v.Keeper.Current()
	if !ok {
		return fold.Verdict{}, keeper.ErrNotAppended
	}
	d, err := doc.Parse(r.Doc)
	if err != nil {
		return fold.Verdict{}, fmt.Errorf("scene: %w", err)
	}
	change(d)
	text, err := d.Encode()
	if err != nil {
		return fold.Verdict{}, fmt.Errorf("scene: %w", err)
	}
	return v.Keeper.Declare(ctx, r.Rev, text, author, "")
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

// Kill ends a VM at once; the balancer notices a second later.
func (s *Scene) Kill(v *VM) {
	v.dead.Store(true)
	close(v.gone)
	v.cancel()
	time.Sleep(time.Second)
	v.closed.Store(true)
}

// Replace lets a VM leave gracefully and boots a new one at its address; the
// balancer notices each a second later.
func (s *Scene) Replace(v *VM) error {
	go func() {
		time.Sleep(time.Second)
		v.closed.Store(true)
	}()
	if err := v.Node.Drain(s.ctx); err != nil {
		return fmt.Errorf("replace %s: %w", v.Mesh, err)
	}
	time.Sleep(lingers)
	if err := v.Node.Drain(s.ctx); err != nil {
		return fmt.Errorf("replace %s: %w", v.Mesh, err)
	}
	v.dead.Store(true)
	v.cancel()
	w := s.Boot(v.Mesh, v.Domain)
	w.closed.Store(true)
	time.Sleep(time.Second)
	w.closed.Store(false)
	return nil
}

// lingers is how long a leaving VM still takes callers, as entry daemons do.
const lingers = 2 * time.Second

// Pause freezes a VM; the balancer notices a second later.
func (s *Scene) Pause(v *VM, d time.Duration) {
	v.clock.pause(d)
	time.Sleep(time.Second)
	v.closed.Store(true)
	time.Sleep(d - time.Second)
	v.closed.Store(false)
}

// Cut separates two failure domains, or heals them.
func (s *Scene) Cut(a, b int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, y := domainName(a), domainName(b)
	s.cuts[[2]string{x, y}] = on
	s.cuts[[2]string{y, x}] = on
}

// CutOneWay lets nothing pass from one failure domain to another, while the other way
// works.
func (s *Scene) CutOneWay(from, to int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{domainName(from), domainName(to)}] = on
}

// CutLog separates a failure domain from the platform's log, or heals it.
func (s *Scene) CutLog(a int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logless[domainName(a)] = on
}

func (s *Scene) cut(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{a, b}]
}

// balance picks the VM that a caller reaches.
func (s *Scene) balance(x uint64) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*VM
	for _, v := range s.vms {
		if !v.closed.Load() {
			open = append(open, v)
		}
	}
	if len(open) == 0 {
		return s.vms[x%uint64(len(s.vms))]
	}
	return open[x%uint64(len(open))]
}

// load plays the arrivals, open loop.
func (s *Scene) load() {
	slots := float64(s.Endpoints * s.Slots)
	perSecond := s.Load * slots / s.Mix.Work().Seconds()
	var callers sync.WaitGroup
	for perSecond > 0 {
		at := time.Since(s.began)
		if at >= s.Warm+s.Span {
			break
		}
		rate := perSecond
		if s.Rate != nil {
			rate *= s.Rate(at)
		}
		time.Sleep(mix.Gap(s.r, rate))
		j := s.Mix.Draw(s.r, fmt.Sprint("job-", s.serial.Add(1)))
		s.trace = append(s.trace, Arrival{time.Since(s.began), j})
		pick := s.r.Uint64()
		callers.Go(func() { s.Call(s.ctx, j, pick) })
	}
	if perSecond == 0 {
		time.Sleep(s.Warm + s.Span)
	}
	callers.Wait()
}

// Started implements fakes.Witness.
func (s *Scene) Started(name string, task int) {
	s.Judge.Started(name, task)
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant := s.tenants[name]
	s.starts[tenant] = append(s.starts[tenant], time.Since(s.began))
}

// Call submits one job as a caller does and notes what it was told.
func (s *Scene) Call(ctx context.Context, j *mix.Job, pick uint64) *job.Answer {
	began := time.Now()
	s.Judge.Submit(j.Name, len(j.Req.Tasks))
	s.mu.Lock()
	s.tenants[j.Name] = j.Req.Tenant
	s.mu.Unlock()
	time.Sleep(client)
	v := s.balance(pick)
	for v.dead.Load() { // refused connection: nothing was sent, the next VM is tried
		time.Sleep(client)
		pick++
		v = s.balance(pick)
	}
	var a *job.Answer
	if j.Kind.Ticket {
		a = s.ticketed(ctx, v, j, pick)
	} else {
		a = s.submit(ctx, v, j)
	}
	time.Sleep(client)
	s.Judge.Answer(j.Name, a)
	r := Result{
		Job: j, At: began.Sub(s.began), Took: time.Since(began), Ideal: Ideal(j), Answer: a, Domain: v.Domain,
	}
	s.mu.Lock()
	s.results = append(s.results, r)
	s.mu.Unlock()
	return a
}

// Ideal is the response if every task started at once in the caller's domain.
func Ideal(j *mix.Job) time.Duration { return 2*client + 2*within + j.Longest() }

// ticketed takes a ticket and sends the job under it as an anxious caller does: to
// two VMs at once, and again while the outcome is unknown.
func (s *Scene) ticketed(ctx context.Context, v *VM, j *mix.Job, pick uint64) *job.Answer {
	text, err := v.Node.Grant(j.Req.Tenant, 1)
	if err != nil {
		return job.Refuse(job.Overload, 0, "%v", err)
	}
	j.Req.Ticket = ticket.Pick(text, 0)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		if w := s.balance(pick / 7); !w.dead.Load() {
			s.Judge.Answer(j.Name, s.submit(ctx, w, j))
		}
	}()
	a := s.submit(ctx, v, j)
	for try := uint64(1); a.Outcome == job.Unknown && try <= 3; try++ {
		s.Judge.Answer(j.Name, a)
		time.Sleep(client + 200*time.Millisecond)
		if w := s.balance(pick/11 + try); !w.dead.Load() {
			a = s.submit(ctx, w, j)
		}
	}
	wg.Wait()
	return a
}

func (s *Scene) submit(ctx context.Context, v *VM, j *mix.Job) *job.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan *job.Answer, 1)
	req := j.Req
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		v.clock.Now() // a paused VM takes it in later
		out <- v.Node.Submit(ctx, &req)
	}()
	select {
	case a := <-out:
		return a
	case <-v.gone:
		return job.Doubt(job.Silent, "the VM died")
	}
}

// finish lets everything that was started come to its end.
func (s *Scene) finish() {
	time.Sleep(10 * time.Second)
	s.end()
	s.wg.Wait()
	for _, n := range s.nodes {
		n.Wait()
	}
}

// Results are the jobs that arrived in the measured span.
func (s *Scene) Results() []Result {
	var in []Result
	for _, r := range s.results {
		if r.At >= s.Warm {
			in = append(in, r)
		}
	}
	return in
}

// Trace is every arrival.
func (s *Scene) Trace() []Arrival { return s.trace }

// counts are sums over all VMs.
type counts struct {
	starts int64
	wasted map[meter.Cause]int64
}

func (s *Scene) count() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := counts{wasted: map[meter.Cause]int64{}}
	for _, m := range s.meters {
		c.starts += m.Starts()
		for _, cause := range meter.Causes() {
			c.wasted[cause] += m.Wasted(cause)
		}
	}
	return c
}

// Wasted is the number of wasted messages of a cause in the measured span.
func (s *Scene) Wasted(c meter.Cause) int64 { return s.marks[1].wasted[c] - s.marks[0].wasted[c] }

// Starts is the number of attempts in the measured span.
func (s *Scene) Starts() int64 { return s.marks[1].starts - s.marks[0].starts }

// rand is a source of its own for a fault, which plays beside the load.
func (s *Scene) rand() *rand.Rand { return rand.New(rand.NewPCG(s.Seed, s.serial.Add(1))) }
