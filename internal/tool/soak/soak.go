package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/tool/grid"
	"dahliawinch/internal/tool/local"
	"dahliawinch/platform/stand"
)

// Options configures a run.
type Options struct {
	Binary    string // daemon program
	Dir       string // for settings and logs
	Seed      uint64
	Domains   int
	VMs       int
	Endpoints int
	Rate      float64 // jobs per second
	Span      time.Duration
	// RestartsOnly restarts endpoints under their IDs, many at once, while answers overtake each other; no other fault
	// is injected, and tasks are short.
	RestartsOnly bool
	// Unseen adds restarts of endpoints under their IDs that are cut off before their owners know.
	Unseen bool
	// UnseenOnly injects these alone; tasks run for seconds, and each takes up most of an endpoint.
	UnseenOnly bool
	// GangsOnly injects no fault, and the tasks of all jobs work only together.
	GangsOnly bool
	// Settings are added to those of each daemon.
	Settings map[string]any
}

// Report holds the results of a run.
type Report struct {
	Faults     []string
	Outcomes   map[job.Outcome]int
	Starts     int
	Violations []string
	// Outlived bounds how long runs went on after the last keepalive of their job, by the daemons' metrics at the end.
	Outlived time.Duration
	TimedOut int      // jobs whose time ran out after they had begun
	Alone    []string // runs whose gang was not complete in time
}

const (
	pool = "pool"
	host = "soak.example"
	// warmup is the time from the daemons' start to the first job.
	warmup = 2 * time.Second
	// settle is how long runs may take to end after the last job.
	settle = 4 * time.Second
)

// Soak is a deployment of daemon processes with their store, endpoints and faults.
type Soak struct {
	Options
	judge     *grid.Judge
	store     *stand.Store
	faultRand *rand.Rand // for injectFaults; used by one goroutine
	// settingsRand is for changes of settings. Each kind of fault has its own generator, so that a change to one
	// kind leaves a seed's other faults as they were.
	settingsRand *rand.Rand
	// eventRand is for injectEvents, crashRand for jobs that crash their endpoints.
	eventRand, crashRand *rand.Rand
	// seriesRand is for injectSeries, longRand for jobs with tasks of seconds.
	seriesRand, longRand *rand.Rand
	gangRand             *rand.Rand // for jobs whose tasks work only together
	restartRand          *rand.Rand // for injectRestarts
	unseenRand           *rand.Rand // for injectUnseenRestarts

	began time.Time

	mu          sync.Mutex
	vms         []*vm
	endpoints   []*fakes.Leased
	byID        sync.Map     // all endpoints, also replaced ones
	proxies     []*proxy     // one for each endpoint
	restartMus  []sync.Mutex // one for each endpoint, held during a restart
	replaced    int          // number of replaced endpoints
	cordonedIDs []string     // IDs of cordoned endpoints
	cordonKnown time.Time    // when connected VMs can learn of the cordon
	faultyUntil time.Time    // until then VMs may miss changes in the store
	faults      []string
	outcomes    map[job.Outcome]int
	cleanups    []func()
}

// vm is one daemon and its process.
type vm struct {
	n            int
	callerAddr   netip.AddrPort
	settingsPath string
	settings     map[string]any // content of the settings file
	storeProxy   *proxy         // to the store
	restartMu    sync.Mutex     // held during a restart and while settings are changed
	fileMu       sync.Mutex     // guards the settings file
	cmd          *exec.Cmd
	log          *os.File
	exited       chan struct{}
}

// Run executes one run and reports what it observed.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &Soak{Options: o, judge: grid.NewJudge(), store: stand.NewStore(), faultRand: rand.New(rand.NewPCG(o.Seed, 31)), settingsRand: rand.New(rand.NewPCG(o.Seed, 32)), eventRand: rand.New(rand.NewPCG(o.Seed, 33)), crashRand: rand.New(rand.NewPCG(o.Seed, 34)), seriesRand: rand.New(rand.NewPCG(o.Seed, 35)), longRand: rand.New(rand.NewPCG(o.Seed, 36)), restartRand: rand.New(rand.NewPCG(o.Seed, 37)), gangRand: rand.New(rand.NewPCG(o.Seed, 38)), unseenRand: rand.New(rand.NewPCG(o.Seed, 39)), outcomes: map[job.Outcome]int{}}
	defer s.shutdown()
	s.judge.LeaseEnd = s.leaseEnd
	s.restartMus = make([]sync.Mutex, o.Endpoints)
	if err := s.build(); err != nil {
		return Report{}, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	s.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, warmup+o.Span)
	defer cancel()
	var wg sync.WaitGroup
	if !o.GangsOnly && !o.UnseenOnly {
		wg.Go(func() { s.injectRestarts(ctx) })
	}
	if o.UnseenOnly || o.Unseen {
		wg.Go(func() { s.injectUnseenRestarts(ctx) })
	}
	switch {
	case o.GangsOnly, o.UnseenOnly:
	case o.RestartsOnly:
		for _, p := range s.proxies {
			p.setMode(jitter)
		}
	default:
		wg.Go(func() { s.injectFaults(ctx) })
		wg.Go(func() { s.injectEvents(ctx) })
		wg.Go(func() { s.injectSeries(ctx) })
	}
	time.Sleep(warmup)
	s.load(ctx, &wg)
	wg.Wait()
	s.clearFaults()
	time.Sleep(settle)
	rep := Report{Faults: s.faults, Outcomes: s.outcomes, Starts: s.judge.Starts, Violations: s.judge.Violations()}
	rep.Alone = s.judge.Alone()
	if n := s.judge.Running(); n > 0 {
		rep.Violations = append(rep.Violations, fmt.Sprintf("%d runs did not end", n))
	}
	rep.Violations = append(rep.Violations, s.ended()...)
	var err error
	if rep.Outlived, err = s.outlived(); err != nil {
		return rep, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	if rep.TimedOut, err = s.timedOut(); err != nil {
		return rep, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	return rep, nil
}

// ended names the daemons that have ended by themselves since their last start.
func (s *Soak) ended() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.vms {
		select {
		case <-v.exited:
			all = append(all, fmt.Sprintf("vm %d ended by itself", v.n))
		default:
		}
	}
	return all
}

