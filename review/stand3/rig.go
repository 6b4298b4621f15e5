package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/platform/stand"
)

// Bounds of the small deployments, as their sheets state them.
const (
	holdMax  = time.Second
	stopTime = 50 * time.Millisecond
	resend   = 1300 * time.Millisecond
	grace    = 6 * time.Second
	beat     = 1500 * time.Millisecond

	service = "airtime-desk"
	host    = "nony24.example"
	prefix  = "/lohu930/"
)

// layout is the number of failure domains, and of VMs and endpoints in each.
type layout struct{ zones, vms, workers int }

// small is the size of the small deployments: 8 VMs and 48 endpoints in 4 failure domains.
var small = layout{zones: 4, vms: 2, workers: 12}

// errLayout is returned if no set of free ports was found.
var errLayout = errors.New("no free ports")

// vm is one daemon and its process.
type vm struct {
	name, zone          string
	caller, ready, mesh netip.AddrPort
	metrics             netip.AddrPort
	settings            string // path
	cmd                 *exec.Cmd
	log                 *os.File
	exited              chan struct{}
	expected            bool // whether its end is
}

// rig is a deployment of daemon processes with stand-ins for the platform and its endpoints.
type rig struct {
	dir     string // of the case
	tmp     string
	trouble bool
	began   time.Time
	store   *stand.Store
	ledger  *ledger
	vms     []*vm
	workers []*fakes.Leased
	gates   map[string]*gate // by endpoint
	late    *lateOrders      // nil if no order is carried out late
	done    chan struct{}

	mu     sync.Mutex
	record *os.File
}

func newRig(dir string, trouble bool) (*rig, error) {
	tmp, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	g := &rig{dir: dir, tmp: tmp, trouble: trouble, began: time.Now(), store: stand.NewStore(), gates: map[string]*gate{}, done: make(chan struct{}), record: record}
	g.ledger = newLedger(g)
	return g, nil
}

// note writes a line to the record.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = fmt.Fprintf(g.record, "%8.3f %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...)) // a test's record
}

// serve serves a handler at an address of its own, behind a gate.
func (g *rig) serve(ip netip.Addr, h fasthttp.RequestHandler) (netip.AddrPort, *gate, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	door := newGate(l)
	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true, Logger: silent{}}
	go func() { _ = s.Serve(door) }() // it ends with the process
	return l.Addr().(*net.TCPAddr).AddrPort(), door, nil
}

// silent drops log lines of broken connections.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

func zoneName(z int) string { return fmt.Sprintf("zone-%c", 'a'+z) }

func ip(block, zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(block), byte(zone + 1), byte(n + 10)})
}

// Blocks of loopback addresses.
const (
	vmBlock     = 83
	workerBlock = 84
	storeBlock  = 85
)

// build starts the stand-ins and the daemons, and waits until all are ready.
func (g *rig) build(l layout) error {
	storeAt, _, err := g.serve(ip(storeBlock, 0, 0), g.store.Handle)
	if err != nil {
		return err
	}
	g.store.Put(stand.Operator, "config", config(3, route{"call-open", prefix, service, 0}))
	for z := range l.zones {
		for n := range l.workers {
			if err := g.addWorker(z, n); err != nil {
				return err
			}
		}
	}
	go g.beat()
	if err := g.place(l, storeAt); err != nil {
		return err
	}
	for _, v := range g.vms {
		if err := g.start(v); err != nil {
			return err
		}
	}
	return g.awaitReady(20 * time.Second)
}

func (g *rig) addWorker(z, n int) error {
	in := lease.Info{
		ID: fmt.Sprintf("w-%c%02d", 'a'+z, n), Domain: zoneName(z), Pool: service, Labels: []string{"a", fmt.Sprintf("r%d-%d", z, n/6)},
		Size: job.Size{Cores: 64, Memory: 128},
	}
	e := fakes.NewLeased(in, lease.Limits{Hold: holdMax, Stop: stopTime}, g.ledger, time.Duration(n)*time.Second, uint64(100*z+n))
	at, door, err := g.serve(ip(workerBlock, z, n), g.handle(e))
	if err != nil {
		return err
	}
	e.Addr = at
	g.gates[in.ID] = door
	g.workers = append(g.workers, e)
	g.store.Put(stand.Workers, in.ID, stand.Entry(e.CurrentInfo()))
	return nil
}

// handle returns the handler of calls to an endpoint.
func (g *rig) handle(e *fakes.Leased) fasthttp.RequestHandler {
	next := stand.Worker(e)
	return func(ctx *fasthttp.RequestCtx) {
		if g.late == nil || !g.late.take(ctx, e) {
			next(ctx)
		}
	}
}

// beat lets the endpoints write their entries.
func (g *rig) beat() {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-g.done:
			return
		}
		for _, e := range g.workers {
			if !e.Dead() {
				g.store.Put(stand.Workers, e.ID, stand.Entry(e.CurrentInfo()))
			}
		}
	}
}

