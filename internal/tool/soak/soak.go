package soak

import (
	"context"
	"encoding/json"
	"fmt"
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

// Options of a run.
type Options struct {
	Binary    string // the program that runs daemons
	Dir       string // for settings and logs
	Seed      uint64
	Domains   int
	VMs       int
	Endpoints int
	Rate      float64 // jobs per second
	Span      time.Duration
}

// Report of a run.
type Report struct {
	Faults   []string
	Outcomes map[job.Outcome]int
	Starts   int
	Broken   []string
	// Outlived bounds how long runs went on after the last keepalive of their job, as far as daemons tell at the end.
	Outlived time.Duration
}

const (
	pool = "pool"
	host = "soak.example"
	// warm is how long the daemons have before callers come.
	warm = 2 * time.Second
	// settle is how long runs may take to end after the last caller.
	settle = 4 * time.Second
)

// Soak is a deployment of processes in play.
type Soak struct {
	Options
	judge *grid.Judge
	store *stand.Store
	r     *rand.Rand // of the faults, one goroutine
	// declares is of the settings, so that a seed's other faults stay what they were.
	declares *rand.Rand
	// harasses is of what harass plays, and guilt of the jobs that crash their endpoints.
	harasses, guilt *rand.Rand
	// strikes is of what strike plays, longs of the jobs with tasks of seconds.
	strikes, longs *rand.Rand

	began time.Time

	mu     sync.Mutex
	vms    []*vm
	eps    []*fakes.Leased
	doors  []*proxy  // before each endpoint
	lives  int       // of endpoints that were reborn
	shut   []string  // endpoints that are cordoned,
	force  time.Time // and from when on a VM in touch may know
	faulty time.Time // until then VMs may hear nothing
	faults []string
	told   map[job.Outcome]int
	stops  []func()
}

// vm is one daemon and its process.
type vm struct {
	n        int
	callers  netip.AddrPort
	settings string
	set      map[string]any // what stands there
	vault    *proxy         // between it and the store
	life     sync.Mutex     // held while it is restarted
	file     sync.Mutex     // held while settings are written
	cmd      *exec.Cmd
	log      *os.File
	ended    chan struct{}
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &Soak{Options: o, judge: grid.NewJudge(), store: stand.NewStore(), r: rand.New(rand.NewPCG(o.Seed, 31)), declares: rand.New(rand.NewPCG(o.Seed, 32)), harasses: rand.New(rand.NewPCG(o.Seed, 33)), guilt: rand.New(rand.NewPCG(o.Seed, 34)), strikes: rand.New(rand.NewPCG(o.Seed, 35)), longs: rand.New(rand.NewPCG(o.Seed, 36)), told: map[job.Outcome]int{}}
	defer s.end()
	if err := s.build(); err != nil {
		return Report{}, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	s.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, warm+o.Span)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.disturb(ctx) })
	wg.Go(func() { s.harass(ctx) })
	wg.Go(func() { s.strike(ctx) })
	time.Sleep(warm)
	s.load(ctx, &wg)
	wg.Wait()
	s.calm()
	time.Sleep(settle)
	rep := Report{Faults: s.faults, Outcomes: s.told, Starts: s.judge.Starts, Broken: s.judge.Broken()}
	if n := s.judge.Running(); n > 0 {
		rep.Broken = append(rep.Broken, fmt.Sprintf("%d runs never ended", n))
	}
	var err error
	if rep.Outlived, err = s.outlived(); err != nil {
		return rep, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	return rep, nil
}

func (s *Soak) serve(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go func() { _ = srv.Serve(l) }()
	s.stops = append(s.stops, func() { _ = l.Close() })
	return l.Addr().String(), nil
}

func (s *Soak) build() (err error) {
	at, err := s.serve(s.store.Handle)
	if err != nil {
		return err
	}
	s.store.Put(stand.Operator, "config", stand.Config(1, host, pool, "/u/", "/p/"))
	for i := range s.Endpoints {
		if err := s.endpoint(i); err != nil {
			return err
		}
	}
	for i := range s.VMs {
		v, err := s.settings(i, at)
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

// limits of the endpoints.
var limits = lease.Limits{Hold: time.Second, Stop: 50 * time.Millisecond}

func (s *Soak) endpoint(i int) error {
	in := lease.Info{ID: fmt.Sprintf("ep-%02d", i), Domain: s.domain(i), Pool: pool, Size: room}
	e := fakes.NewLeased(in, limits, s.judge, time.Duration(i)*time.Second, s.Seed+uint64(i))
	e.Crashed = func() { s.reborn(i, e) }
	at, err := s.serve(func(ctx *fasthttp.RequestCtx) { stand.Worker(s.ep(i))(ctx) })
	if err != nil {
		return err
	}
	p, err := newProxy(at)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	in.Addr = p.l.Addr().(*net.TCPAddr).AddrPort()
	e.Addr = in.Addr
	s.eps, s.doors = append(s.eps, e), append(s.doors, p)
	s.store.Put(stand.Workers, in.ID, stand.Entry(in))
	return nil
}

func (s *Soak) settings(i int, store string) (*vm, error) {
	vault, err := newProxy(store)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var at [4]netip.AddrPort
	for k := range at {
		if at[k], err = local.Spare(); err != nil {
			return nil, err
		}
	}
	v := &vm{n: i, callers: at[0], vault: vault, settings: filepath.Join(s.Dir, fmt.Sprintf("vm-%d.json", i)), set: map[string]any{
		"name": fmt.Sprint("vm-", i), "domain": s.domain(i), "caller": at[0], "ready": at[1], "mesh": at[2], "metrics": at[3], "store": vault.l.Addr().String(),
	}}
	if err = v.write(v.set); err != nil {
		return nil, err
	}
	v.log, err = os.Create(filepath.Join(s.Dir, fmt.Sprintf("vm-%d.log", i)))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return v, nil
}

// write puts settings where the daemon reads them, whole.
func (v *vm) write(set map[string]any) error {
	text, err := json.Marshal(set)
	if err != nil {
		return fmt.Errorf("settings of vm %d: %w", v.n, err)
	}
	v.file.Lock()
	defer v.file.Unlock()
	next := v.settings + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("settings of vm %d: %w", v.n, err)
	}
	if err := os.Rename(next, v.settings); err != nil {
		return fmt.Errorf("settings of vm %d: %w", v.n, err)
	}
	return nil
}

// start starts a daemon's process; the caller knows that it is not running.
func (s *Soak) start(v *vm) error {
	cmd := exec.Command(s.Binary, "serve", v.settings) //nolint:noctx // it is ended by signals
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start vm %d: %w", v.n, err)
	}
	ended := make(chan struct{})
	s.mu.Lock()
	v.cmd, v.ended = cmd, ended
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how a killed process ended says nothing
		close(ended)
	}()
	return nil
}

func (s *Soak) signal(v *vm, sig syscall.Signal) {
	s.mu.Lock()
	p := v.cmd.Process
	s.mu.Unlock()
	_ = p.Signal(sig) // it may have ended already
}

// end ends what this run started, by its own handles.
func (s *Soak) end() {
	for _, v := range s.vms {
		if v.cmd != nil {
			s.signal(v, syscall.SIGKILL)
			<-v.ended
		}
		_ = v.log.Close()
		v.vault.close()
	}
	for _, p := range s.doors {
		p.close()
	}
	for _, stop := range s.stops {
		stop()
	}
}
