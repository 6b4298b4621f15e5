package timer

import (
	"context"
	"sync"
	"time"

	"dahliawinch/internal/base/heap"
)

const (
	// beat is how often the service looks at its own clock for a jump.
	beat = 250 * time.Millisecond
	// jumpAfter is the lateness of a beat that counts as a pause of the VM.
	jumpAfter = time.Second
)

// Service runs callbacks at their times and reports pauses of the VM.
//
// A VM can be paused for seconds (live migration, a frozen hypervisor). What
// goes wrong then: it wakes up and acts on leases and deadlines that ran out
// meanwhile. The service notices because its regular beat comes late, and calls
// the subscribers of OnJump before any other callback that is due.
type Service struct {
	clock Clock
	mu    sync.Mutex
	due   *heap.Heap[*Timer]
	wake  chan struct{}
	jumps []func(gap time.Duration)
}

// Timer is one pending callback.
type Timer struct {
	at   time.Time
	fn   func()
	s    *Service
	slot heap.Slot
}

// New returns a service on the given clock; Run drives it.
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

// After calls fn once after d; fn must be short, since callbacks share a goroutine.
func (s *Service) After(d time.Duration, fn func()) *Timer {
	t := &Timer{at: s.clock.Now().Add(d), fn: fn, s: s}
	s.mu.Lock()
	s.due.Push(t)
	first := s.due.Peek() == t
	s.mu.Unlock()
	if first {
		s.poke()
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

// OnJump subscribes fn to pauses of the VM.
func (s *Service) OnJump(fn func(gap time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jumps = append(s.jumps, fn)
}

// Stop withdraws the timer and reports whether it had not run yet.
func (t *Timer) Stop() bool {
	if t == nil {
		return false
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.s.due.Remove(t)
}

// Run serves timers until ctx ends.
func (s *Service) Run(ctx context.Context) {
	last := s.clock.Now()
	sleep := time.NewTimer(beat)
	defer sleep.Stop()
	for {
		now := s.clock.Now()
		if gap := now.Sub(last); gap > beat+jumpAfter {
			s.announce(gap)
		}
		last = now
		s.fire(now)
		sleep.Reset(s.pause(now))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-sleep.C:
		}
	}
}

func (s *Service) announce(gap time.Duration) {
	s.mu.Lock()
	jumps := append([]func(time.Duration){}, s.jumps...)
	s.mu.Unlock()
	for _, fn := range jumps {
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

func (s *Service) pause(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.due.Peek()
	if t == nil {
		return beat
	}
	return max(0, min(beat, t.at.Sub(now)))
}

func (s *Service) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
