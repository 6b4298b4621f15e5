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
	// cordonLate is when a cordon must be in force on every VM that reaches the store, as any change of
	// what operators declare; faults of the store and pauses postpone it by what they last.
	cordonLate = 3 * time.Second
	// cordonLeast is how long one stands at least.
	cordonLeast = 5 * time.Second
	// rebornAfter is how long an endpoint is away that has crashed.
	rebornAfter = 1500 * time.Millisecond
)

// harass plays what operators, endpoints and the store's history do, beside the faults of disturb.
func (s *Soak) harass(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(500+s.harasses.IntN(2000)) * time.Millisecond):
		}
		name, do := s.trouble()
		s.note(name)
		do()
	}
}

// trouble makes one; what lasts ends by itself.
func (s *Soak) trouble() (string, func()) {
	n := s.harasses.IntN(len(s.doors))
	d := time.Duration(300+s.harasses.IntN(2500)) * time.Millisecond
	switch s.harasses.IntN(5) {
	case 0:
		fd, span := s.domain(n), cordonLeast+d
		if s.cordoned() {
			return "no second cordon", func() {} // with both domains cordoned there is no work to do
		}
		return fmt.Sprintf("cordon of %s for %s", fd, span), func() { s.cordon(fd, span) }
	case 1:
		return fmt.Sprintf("endpoint %d of half its room for %s", n, d), func() {
			e := s.ep(n)
			s.resize(e, 0.5)
			time.AfterFunc(d, func() { s.resize(e, 1) })
		}
	case 2:
		return "history forgotten", s.store.Forget
	case 3:
		return fmt.Sprintf("answers of the store lost for %s", d), func() {
			s.postpone(d)
			s.store.Lose(true)
			time.AfterFunc(d, func() { s.store.Lose(false) })
		}
	default:
		return fmt.Sprintf("endpoint %d crashes", n), func() {
			if e := s.ep(n); e.Crash() {
				s.reborn(n, e)
			}
		}
	}
}

// ep is the life of an endpoint that answers now.
func (s *Soak) ep(i int) *fakes.Leased {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eps[i]
}

// cordon lets the judge count starts in a failure domain as wrong from cordonLate on.
func (s *Soak) cordon(fd string, span time.Duration) {
	s.store.Put(stand.Operator, stand.Cordon(fd), []byte("{}"))
	var ids []string
	for i := range s.doors {
		if s.domain(i) == fd {
			ids = append(ids, s.ep(i).ID)
		}
	}
	s.mu.Lock()
	s.shut = ids
	s.force = time.Now()
	s.mu.Unlock()
	s.postpone(0)
	time.AfterFunc(span, func() {
		s.mu.Lock()
		s.shut = nil
		s.mu.Unlock()
		for _, id := range ids {
			s.judge.Shut(id, time.Time{})
		}
		s.store.Put(stand.Operator, stand.Cordon(fd), nil)
	})
}

// cordoned reports whether a cordon stands.
func (s *Soak) cordoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.shut) > 0
}

// postpone allows for a fault of some time that may keep VMs from hearing of a cordon: faults may
// follow each other without a pause.
func (s *Soak) postpone(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = timer.Later(s.faulty, time.Now().Add(d))
	if len(s.shut) == 0 {
		return
	}
	s.force = timer.Later(s.force, s.faulty)
	for _, id := range s.shut {
		s.judge.Shut(id, s.force.Add(cordonLate))
	}
}

// room is what an endpoint has.
var room = job.Size{Cores: 192, Memory: 384}

// resize changes an endpoint's room to a part of what it had, and its word on it.
func (s *Soak) resize(e *fakes.Leased, part float64) {
	size := job.Size{Cores: part * room.Cores, Memory: part * room.Memory}
	e.Resize(size)
	in := e.Known()
	if !e.Dead() {
		s.store.Put(stand.Workers, in.ID, stand.Entry(in))
	}
}

// reborn lets another life answer at a crashed endpoint's address.
func (s *Soak) reborn(i int, old *fakes.Leased) {
	time.AfterFunc(rebornAfter, func() {
		in := old.Known()
		in.Size = room
		s.mu.Lock()
		s.lives++
		in.ID = fmt.Sprintf("ep-%02d-%d", i, s.lives)
		e := fakes.NewLeased(in, limits, s.judge, time.Duration(i)*time.Second, s.Seed+uint64(100+s.lives))
		e.Crashed = func() { s.reborn(i, e) }
		s.eps[i] = e
		s.mu.Unlock()
		old.Wake()
		s.store.Put(stand.Workers, old.ID, nil)
		s.store.Put(stand.Workers, in.ID, stand.Entry(in))
	})
}