func (s *Soak) serve(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go func() { _ = srv.Serve(l) }()
	s.cleanups = append(s.cleanups, func() { _ = l.Close() })
	return l.Addr().String(), nil
}

func (s *Soak) build() (err error) {
	at, err := s.serve(s.store.Handle)
	if err != nil {
		return err
	}
	s.store.Put(stand.Operator, "config", stand.Config(1, host, pool, "/u/", "/p/"))
	for i := range s.Endpoints {
		if err := s.addEndpoint(i); err != nil {
			return err
		}
	}
	odd := s.endpoints[0].CurrentInfo()
	for name, text := range stand.OddEntries(odd) {
		s.store.Put(stand.Workers, "odd "+name, text)
	}
	for i := range s.VMs {
		v, err := s.newVM(i, at)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if err := s.start(v); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) domain(n int) string { return fmt.Sprintf("fd-%d", n%s.Domains) }

// limits holds the lease limits of the endpoints.
var limits = lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond}

// speeds are the speeds of the endpoints, in turn: healthy ones of three kinds.
var speeds = []float64{0.7, 1, 1.7}

// leaseEnd returns when the lease of an endpoint's runs ends.
func (s *Soak) leaseEnd(id string) time.Time {
	e, ok := s.byID.Load(id)
	if !ok {
		return time.Now().Add(limits.Hold)
	}
	return e.(*fakes.Leased).LeaseEnd()
}

func (s *Soak) addEndpoint(i int) error {
	in := lease.Info{ID: fmt.Sprintf("ep-%02d", i), Domain: s.domain(i), Pool: pool, Size: endpointSize}
	e := fakes.NewLeased(in, limits, s.judge, time.Duration(i)*time.Second, s.Seed+uint64(i))
	e.Speed = speeds[i%len(speeds)]
	e.Crashed = func() { s.replace(i, e) }
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e) // before it is served: daemons of another play may call its port
	s.mu.Unlock()
	s.byID.Store(e.ID, e)
	at, err := s.serve(func(ctx *fasthttp.RequestCtx) { stand.Worker(s.endpointAt(i))(ctx) })
	if err != nil {
		return err
	}
	p, err := newProxy(at)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	in.Addr = p.addr().(*net.TCPAddr).AddrPort()
	e.Addr = in.Addr
	s.proxies = append(s.proxies, p)
	s.store.Put(stand.Workers, in.ID, stand.Entry(in))
	return nil
}

func (s *Soak) newVM(i int, store string) (*vm, error) {
	storeProxy, err := newProxy(store)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var at [4]netip.AddrPort
	for k := range at {
		if at[k], err = local.FreeAddr(); err != nil {
			return nil, err
		}
	}
	v := &vm{n: i, callerAddr: at[0], storeProxy: storeProxy, settingsPath: filepath.Join(s.Dir, fmt.Sprintf("vm-%d.json", i)), settings: map[string]any{
		"name": fmt.Sprint("vm-", i), "domain": s.domain(i), "caller": at[0], "ready": at[1], "mesh": at[2], "metrics": at[3], "store": storeProxy.addr().String(),
	}}
	maps.Copy(v.settings, s.Settings)
	if err = v.write(v.settings); err != nil {
		return nil, err
	}
	v.log, err = os.Create(filepath.Join(s.Dir, fmt.Sprintf("vm-%d.log", i)))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return v, nil
}

// write replaces the settings file atomically.
func (v *vm) write(settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("settings of vm %d: %w", v.n, err)
	}
	v.fileMu.Lock()
	defer v.fileMu.Unlock()
	next := v.settingsPath + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("settings of vm %d: %w", v.n, err)
	}
	if err := os.Rename(next, v.settingsPath); err != nil {
		return fmt.Errorf("settings of vm %d: %w", v.n, err)
	}
	return nil
}

// start starts a daemon's process, which must not be running.
func (s *Soak) start(v *vm) error {
	cmd := exec.Command(s.Binary, "serve", v.settingsPath) //nolint:noctx // ended by signals
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start vm %d: %w", v.n, err)
	}
	exited := make(chan struct{})
	s.mu.Lock()
	v.cmd, v.exited = cmd, exited
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status of a killed process means nothing
		close(exited)
	}()
	return nil
}

func (s *Soak) signal(v *vm, sig syscall.Signal) {
	s.mu.Lock()
	p := v.cmd.Process
	s.mu.Unlock()
	_ = p.Signal(sig) // it may have exited already
}

// shutdown ends all processes, proxies and servers that this run started.
func (s *Soak) shutdown() {
	for _, v := range s.vms {
		if v.cmd != nil {
			s.signal(v, syscall.SIGKILL)
			<-v.exited
		}
		_ = v.log.Close()
		v.storeProxy.close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	for _, stop := range s.cleanups {
		stop()
	}
}