// place gives each daemon its addresses and settings.
func (g *rig) place(l layout, store netip.AddrPort) error {
	for try := 0; ; try++ {
		if try == 50 {
			return errLayout
		}
		port := uint16(20000 + 8*rand.IntN(1500))
		g.vms = nil
		free := true
		for z := range l.zones {
			for n := range l.vms {
				a := ip(vmBlock, z, n)
				v := &vm{name: fmt.Sprintf("frontend-%s-%d", zoneName(z), n+1), zone: zoneName(z),
					caller: netip.AddrPortFrom(a, port), ready: netip.AddrPortFrom(a, port+1), mesh: netip.AddrPortFrom(a, port+2), metrics: netip.AddrPortFrom(a, port+3)}
				for _, at := range []netip.AddrPort{v.caller, v.ready, v.mesh, v.metrics} {
					free = free && isFree(at)
				}
				g.vms = append(g.vms, v)
			}
		}
		if free {
			break
		}
	}
	seeds := []string{}
	for _, v := range g.vms[:min(3, len(g.vms))] {
		seeds = append(seeds, netip.AddrPortFrom(v.mesh.Addr(), v.mesh.Port()+2).String())
	}
	for _, v := range g.vms {
		// As deploy/settings.json fills them in.
		text, err := json.Marshal(map[string]any{
			"name": v.name, "domain": v.zone, "caller": v.caller, "ready": v.ready, "mesh": v.mesh, "metrics": v.metrics, "store": store,
			"seeds": strings.Join(seeds, ","), "hold": holdMax.String(), "stop": stopTime.String(), "resend": resend.String(), "grace": grace.String(), "far": 2, "link": 1000,
			"speeds": true, "split": true, "demand": true, "cores": 0.4, "memory": 284,
		})
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		v.settings = filepath.Join(g.tmp, v.name+".json")
		if err := os.WriteFile(v.settings, text, 0o600); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	return nil
}

func isFree(at netip.AddrPort) bool {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// start starts a daemon with the command of the deploy file.
func (g *rig) start(v *vm) error {
	if v.log == nil {
		f, err := os.Create(filepath.Join(g.tmp, v.name+".log"))
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		v.log = f
	}
	cmd := exec.Command("target/dahliawinchd") //nolint:noctx,nolintlint // ended by signals
	cmd.Env = []string{"DAHLIAWINCH_SETTINGS=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + g.tmp}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the case
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	exited := make(chan struct{})
	g.mu.Lock()
	v.cmd, v.exited, v.expected = cmd, exited, false
	g.mu.Unlock()
	g.note("started %s %s", v.name, v.caller)
	go func() {
		_ = cmd.Wait() // the status of a killed process means nothing
		g.note("ended %s: %s", v.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (g *rig) signal(v *vm, sig syscall.Signal) {
	g.mu.Lock()
	v.expected = v.expected || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	p := v.cmd.Process
	g.mu.Unlock()
	g.note("signal %s %s", v.name, sig)
	_ = p.Signal(sig) // it may have ended
}

// awaitReady waits until all daemons answer the readiness checks.
func (g *rig) awaitReady(most time.Duration) error {
	for until := time.Now().Add(most); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, v := range g.vms {
			if v.isReady() {
				n++
			}
		}
		if n == len(g.vms) {
			g.note("all %d daemons ready", n)
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d daemons are ready after %s", n, len(g.vms), most) //nolint:err113,nolintlint // ends the case
		}
	}
}

func (v *vm) isReady() bool {
	code, _, err := fasthttp.GetTimeout(nil, "http://"+v.ready.String()+"/v1/readyz", time.Second)
	return err == nil && code == fasthttp.StatusOK
}

// crashed names the daemons that have ended by themselves.
func (g *rig) crashed() (all []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.vms {
		select {
		case <-v.exited:
			if !v.expected {
				all = append(all, v.name+" ended by itself")
			}
		default:
		}
	}
	return all
}

// close ends all processes that this run started.
func (g *rig) close() {
	close(g.done)
	for _, v := range g.vms {
		if v.cmd == nil {
			continue
		}
		g.signal(v, syscall.SIGKILL)
		<-v.exited
		_ = v.log.Close()
	}
	_ = g.record.Close()
	_ = os.RemoveAll(g.tmp)
}

// route is one queue of a configuration.
type route struct {
	name, prefix, service string
	priority              int
}

// config returns an operators' configuration.
func config(version int, routes ...route) []byte {
	all := []map[string]any{}
	for _, r := range routes {
		all = append(all, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "service": r.service, "priority": r.priority,
			"timeout_ms": 30000, "target_latency_ms": 60, "max_attempts": 3, "slack_factor": 1.6,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": all, "services": []map[string]any{{"name": service, "admission_control": true}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // plain values
	}
	return text
}
