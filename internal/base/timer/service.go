package timer

import (
	"context"
	"sync"
	"time"

	"dahliawinch/internal/base/heap"
)

const (
	// checkInterval is how often the service checks its clock for a jump.
	checkInterval = 250 * time.Millisecond
	// jumpThreshold is how late a check must be to count as a pause of the VM.
	jumpThreshold = time.Second
)

// Service runs callbacks when they are due and reports pauses of the VM.
//
// A VM can be paused for seconds (live migration, a frozen hypervisor). It would then
// resume and act on leases and deadlines that expired meanwhile. The service detects
// the pause because its regular check is late, and calls the subscribers of OnJump
// before any other callback that is due.
type Service struct {
	clock  Clock
	mu     sync.Mutex
	due    *heap.Heap[*Timer]
	wake   chan struct{}
	onJump []func(gap time.Duration)
}

// Timer is one pending callback.
type Timer struct {
	at   time.Time
	fn   func()
	s    *Service
	slot heap.Slot
}

// New returns a service on the given clock; Run must be called to fire its timers.
func New(clock Clock) *Service {
	return &Service{
		clock: clock,
		due: heap.New(
			func(a, b *Timer) bool { return a.at.Before(b.at) },
			func(t *Timer) *heap.Slot { return &t.slot },
		),
		wake: make(chan struct{}, 1),
	}
}

// Now returns the time of the service's clock.
func (s *Service) Now() time.Time { return s.clock.Now() }

// After calls fn once after d; fn must return quickly, since callbacks share a goroutine.
func (s *Service) After(d time.Duration, fn func()) *Timer {
	t := &Timer{at: s.clock.Now().Add(d), fn: fn, s: s}
	s.mu.Lock()
	s.due.Push(t)
	first := s.due.Peek() == t
	s.mu.Unlock()
	if first {
		s.wakeUp()
	}
	return t
}

// Every calls fn at each period until ctx ends.
func (s *Service) Every(ctx context.Context, period time.Duration, fn func()) {
	var next func()
	next = func() {
		if ctx.Err() != nil {
			return
		}
		fn()
		s.After(period, next)
	}
	s.After(period, next)
}

// OnJump registers fn to be called after each pause of the VM, with its length.
func (s *Service) OnJump(fn func(gap time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onJump = append(s.onJump, fn)
}

// Stop cancels the timer and reports whether it had not run yet.
func (t *Timer) Stop() bool {
	if t == nil {
		return false
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.s.due.Remove(t)
}

// Run fires timers until ctx ends.
func (s *Service) Run(ctx context.Context) {
	last := s.clock.Now()
	sleep := time.NewTimer(checkInterval)
	defer sleep.Stop()
	for {
		now := s.clock.Now()
		if gap := now.Sub(last); gap > checkInterval+jumpThreshold {
			s.notifyJump(gap)
		}
		last = now
		s.fire(now)
		sleep.Reset(s.untilNext(now))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-sleep.C:
		}
	}
}

func (s *Service) notifyJump(gap time.Duration) {
	s.mu.Lock()
	subscribers := append([]func(time.Duration){}, s.onJump...)
	s.mu.Unlock()
	for _, fn := range subscribers {
		fn(gap)
	}
}

func (s *Service) fire(now time.Time) {
	for {
		s.mu.Lock()
		t := s.due.Peek()
		if t == nil || t.at.After(now) {
			s.mu.Unlock()
			return
		}
		s.due.Pop()
		s.mu.Unlock()
		t.fn()
	}
}

func (s *Service) untilNext(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.due.Peek()
	if t == nil {
		return checkInterval
	}
	return max(0, min(checkInterval, t.at.Sub(now)))
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
