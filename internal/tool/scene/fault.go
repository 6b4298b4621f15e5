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

// Kill ends a VM at once; the balancer notices a second later.
func (s *Scene) Kill(v *VM) {
	v.dead.Store(true)
	close(v.gone)
	v.cancel()
	time.Sleep(time.Second)
	v.closed.Store(true)
}

// Late makes a VM's messages to other VMs come so much later.
func (s *Scene) Late(v *VM, by time.Duration) { v.late.Store(int64(by)) }

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

// rand is a source of its own for a fault, which plays beside the load.
func (s *Scene) rand() *rand.Rand { return rand.New(rand.NewPCG(s.Seed, s.serial.Add(1))) }
