package soak

import (
	"context"
	"fmt"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/platform/stand"
)

const (
	// cordonDeadline is how long a cordon, as any operator change, may take to be in force on every VM that
	// reaches the store; faults of the store and pauses extend it by their duration.
	cordonDeadline = 3 * time.Second
	// minCordon is the minimum duration of a cordon.
	minCordon = 5 * time.Second
	// replaceAfter is the time from an endpoint's crash to its replacement.
	replaceAfter = 1500 * time.Millisecond
)

// injectEvents injects events of operators, endpoints and the store's history until ctx ends, at the
// same time as injectFaults.
func (s *Soak) injectEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(500+s.eventRand.IntN(2000)) * time.Millisecond):
		}
		name, do := s.randomEvent()
		s.record(name)
		do()
	}
}

// randomEvent returns the name of an event and a function that injects it. Lasting events end by themselves.
func (s *Soak) randomEvent() (string, func()) {
	n := s.eventRand.IntN(len(s.proxies))
	d := time.Duration(300+s.eventRand.IntN(2500)) * time.Millisecond
	switch s.eventRand.IntN(5) {
	case 0:
		fd, span := s.domain(n), minCordon+d
		if s.cordoned() {
			return "no second cordon", func() {} // no job could run with both domains cordoned
		}
		return fmt.Sprintf("cordon of %s for %s", fd, span), func() { s.cordon(fd, span) }
	case 1:
		return fmt.Sprintf("endpoint %d of half its size for %s", n, d), func() {
			e := s.endpointAt(n)
			s.resize(e, 0.5)
			time.AfterFunc(d, func() { s.resize(e, 1) })
		}
	case 2:
		return "history forgotten", s.store.Forget
	case 3:
		return fmt.Sprintf("answers of the store lost for %s", d), func() {
			s.postponeCordon(d)
			s.store.Lose(true)
			time.AfterFunc(d, func() { s.store.Lose(false) })
		}
	default:
		return fmt.Sprintf("endpoint %d crashes", n), func() {
			if e := s.endpointAt(n); e.Crash() {
				s.replace(n, e)
			}
		}
	}
}

// endpointAt returns the current incarnation of an endpoint.
func (s *Soak) endpointAt(i int) *fakes.Leased {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[i]
}

// cordon cordons a failure domain for span; after cordonDeadline the judge reports starts there.
func (s *Soak) cordon(fd string, span time.Duration) {
	s.store.Put(stand.Operator, stand.Cordon(fd), []byte("{}"))
	var ids []string
	for i := range s.proxies {
		if s.domain(i) == fd {
			ids = append(ids, s.endpointAt(i).ID)
		}
	}
	s.mu.Lock()
	s.cordonedIDs = ids
	s.cordonKnown = time.Now()
	s.mu.Unlock()
	s.postponeCordon(0)
	time.AfterFunc(span, func() {
		s.mu.Lock()
		s.cordonedIDs = nil
		s.mu.Unlock()
		for _, id := range ids {
			s.judge.CordonFrom(id, time.Time{})
		}
		s.store.Put(stand.Operator, stand.Cordon(fd), nil)
	})
}

// cordoned reports whether a cordon is active.
func (s *Soak) cordoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cordonedIDs) > 0
}

// postponeCordon allows for a fault of length d that may keep VMs from learning of a cordon. The
// cordonDeadline counts from the latest end of all faults so far, which may follow each other without a pause.
func (s *Soak) postponeCordon(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultyUntil = timer.Later(s.faultyUntil, time.Now().Add(d))
	if len(s.cordonedIDs) == 0 {
		return
	}
	s.cordonKnown = timer.Later(s.cordonKnown, s.faultyUntil)
	for _, id := range s.cordonedIDs {
		s.judge.CordonFrom(id, s.cordonKnown.Add(cordonDeadline))
	}
}

// endpointSize is the capacity of an endpoint.
var endpointSize = job.Size{Cores: 192, Memory: 384}

// resize changes an endpoint's capacity to a fraction of endpointSize, and its entry in the store.
func (s *Soak) resize(e *fakes.Leased, fraction float64) {
	size := job.Size{Cores: fraction * endpointSize.Cores, Memory: fraction * endpointSize.Memory}
	e.Resize(size)
	in := e.CurrentInfo()
	if !e.Dead() {
		s.store.Put(stand.Workers, in.ID, stand.Entry(in))
	}
}

// replace starts a new incarnation at a crashed endpoint's address after replaceAfter.
func (s *Soak) replace(i int, old *fakes.Leased) {
	time.AfterFunc(replaceAfter, func() {
		in := old.CurrentInfo()
		in.Size = endpointSize
		s.mu.Lock()
		s.replaced++
		in.ID = fmt.Sprintf("ep-%02d-%d", i, s.replaced)
		e := fakes.NewLeased(in, limits, s.judge, time.Duration(i)*time.Second, s.Seed+uint64(100+s.replaced))
		e.Speed = speeds[i%len(speeds)]
		e.Crashed = func() { s.replace(i, e) }
		s.endpoints[i] = e
		s.byID.Store(e.ID, e)
		s.mu.Unlock()
		old.Wake()
		s.store.Put(stand.Workers, old.ID, nil)
		s.store.Put(stand.Workers, in.ID, stand.Entry(in))
	})
}
