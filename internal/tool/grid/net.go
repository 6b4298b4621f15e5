// Package grid plays whole entry VMs on leased endpoints between small stand-ins, under
// load and faults, in the virtual time of testing/synctest.
package grid

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/edge/serve"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/feed"
	"dahliawinch/internal/task/lease"
)

// One-way delays between VMs and to endpoints.
const (
	within  = 100 * time.Microsecond // a failure domain
	between = 900 * time.Microsecond // failure domains
	storing = 4 * time.Millisecond   // an answer of the store
)

// clock is a VM's clock. While the VM is paused its timers stand still, and so does
// whatever passes a gate: orders, answers and messages.
type clock struct {
	mu    sync.Mutex
	from  time.Time
	until time.Time
}

// Now implements timer.Clock for the timers.
func (c *clock) Now() time.Time {
	c.gate()
	return time.Now()
}

// gate waits until the VM runs.
func (c *clock) gate() {
	for {
		c.mu.Lock()
		d := time.Until(c.until)
		c.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// stands reports for how long the VM has been paused.
func (c *clock) stands() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.until) {
		return 0
	}
	return time.Since(c.from)
}

func (c *clock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from, c.until = time.Now(), time.Now().Add(d)
}

// VM is one entry VM of the grid.
type VM struct {
	Mesh   netip.AddrPort
	Domain string
	Inc    uint64
	Node   *serve.Node
	born   time.Time
	clock  *clock
	up     *uplink
	cancel context.CancelFunc
	dead   atomic.Bool
	ready  atomic.Bool // the balancer sends callers
	orders atomic.Int64
	alone  atomic.Bool  // no message passes between it and other VMs
	party  atomic.Int32 // messages pass within one only
	deaf   atomic.Bool  // no message of other VMs reaches it
	// known is set once the balancer has found a VM ready at the address, shunned while it sends it no callers.
	known, shunned atomic.Bool
	died           time.Time // for Boot
}

var (
	errCut  = errors.New("cut off")
	errDead = errors.New("the VM is dead")
)

// link carries the messages of one VM to one incarnation of another.
type link struct {
	g        *Grid
	from, to *VM
	lane     *fakes.Lane
}

// deaf is how long a peer may stand still before a link to it counts as lost.
const deaf = 500 * time.Millisecond

// healed is how long after a cut kept messages go on.
const healed = 20 * time.Millisecond

func (l *link) run() {
	defer l.g.wg.Done()
	l.lane.Run(l.g.ctx, func(m frame.Msg) {
		for l.g.linkless(l.from.Domain, l.to.Domain) && !l.to.dead.Load() && l.g.ctx.Err() == nil {
			if !frame.Reliable(m) {
				break
			}
			time.Sleep(healed)
		}
		if l.to.dead.Load() || l.from.isApart(l.to) || l.to.deaf.Load() || l.g.linkless(l.from.Domain, l.to.Domain) {
			return
		}
		l.to.clock.gate() // a paused VM reads later
		l.to.Node.Receive(frame.Hello{VM: l.from.Mesh, Inc: l.from.Inc, Domain: l.from.Domain}, m)
	})
}

// post is the mesh of one VM.
type post struct {
	g     *Grid
	from  *VM
	mu    sync.Mutex
	links map[*VM]*link
}

// Cast implements serve.Mesh.
func (p *post) Cast(to netip.AddrPort, m frame.Msg) error {
	p.g.Casts.Add(1)
	if p.g.Weigh {
		p.g.weigh(m)
	}
	vm := p.g.at(to)
	if vm == nil || vm.dead.Load() || p.from.dead.Load() {
		return errDead
	}
	if p.from.isApart(vm) || vm.deaf.Load() {
		return errCut
	}
	if vm.clock.stands() > deaf && !frame.Answering(m) {
		return errCut
	}
	p.mu.Lock()
	l := p.links[vm]
	if l == nil {
		l = &link{g: p.g, from: p.from, to: vm, lane: fakes.NewLane()}
		p.links[vm] = l
		p.g.wg.Add(1)
		go l.run()
	}
	p.mu.Unlock()
	if !l.lane.Put(delay(p.from.Domain, vm.Domain)+p.from.up.takes(sizeOf(m)), m) {
		return errCut
	}
	return nil
}

// weigh counts a message's bytes if it is one of control.
func (g *Grid) weigh(m frame.Msg) {
	switch m.(type) {
	case *frame.Hand, *frame.Told, *frame.Drop:
		return
	}
	b, err := frame.Append(nil, m)
	if err != nil {
		panic(err) // messages of this program can be coded
	}
	g.Control.Add(int64(len(b)))
}

// Spread implements serve.Mesh.
func (p *post) Spread(to []netip.AddrPort, m frame.Msg) {
	for _, vm := range to {
		_ = p.Cast(vm, m) // it may be lost
	}
}

// unanswered is how long two dials to a machine without power take.
const unanswered = 250 * time.Millisecond

// Absent implements serve.Mesh: machines of dead VMs have no power, and no path is one that answers.
func (p *post) Absent(to netip.AddrPort) bool {
	vm := p.g.at(to)
	return (vm == nil || vm.dead.Load() || !p.connects(vm)) && time.Since(p.from.born) >= unanswered
}

// isApart reports whether no message passes between two VMs.
func (v *VM) isApart(o *VM) bool {
	return v.alone.Load() || o.alone.Load() || v.party.Load() != o.party.Load()
}

