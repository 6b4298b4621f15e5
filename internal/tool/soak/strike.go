package soak

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"

	"dahliawinch/internal/plat/fakes"
)

// strike plays series of faults that overlap, with each other and with those of disturb and harass.
func (s *Soak) strike(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(500+s.strikes.IntN(2000)) * time.Millisecond):
		}
		name, do := s.series()
		s.note(name)
		wg.Go(do)
	}
}

// series draws one. Two VMs that differ take part.
func (s *Soak) series() (string, func()) {
	i := s.strikes.IntN(len(s.vms))
	a, b := s.vms[i], s.vms[(i+1+s.strikes.IntN(len(s.vms)-1))%len(s.vms)]
	n := s.strikes.IntN(len(s.eps))
	d := time.Duration(500+s.strikes.IntN(2500)) * time.Millisecond
	short := 500*time.Millisecond + d/10
	gone := 1500*time.Millisecond + d/2 // what is kept alive of a lost VM shows before it is back
	part := time.Duration(s.strikes.Float64() * float64(short))
	switch s.strikes.IntN(9) {
	case 0:
		return fmt.Sprintf("pause vm %d for %s, kill vm %d for %s after %s", a.n, short, b.n, gone, part/2), func() {
			s.pause(a, short)
			time.Sleep(part / 2)
			s.restart(b, syscall.SIGKILL, gone)
		}
	case 1, 2, 3:
		return fmt.Sprintf("pause vm %d three times for %s, kill vm %d for %s after %s", a.n, short, b.n, gone, part), func() {
			var wg sync.WaitGroup
			wg.Go(func() { s.stutter(a, short) })
			time.Sleep(part)
			s.restart(b, syscall.SIGKILL, gone)
			wg.Wait()
		}
	case 4:
		return fmt.Sprintf("pause vm %d and vm %d for %s", a.n, b.n, d), func() {
			s.pause(a, d)
			time.Sleep(part)
			s.pause(b, d)
		}
	case 5:
		return fmt.Sprintf("stop vm %d, pause it and change vm %d after %s, kill it after %s", a.n, b.n, part, d), func() {
			s.signal(a, syscall.SIGTERM)
			time.Sleep(part)
			s.pause(a, d)
			set := maps.Clone(b.set)
			set["seeds"] = s.ends()
			s.change(b, set, true)
			time.Sleep(d)
			s.restart(a, syscall.SIGKILL, 0)
		}
	case 6:
		return fmt.Sprintf("stop vm %d, kill vm %d after %s", a.n, b.n, part), func() {
			s.signal(a, syscall.SIGTERM)
			time.Sleep(part)
			s.restart(b, syscall.SIGKILL, d/2)
			s.restart(a, syscall.SIGKILL, 0)
		}
	case 7:
		m := []mode{slow, silent, refuse}[s.strikes.IntN(3)]
		return fmt.Sprintf("store of vm %d proxy %d for %s, pause vm %d", a.n, m, d, b.n), func() {
			s.postpone(d)
			a.lose(m, d)
			s.pause(b, short)
		}
	default:
		return fmt.Sprintf("endpoints slow from %d on, late, for %s, kill vm %d after %s", n, d, b.n, part), func() {
			for k := range len(s.doors) / 2 {
				door, e := s.doors[(n+k)%len(s.doors)], s.ep((n+k)%len(s.doors))
				door.set(slow)
				e.Set(fakes.Manners{Late: 0.2, Delay: part})
				time.AfterFunc(d, func() {
					door.set(pass)
					e.Set(fakes.Manners{})
				})
			}
			time.Sleep(part)
			s.restart(b, syscall.SIGKILL, d/2)
		}
	}
}

// pause stops a VM's process for a while.
func (s *Soak) pause(v *vm, d time.Duration) {
	s.postpone(d)
	s.signal(v, syscall.SIGSTOP)
	time.AfterFunc(d, func() { s.signal(v, syscall.SIGCONT) })
}

// breath is how long a VM that is paused again and again runs between: it renews leases meanwhile.
const breath = 150 * time.Millisecond

// stutter pauses a VM three times.
func (s *Soak) stutter(v *vm, d time.Duration) {
	for range 3 {
		s.pause(v, d)
		time.Sleep(d + breath)
	}
}

// lose lets the store of one VM turn slow, silent or away for a while.
func (v *vm) lose(m mode, d time.Duration) {
	v.vault.set(m)
	time.AfterFunc(d, func() { v.vault.set(pass) })
}
