// Package grid simulates whole entry VMs and leased endpoints on fake networks and stores, under
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

// Delays on paths to VMs and endpoints, one way, and of the store.
const (
	sameDomainDelay  = 100 * time.Microsecond // within a failure domain
	crossDomainDelay = 900 * time.Microsecond // between failure domains
	storeDelay       = 4 * time.Millisecond   // shortest time to an answer of the store
)

// clock is a VM's clock. While the VM is paused its timers stop, and so does everything that calls
// waitResumed: orders, answers and messages.
type clock struct {
	mu          sync.Mutex
	pausedAt    time.Time
	pausedUntil time.Time
}

// Now implements timer.Clock for the timers.
func (c *clock) Now() time.Time {
	c.waitResumed()
	return time.Now()
}

// waitResumed waits until the VM is not paused.
func (c *clock) waitResumed() {
	for {
		c.mu.Lock()
		d := time.Until(c.pausedUntil)
		c.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// pausedFor returns how long the VM has been paused, 0 if it runs.
func (c *clock) pausedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.pausedUntil) {
		return 0
	}
	return time.Since(c.pausedAt)
}

func (c *clock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedAt, c.pausedUntil = time.Now(), time.Now().Add(d)
}

// VM is one entry VM of the grid.
type VM struct {
	Mesh       netip.AddrPort
	Domain     string
	Inc        uint64
	Node       *serve.Node
	bootedAt   time.Time
	clock      *clock
	uplink     *uplink
	cancel     context.CancelFunc
	dead       atomic.Bool
	accepting  atomic.Bool // the balancer may send callers
	orders     atomic.Int64
	isolated   atomic.Bool  // exchanges no messages with other VMs
	partition  atomic.Int32 // messages pass only between VMs of the same number
	inboundCut atomic.Bool  // receives no messages of other VMs
	// seenReady is set once the balancer has found a VM ready at the address, excluded while it
	// sends no callers there.
	seenReady, excluded atomic.Bool
	diedAt              time.Time // read by inheritBalancer
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

// linkLostAfter is how long a peer may be paused before a link to it counts as lost.
const linkLostAfter = 500 * time.Millisecond

// resendInterval is the time between two tries to send a reliable message while its path is cut.
const resendInterval = 20 * time.Millisecond

func (l *link) run() {
	defer l.g.wg.Done()
	l.lane.Run(l.g.ctx, func(m frame.Msg) {
		for l.g.linkDown(l.from.Domain, l.to.Domain) && !l.to.dead.Load() && l.g.ctx.Err() == nil {
			if !frame.Reliable(m) {
				break
			}
			time.Sleep(resendInterval)
		}
		if l.to.dead.Load() || l.from.separatedFrom(l.to) || l.to.inboundCut.Load() || l.g.linkDown(l.from.Domain, l.to.Domain) {
			return
		}
		l.to.clock.waitResumed() // a paused VM reads later
		l.to.Node.Receive(frame.Hello{VM: l.from.Mesh, Inc: l.from.Inc, Domain: l.from.Domain}, m)
	})
}

// vmMesh is the mesh of one VM.
type vmMesh struct {
	g     *Grid
	from  *VM
	mu    sync.Mutex
	links map[*VM]*link
}

// Send implements serve.Mesh.
func (p *vmMesh) Send(to netip.AddrPort, m frame.Msg) error {
	p.g.Messages.Add(1)
	if p.g.CountBytes {
		p.g.countControl(m)
	}
	vm := p.g.vmAt(to)
	if vm == nil || vm.dead.Load() || p.from.dead.Load() {
		return errDead
	}
	if p.from.separatedFrom(vm) || vm.inboundCut.Load() {
		return errCut
	}
	if vm.clock.pausedFor() > linkLostAfter && !frame.Answering(m) {
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
	if !l.lane.Put(pathDelay(p.from.Domain, vm.Domain)+p.from.uplink.sendDelay(msgSize(m)), m) {
		return errCut
	}
	return nil
}

// countControl adds a message's bytes to ControlBytes unless it belongs to a job.
func (g *Grid) countControl(m frame.Msg) {
	switch m.(type) {
	case *frame.RunJob, *frame.JobAnswer, *frame.CancelJob:
		return
	}
	b, err := frame.Append(nil, m)
	if err != nil {
		panic(err) // all message types can be encoded
	}
	g.ControlBytes.Add(int64(len(b)))
}

// SendAll implements serve.Mesh.
func (p *vmMesh) SendAll(to []netip.AddrPort, m frame.Msg) {
	for _, vm := range to {
		_ = p.Send(vm, m) // messages may be lost
	}
}

// dialTime is how long two dials to a machine without power take.
const dialTime = 250 * time.Millisecond

// Absent implements serve.Mesh: dead VMs have no power, and a path that is cut gives no answer.
func (p *vmMesh) Absent(to netip.AddrPort) bool {
	vm := p.g.vmAt(to)
	return (vm == nil || vm.dead.Load() || !p.connects(vm)) && time.Since(p.from.bootedAt) >= dialTime
}

// separatedFrom reports whether two VMs can exchange no messages, whatever their failure domains.
func (v *VM) separatedFrom(o *VM) bool {
	return v.isolated.Load() || o.isolated.Load() || v.partition.Load() != o.partition.Load()
}

// connects reports whether a connection to a VM can be made; it needs both directions.
func (p *vmMesh) connects(to *VM) bool {
	return !p.from.separatedFrom(to) && !p.g.isCut(p.from.Domain, to.Domain) && !p.g.isCut(to.Domain, p.from.Domain)
}

// Refused implements serve.Mesh: no machine runs here without its process.
func (p *vmMesh) Refused(netip.AddrPort) bool { return false }

func pathDelay(a, b string) time.Duration {
	if a == b {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// vmAgent sends orders from one VM to the endpoints.
type vmAgent struct {
	g    *Grid
	from *VM
}

// call delivers an order to an endpoint, unless a cut prevents it, and returns its answer. On a
// slow link the order may arrive after the caller of call has given up.
func (h *vmAgent) call(ctx context.Context, to agent.Target, bytes int, do func(*fakes.Leased) error) error {
	h.from.clock.waitResumed()
	if h.from.dead.Load() {
		return errDead
	}
	h.from.orders.Add(1)
	wait := h.from.uplink.sendDelay(bytes)
	if wait == 0 {
		return h.deliver(ctx, to, 0, do)
	}
	done := make(chan error, 1)
	h.g.wg.Add(1)
	go func() {
		defer h.g.wg.Done()
		done <- h.deliver(ctx, to, wait, do)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errNoAnswer
	}
}

var errNoAnswer = errors.New("no answer in time")

// deliver carries an order and its answer after wait, the delay of the uplink.
func (h *vmAgent) deliver(ctx context.Context, to agent.Target, wait time.Duration, do func(*fakes.Leased) error) error {
	e := h.g.endpoint(to.ID)
	d := pathDelay(h.from.Domain, e.Domain)
	time.Sleep(wait + d)
	if h.g.isCut(h.from.Domain, e.Domain) || h.g.isCutOff(e.ID) {
		<-ctx.Done()
		return errCut
	}
	err := do(e)
	time.Sleep(d + h.g.answerDelay())
	if h.g.isCut(e.Domain, h.from.Domain) || h.g.isCutOff(e.ID) {
		<-ctx.Done()
		return errCut
	}
	h.from.clock.waitResumed()
	return err
}

// answerDelay returns how long the next answer of an endpoint is held back.
func (g *Grid) answerDelay() time.Duration {
	if g.AnswerDelay == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.answerR.Int64N(int64(g.AnswerDelay)))
}

// Start implements agent.Agent.
func (h *vmAgent) Start(ctx context.Context, to agent.Target, o agent.Start) error {
	return h.call(ctx, to, startOrderBytes, func(e *fakes.Leased) error { return e.Start(ctx, to.ID, o) })
}

// Stop implements agent.Agent.
func (h *vmAgent) Stop(ctx context.Context, to agent.Target, n lease.RunID, fence uint64) error {
	return h.call(ctx, to, otherOrderBytes, func(e *fakes.Leased) error { return e.Stop(ctx, to.ID, n, fence) })
}

// Renew implements agent.Agent.
func (h *vmAgent) Renew(ctx context.Context, to agent.Target, o agent.Renew) (lease.Report, error) {
	var r lease.Report // a late answer still writes it
	err := h.call(ctx, to, otherOrderBytes, func(e *fakes.Leased) (err error) {
		r, err = e.Renew(ctx, to.ID, o)
		return err
	})
	if err != nil {
		return lease.Report{}, err
	}
	return r, nil
}

// Reach implements agent.Agent.
func (h *vmAgent) Reach(ctx context.Context, to agent.Target) error {
	return h.call(ctx, to, 0, func(*fakes.Leased) error { return nil })
}

// Forget implements agent.Agent.
func (h *vmAgent) Forget(agent.Target) {}

// vmTopic is a topic of the store as one VM reaches it.
type vmTopic[T any] struct {
	topic *fakes.Topic[T]
	g     *Grid
	from  *VM
	reads *atomic.Int64 // counts the records returned
}

func (s *vmTopic[T]) call() error {
	s.g.StoreCalls.Add(1)
	s.from.clock.waitResumed()
	time.Sleep(max(storeDelay, s.g.StoreDelay))
	if s.g.storeDown(s.from) {
		return fakes.ErrStore
	}
	return nil
}

// Newest implements feed.Source.
func (s *vmTopic[T]) Newest(ctx context.Context) ([]feed.Update[T], int64, error) {
	if err := s.call(); err != nil {
		return nil, 0, err
	}
	us, next, err := s.topic.Newest(ctx)
	if err != nil {
		return nil, 0, fmt.Errorf("newest: %w", err)
	}
	s.reads.Add(int64(len(us)))
	return us, next, nil
}

// Next implements feed.Source.
func (s *vmTopic[T]) Next(ctx context.Context, from int64, a feed.ReadOptions) (b feed.Batch[T], err error) {
	if err := s.call(); err != nil {
		return b, err
	}
	if b, err = s.topic.Next(ctx, from, a); err != nil {
		return b, fmt.Errorf("next: %w", err)
	}
	s.reads.Add(int64(len(b.Updates)))
	return b, nil
}

// registry is the topic of VMs as one VM reaches it.
type registry struct{ vmTopic[serve.VM] }

// Join implements serve.Registry.
func (r *registry) Join(_ context.Context, vm serve.VM) error {
	if err := r.call(); err != nil {
		return err
	}
	r.topic.Put(vm.Mesh.String(), vm)
	return nil
}

// Leave implements serve.Registry.
func (r *registry) Leave(_ context.Context, vm serve.VM) error {
	if err := r.call(); err != nil {
		return err
	}
	r.topic.Remove(vm.Mesh.String())
	return nil
}

// presence is the topic of probes as one VM reaches it.
type presence struct{ vmTopic[serve.Probe] }

// Post implements serve.Presence.
func (p *presence) Post(_ context.Context, q serve.Probe) error {
	if err := p.call(); err != nil {
		return err
	}
	p.topic.Put(q.Domain, q)
	return nil
}
