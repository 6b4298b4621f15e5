package scene

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/conf/keeper"
)

// Declare declares a changed document through a VM, based on the VM's current revision.
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

// Kill ends a VM at once; the load balancer notices a second later.
func (s *Scene) Kill(v *VM) {
	v.dead.Store(true)
	close(v.killed)
	v.cancel()
	time.Sleep(time.Second)
	v.unrouted.Store(true)
}

// DelayMessages adds a delay to a VM's messages to other VMs.
func (s *Scene) DelayMessages(v *VM, by time.Duration) { v.delay.Store(int64(by)) }

// Replace drains a VM and boots a new one at its address. The load balancer notices the
// drain and the new VM a second later each.
func (s *Scene) Replace(v *VM) error {
	go func() {
		time.Sleep(time.Second)
		v.unrouted.Store(true)
	}()
	if err := v.Node.Drain(s.ctx); err != nil {
		return fmt.Errorf("replace %s: %w", v.Mesh, err)
	}
	time.Sleep(linger)
	if err := v.Node.Drain(s.ctx); err != nil {
		return fmt.Errorf("replace %s: %w", v.Mesh, err)
	}
	v.dead.Store(true)
	v.cancel()
	w := s.Boot(v.Mesh, v.Domain)
	w.unrouted.Store(true)
	time.Sleep(time.Second)
	w.unrouted.Store(false)
	return nil
}

// linger is how long a draining VM still accepts callers, as entry daemons do.
const linger = 2 * time.Second

// Pause pauses a VM. The load balancer notices the pause a second later, and its end at
// once.
func (s *Scene) Pause(v *VM, d time.Duration) {
	v.clock.pause(d)
	time.Sleep(time.Second)
	v.unrouted.Store(true)
	time.Sleep(d - time.Second)
	v.unrouted.Store(false)
}

// Cut partitions two failure domains from each other (on), or reconnects them.
func (s *Scene) Cut(a, b int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, y := domainName(a), domainName(b)
	s.cuts[[2]string{x, y}] = on
	s.cuts[[2]string{y, x}] = on
}

// CutOneWay drops everything from one failure domain to another (on); the opposite
// direction works.
func (s *Scene) CutOneWay(from, to int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{domainName(from), domainName(to)}] = on
}

// CutLog disconnects a failure domain from the platform's log (on), or reconnects it.
func (s *Scene) CutLog(a int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logCuts[domainName(a)] = on
}

func (s *Scene) isCut(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{a, b}]
}

// rand returns a random source for a fault; sharing the load's would race with it.
func (s *Scene) rand() *rand.Rand { return rand.New(rand.NewPCG(s.Seed, s.serial.Add(1))) }
