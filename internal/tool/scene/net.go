// Package scene simulates a deployment: complete entry VMs on fake endpoints, network
// and platform, under load and injected faults, in the virtual time of
// testing/synctest.
package scene

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/conf/keeper"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/ledger"
	"dahliawinch/internal/task/flow"
)

// One-way network delays.
const (
	innerDelay  = 250 * time.Microsecond // inside a failure domain
	crossDelay  = time.Millisecond       // between failure domains
	clientDelay = 3 * time.Millisecond   // between caller and VM
)

// clock is a VM's clock. It simulates a pause of the VM: until the pause ends, Now
// blocks, and with it all code of the VM that reads the time.
type clock struct {
	mu    sync.Mutex
	until time.Time
}

func (c *clock) Now() time.Time {
	for {
		c.mu.Lock()
		d := time.Until(c.until)
		c.mu.Unlock()
		if d <= 0 {
			return time.Now()
		}
		time.Sleep(d)
	}
}

func (c *clock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(d)
}

var errUnreachable = errors.New("unreachable")

// runner runs one VM's tasks on the fake endpoints.
type runner struct {
	s    *Scene
	from *VM
}

func (w *runner) delay(e *fakes.Endpoint) time.Duration {
	if e.Domain == w.from.Domain {
		return innerDelay
	}
	return crossDelay
}

// Run implements flow.Runner.
func (w *runner) Run(ctx context.Context, at netip.AddrPort, x flow.Exchange) flow.Result {
	e := w.s.endpoints[at]
	if e == nil || e.Dead() || w.s.isCut(w.from.Domain, e.Domain) {
		time.Sleep(w.delay(e) * 2)
		return flow.Result{Status: flow.Unsent, Err: errUnreachable}
	}
	if !x.Begin() {
		return flow.Result{Status: flow.Unsent}
	}
	w.from.tasks.Add(1)
	out := make(chan flow.Result, 1)
	w.s.wg.Add(1)
	go func() {
		defer w.s.wg.Done()
		time.Sleep(w.delay(e))
		r := serve(e, x.Body)
		time.Sleep(w.delay(e))
		out <- r
	}()
	timeout := time.NewTimer(time.Until(x.Deadline))
	defer timeout.Stop()
	select {
	case r := <-out:
		return r
	case <-timeout.C:
		return flow.Result{Status: flow.Lost, Err: context.DeadlineExceeded}
	case <-ctx.Done():
		return flow.Result{Status: flow.Lost, Err: ctx.Err()}
	}
}

func serve(e *fakes.Endpoint, body []byte) flow.Result {
	if e.Dead() {
		return flow.Result{Status: flow.Lost, Err: errUnreachable}
	}
	reply, result, died := e.Serve(body)
	switch {
	case died != nil:
		return flow.Result{Status: flow.Lost, Err: errUnreachable}
	case reply == fakes.Good:
		return flow.Result{Status: flow.Ran, Body: result, Leaving: e.Leaving()}
	case reply == fakes.Broken:
		return flow.Result{Status: flow.Failed, Leaving: e.Leaving()}
	default:
		return flow.Result{Status: flow.Refused, Leaving: e.Leaving()}
	}
}

// Probe implements flow.Runner.
func (w *runner) Probe(_ context.Context, at netip.AddrPort) (bool, error) {
	e := w.s.endpoints[at]
	time.Sleep(2 * w.delay(e))
	if e.Dead() || w.s.isCut(w.from.Domain, e.Domain) {
		return false, errUnreachable
	}
	return e.Leaving(), nil
}

// vmLog is the platform's log as one VM sees it.
type vmLog struct {
	s    *Scene
	from *VM
}

func (l *vmLog) isCut() bool {
	l.from.clock.Now()
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.s.logCuts[l.from.Domain]
}

// Append implements ledger.Log.
func (l *vmLog) Append(ctx context.Context, data []byte) (int64, error) {
	time.Sleep(crossDelay)
	if l.isCut() {
		return 0, ledger.ErrDown
	}
	return l.s.Stream.Append(ctx, data)
}

// Read implements ledger.Log.
func (l *vmLog) Read(ctx context.Context, from int64, wait time.Duration) (ledger.Page, error) {
	time.Sleep(crossDelay)
	if l.isCut() {
		return ledger.Page{}, ledger.ErrDown
	}
	return l.s.Stream.Read(ctx, from, min(wait, time.Second))
}

// link carries messages from one VM to one incarnation of another.
type link struct {
	s    *Scene
	from *VM
	to   *VM
	lane *fakes.Lane
}

func (l *link) run() {
	defer l.s.wg.Done()
	l.lane.Run(l.s.ctx, func(m frame.Msg) {
		for l.s.isCut(l.from.Domain, l.to.Domain) && !l.to.dead.Load() {
			time.Sleep(10 * time.Millisecond) // delivered after the partition
		}
		if l.to.dead.Load() {
			return
		}
		l.to.clock.Now() // a paused VM reads when it resumes
		l.to.Node.Receive(l.from.hello(), m)
	})
}

// vmMesh is the mesh as one VM sees it.
type vmMesh struct {
	s     *Scene
	from  *VM
	mu    sync.Mutex
	links map[*VM]*link
}

// Send implements flow.Mesh.
func (p *vmMesh) Send(to netip.AddrPort, m frame.Msg) error {
	vm := p.s.vmAt(to)
	if vm == nil || vm.dead.Load() || p.from.dead.Load() {
		return flow.ErrNoLink
	}
	p.mu.Lock()
	l := p.links[vm]
	if l == nil {
		l = &link{s: p.s, from: p.from, to: vm, lane: fakes.NewLane()}
		p.links[vm] = l
		p.s.wg.Add(1)
		go l.run()
	}
	p.mu.Unlock()
	d := crossDelay
	if vm.Domain == p.from.Domain {
		d = innerDelay
	}
	p.from.sent.Add(1)
	if !l.lane.Put(d+time.Duration(p.from.delay.Load()), m) {
		return flow.ErrNoLink
	}
	return nil
}

// Connect implements flow.Mesh.
func (p *vmMesh) Connect(_ context.Context, vm netip.AddrPort) (uint64, error) {
	time.Sleep(2 * crossDelay)
	v := p.s.vmAt(vm)
	if v == nil || v.dead.Load() || p.s.isCut(p.from.Domain, v.Domain) {
		return 0, flow.ErrNoLink
	}
	return v.Inc, nil
}

// VM is one incarnation of an entry VM in a scene.
type VM struct {
	Mesh     netip.AddrPort
	Domain   string
	Inc      uint64
	Node     *flow.Node
	Keeper   *keeper.Keeper
	clock    *clock
	cancel   context.CancelFunc
	killed   chan struct{} // closed when the VM is killed
	dead     atomic.Bool
	unrouted atomic.Bool // the load balancer sends no more callers
	tasks    atomic.Int64
	sent     atomic.Int64
	delay    atomic.Int64 // nanoseconds added to the delay of messages to other VMs
}

// Rev returns the revision in force on the VM.
func (v *VM) Rev() uint64 {
	r, _, _ := v.Node.InForce()
	return r.Rev
}

func (v *VM) hello() frame.Hello { return frame.Hello{VM: v.Mesh, Inc: v.Inc, Domain: v.Domain} }