// connects reports whether a connection to a VM can be made, which takes both ways.
func (p *post) connects(to *VM) bool {
	return !p.from.isApart(to) && !p.g.isCut(p.from.Domain, to.Domain) && !p.g.isCut(to.Domain, p.from.Domain)
}

// Refused implements serve.Mesh: no machine here runs without its process.
func (p *post) Refused(netip.AddrPort) bool { return false }

func delay(a, b string) time.Duration {
	if a == b {
		return within
	}
	return between
}

// hands reach the endpoints from one VM.
type hands struct {
	g    *Grid
	from *VM
}

// reach brings an order to an endpoint, if it is not cut off, and its answer back. On a narrow link
// it may arrive after its sender has given it up.
func (h *hands) reach(ctx context.Context, to agent.Target, bytes int, do func(*fakes.Leased) error) error {
	h.from.clock.gate()
	if h.from.dead.Load() {
		return errDead
	}
	h.from.orders.Add(1)
	wait := h.from.up.takes(bytes)
	if wait == 0 {
		return h.bring(ctx, to, 0, do)
	}
	done := make(chan error, 1)
	h.g.wg.Add(1)
	go func() {
		defer h.g.wg.Done()
		done <- h.bring(ctx, to, wait, do)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errLate
	}
}

var errLate = errors.New("no answer in time")

// bring does what reach says once an order has waited for its turn on the link.
func (h *hands) bring(ctx context.Context, to agent.Target, wait time.Duration, do func(*fakes.Leased) error) error {
	e := h.g.endpoint(to.ID)
	d := delay(h.from.Domain, e.Domain)
	time.Sleep(wait + d)
	if h.g.isCut(h.from.Domain, e.Domain) {
		<-ctx.Done()
		return errCut
	}
	err := do(e)
	time.Sleep(d)
	if h.g.isCut(e.Domain, h.from.Domain) {
		<-ctx.Done()
		return errCut
	}
	h.from.clock.gate()
	return err
}

// Start implements agent.Agent.
func (h *hands) Start(ctx context.Context, to agent.Target, o agent.Start) error {
	return h.reach(ctx, to, startBytes, func(e *fakes.Leased) error { return e.Start(ctx, to.ID, o) })
}

// Stop implements agent.Agent.
func (h *hands) Stop(ctx context.Context, to agent.Target, n lease.Name, fence uint64) error {
	return h.reach(ctx, to, otherBytes, func(e *fakes.Leased) error { return e.Stop(ctx, to.ID, n, fence) })
}

// Renew implements agent.Agent.
func (h *hands) Renew(ctx context.Context, to agent.Target, o agent.Renew) (lease.Report, error) {
	var r lease.Report // an answer that comes too late still writes it
	err := h.reach(ctx, to, otherBytes, func(e *fakes.Leased) (err error) {
		r, err = e.Renew(ctx, to.ID, o)
		return err
	})
	if err != nil {
		return lease.Report{}, err
	}
	return r, nil
}

// Reach implements agent.Agent.
func (h *hands) Reach(ctx context.Context, to agent.Target) error {
	return h.reach(ctx, to, 0, func(*fakes.Leased) error { return nil })
}

// Forget implements agent.Agent.
func (h *hands) Forget(agent.Target) {}

// seen is a topic as one VM reaches it.
type seen[T any] struct {
	t       *fakes.Topic[T]
	g       *Grid
	from    *VM
	records *atomic.Int64 // what it gave, counted
}

func (s *seen[T]) reach() error {
	s.g.StoreCalls.Add(1)
	s.from.clock.gate()
	time.Sleep(max(storing, s.g.Store))
	if s.g.storeless(s.from) {
		return fakes.ErrStore
	}
	return nil
}

// Newest implements feed.Source.
func (s *seen[T]) Newest(ctx context.Context) ([]feed.Update[T], int64, error) {
	if err := s.reach(); err != nil {
		return nil, 0, err
	}
	us, next, err := s.t.Newest(ctx)
	if err != nil {
		return nil, 0, fmt.Errorf("newest: %w", err)
	}
	s.records.Add(int64(len(us)))
	return us, next, nil
}

// Next implements feed.Source.
func (s *seen[T]) Next(ctx context.Context, from int64, a feed.Ask) (b feed.Batch[T], err error) {
	if err := s.reach(); err != nil {
		return b, err
	}
	if b, err = s.t.Next(ctx, from, a); err != nil {
		return b, fmt.Errorf("next: %w", err)
	}
	s.records.Add(int64(len(b.All)))
	return b, nil
}

// registry is the VMs' topic as one VM reaches it.
type registry struct{ seen[serve.VM] }

// Join implements serve.Registry.
func (r *registry) Join(_ context.Context, vm serve.VM) error {
	if err := r.reach(); err != nil {
		return err
	}
	r.t.Put(vm.Mesh.String(), vm)
	return nil
}

// Leave implements serve.Registry.
func (r *registry) Leave(_ context.Context, vm serve.VM) error {
	if err := r.reach(); err != nil {
		return err
	}
	r.t.Remove(vm.Mesh.String())
	return nil
}

// presence is the topic of probes as one VM reaches it.
type presence struct{ seen[serve.Probe] }

// Post implements serve.Presence.
func (p *presence) Post(_ context.Context, q serve.Probe) error {
	if err := p.reach(); err != nil {
		return err
	}
	p.t.Put(q.Domain, q)
	return nil
}
