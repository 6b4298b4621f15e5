// Package scene puts whole entry VMs between small stand-ins and plays load and
// faults against them, in the virtual time of testing/synctest.
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

// One-way delays of the brief.
const (
	within  = 250 * time.Microsecond // a failure domain
	between = time.Millisecond       // failure domains
	client  = 3 * time.Millisecond
)

// clock is a VM's clock; while the VM is paused nothing that asks for the time
// goes on, which is what a pause is.
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

// wire runs tasks on the endpoint stand-ins for one VM.
type wire struct {
	s    *Scene
	from *VM
}

func (w *wire) delay(e *fakes.Endpoint) time.Duration {
	if e.Domain == w.from.Domain {
		return within
	}
	return between
}

// Run implements flow.Runner.
func (w *wire) Run(ctx context.Context, at netip.AddrPort, x flow.Exchange) flow.Result {
	e := w.s.endpoints[at]
	if e == nil || e.Dead() || w.s.cut(w.from.Domain, e.Domain) {
		time.Sleep(w.delay(e) * 2)
		return flow.Result{Ending: flow.Unsent, Err: errUnreachable}
	}
	if !x.Begin() {
		return flow.Result{Ending: flow.Unsent}
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
	ends := time.NewTimer(time.Until(x.Until))
	defer ends.Stop()
	select {
	case r := <-out:
		return r
	case <-ends.C:
		return flow.Result{Ending: flow.Lost, Err: context.DeadlineExceeded}
	case <-ctx.Done():
		return flow.Result{Ending: flow.Lost, Err: ctx.Err()}
	}
}

func serve(e *fakes.Endpoint, body []byte) flow.Result {
	if e.Dead() {
		return flow.Result{Ending: flow.Lost, Err: errUnreachable}
	}
	reply, result, died := e.Serve(body)
	switch {
	case died != nil:
		return flow.Result{Ending: flow.Lost, Err: errUnreachable}
	case reply == fakes.Good:
		return flow.Result{Ending: flow.Ran, Body: result, Leaving: e.Leaving()}
	case reply == fakes.Broken:
		return flow.Result{Ending: flow.RanBadly, Leaving: e.Leaving()}
	default:
		return flow.Result{Ending: flow.Refused, Leaving: e.Leaving()}
	}
}

// Ask implements flow.Runner.
func (w *wire) Ask(_ context.Context, at netip.AddrPort) (bool, error) {
	e := w.s.endpoints[at]
	time.Sleep(2 * w.delay(e))
	if e.Dead() || w.s.cut(w.from.Domain, e.Domain) {
		return false, errUnreachable
	}
	return e.Leaving(), nil
}

// reach is the log as one VM reaches it.
type reach struct {
	s    *Scene
	from *VM
}

func (r *reach) cut() bool {
	r.from.clock.Now()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.logless[r.from.Domain]
}

// Append implements ledger.Log.
func (r *reach) Append(ctx context.Context, data []byte) (int64, error) {
	time.Sleep(between)
	if r.cut() {
		return 0, ledger.ErrDown
	}
	return r.s.Stream.Append(ctx, data)
}

// Read implements ledger.Log.
func (r *reach) Read(ctx context.Context, from int64, wait time.Duration) (ledger.Page, error) {
	time.Sleep(between)
	if r.cut() {
		return ledger.Page{}, ledger.ErrDown
	}
	return r.s.Stream.Read(ctx, from, min(wait, time.Second))
}

// link carries the messages of one VM to one incarnation of another.
type link struct {
	s    *Scene
	from *VM
	to   *VM
	lane *fakes.Lane
}

func (l *link) run() {
	defer l.s.wg.Done()
	l.lane.Run(l.s.ctx, func(m frame.Msg) {
		for l.s.cut(l.from.Domain, l.to.Domain) && !l.to.dead.Load() {
			time.Sleep(10 * time.Millisecond) // kept and sent again after the cut
		}
		if l.to.dead.Load() {
			return
		}
		l.to.clock.Now() // a paused VM reads later
		l.to.Node.Receive(l.from.hello(), m)
	})
}

// post is the mesh of one VM.
type post struct {
	s     *Scene
	from  *VM
	mu    sync.Mutex
	links map[*VM]*link
}

// Cast implements flow.Mesh.
func (p *post) Cast(to netip.AddrPort, m frame.Msg) error {
	vm := p.s.at(to)
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
	d := between
	if vm.Domain == p.from.Domain {
		d = within
	}
	p.from.sent.Add(1)
	if !l.lane.Put(d+time.Duration(p.from.late.Load()), m) {
		return flow.ErrNoLink
	}
	return nil
}

// Reach implements flow.Mesh.
func (p *post) Reach(_ context.Context, vm netip.AddrPort) (uint64, error) {
	time.Sleep(2 * between)
	v := p.s.at(vm)
	if v == nil || v.dead.Load() || p.s.cut(p.from.Domain, v.Domain) {
		return 0, flow.ErrNoLink
	}
	return v.Inc, nil
}

// VM is one entry VM of the scene.
type VM struct {
	Mesh   netip.AddrPort
	Domain string
	Inc    uint64
	Node   *flow.Node
	Keeper *keeper.Keeper
	clock  *clock
	cancel context.CancelFunc
	gone   chan struct{} // closed when it dies
	dead   atomic.Bool
	closed atomic.Bool // the balancer sends nothing more
	tasks  atomic.Int64
	sent   atomic.Int64
	late   atomic.Int64 // nanoseconds that its messages to other VMs take longer
}

// Rev is the revision in force on the VM.
func (v *VM) Rev() uint64 {
	r, _, _ := v.Node.InForce()
	return r.Rev
}

func (v *VM) hello() frame.Hello { return frame.Hello{VM: v.Mesh, Inc: v.Inc, Domain: v.Domain} }
