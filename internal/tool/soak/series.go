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

// injectSeries injects series of faults, which overlap with each other and with those of injectFaults and injectEvents.
func (s *Soak) injectSeries(ctx context.Context) {
	s.injectOverlapping(ctx, func() time.Duration { return time.Duration(500+s.seriesRand.IntN(2000)) * time.Millisecond }, s.randomSeries)
}

// injectOverlapping injects what draw returns after each gap until ctx ends, without waiting for its end.
func (s *Soak) injectOverlapping(ctx context.Context, gap func() time.Duration, draw func() (string, func())) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap()):
		}
		name, do := draw()
		s.record(name)
		wg.Go(do)
	}
}

// randomSeries returns the name of a series of faults on two different VMs and a function that injects it.
func (s *Soak) randomSeries() (string, func()) {
	i := s.seriesRand.IntN(len(s.vms))
	a, b := s.vms[i], s.vms[(i+1+s.seriesRand.IntN(len(s.vms)-1))%len(s.vms)]
	n := s.seriesRand.IntN(len(s.endpoints))
	d := time.Duration(500+s.seriesRand.IntN(2500)) * time.Millisecond
	short := 500*time.Millisecond + d/10
	downtime := 1500*time.Millisecond + d/2 // so long that runs of the killed VM that wrongly go on are seen before its restart
	offset := time.Duration(s.seriesRand.Float64() * float64(short))
	switch s.seriesRand.IntN(9) {
	case 0:
		return fmt.Sprintf("pause vm %d for %s, kill vm %d for %s after %s", a.n, short, b.n, downtime, offset/2), func() {
			s.pause(a, short)
			time.Sleep(offset / 2)
			s.restart(b, syscall.SIGKILL, downtime)
		}
	case 1, 2, 3:
		return fmt.Sprintf("pause vm %d three times for %s, kill vm %d for %s after %s", a.n, short, b.n, downtime, offset), func() {
			var wg sync.WaitGroup
			wg.Go(func() { s.pauseRepeatedly(a, short) })
			time.Sleep(offset)
			s.restart(b, syscall.SIGKILL, downtime)
			wg.Wait()
		}
	case 4:
		return fmt.Sprintf("pause vm %d and vm %d for %s", a.n, b.n, d), func() {
			s.pause(a, d)
			time.Sleep(offset)
			s.pause(b, d)
		}
	case 5:
		return fmt.Sprintf("stop vm %d, pause it and change vm %d after %s, kill it after %s", a.n, b.n, offset, d), func() {
			s.signal(a, syscall.SIGTERM)
			time.Sleep(offset)
			s.pause(a, d)
			set := maps.Clone(b.settings)
			set["seeds"] = s.seeds()
			s.change(b, set, true)
			time.Sleep(d)
			s.restart(a, syscall.SIGKILL, 0)
		}
	case 6:
		return fmt.Sprintf("stop vm %d, kill vm %d after %s", a.n, b.n, offset), func() {
			s.signal(a, syscall.SIGTERM)
			time.Sleep(offset)
			s.restart(b, syscall.SIGKILL, d/2)
			s.restart(a, syscall.SIGKILL, 0)
		}
	case 7:
		m := []mode{slow, silent, refuse}[s.seriesRand.IntN(3)]
		return fmt.Sprintf("store of vm %d proxy mode %d for %s, pause vm %d", a.n, m, d, b.n), func() {
			s.postponeCordon(d)
			a.disturbStore(m, d)
			s.pause(b, short)
		}
	default:
		return fmt.Sprintf("endpoints slow from %d on, late, for %s, kill vm %d after %s", n, d, b.n, offset), func() {
			for k := range len(s.proxies) / 2 {
				door, e := s.proxies[(n+k)%len(s.proxies)], s.endpointAt((n+k)%len(s.proxies))
				door.setMode(slow)
				e.Set(fakes.Behavior{Late: 0.2, Delay: offset})
				time.AfterFunc(d, func() {
					door.setMode(pass)
					e.Set(fakes.Behavior{})
				})
			}
			time.Sleep(offset)
			s.restart(b, syscall.SIGKILL, d/2)
		}
	}
}

// pause stops a VM's process for d.
func (s *Soak) pause(v *vm, d time.Duration) {
	s.postponeCordon(d)
	s.signal(v, syscall.SIGSTOP)
	time.AfterFunc(d, func() { s.signal(v, syscall.SIGCONT) })
}

// pauseGap is how long a VM runs between repeated pauses, enough to renew leases.
const pauseGap = 150 * time.Millisecond

// pauseRepeatedly pauses a VM three times.
func (s *Soak) pauseRepeatedly(v *vm, d time.Duration) {
	for range 3 {
		s.pause(v, d)
		time.Sleep(d + pauseGap)
	}
}

// disturbStore puts the VM's connections to the store into mode m for d.
func (v *vm) disturbStore(m mode, d time.Duration) {
	v.storeProxy.setMode(m)
	time.AfterFunc(d, func() { v.storeProxy.setMode(pass) })
}
