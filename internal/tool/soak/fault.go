package soak

import (
	"context"
	"fmt"
	"maps"
	"net"
	"syscall"
	"time"

	"dahliawinch/internal/plat/fakes"
)

// disturb plays faults one after the other, some of which overlap, until ctx ends.
func (s *Soak) disturb(ctx context.Context) {
	for {
		wait := time.Duration(300+s.r.IntN(1500)) * time.Millisecond
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		name, do := s.draw()
		s.note(name)
		do()
		if s.declares.IntN(4) == 0 {
			s.declare(s.vms[s.declares.IntN(len(s.vms))])
		}
	}
}

// note adds to the list of what was played.
func (s *Soak) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%.1fs %s", time.Since(s.began).Seconds(), what))
}

// declare changes a VM's settings while it runs: other seeds, or a file that must not be
// taken over. It is told by a signal, or finds out by itself.
func (s *Soak) declare(v *vm) {
	set := maps.Clone(v.set)
	name := "broken"
	switch s.declares.IntN(3) {
	case 0:
		set["mesh"] = "nowhere"
	case 1:
		name = "stale"
		set["seeds"] = v.set["ready"] // nobody speaks there as a VM
	default:
		name = "good"
		set["seeds"] = s.ends()
	}
	hup := s.declares.IntN(2) == 0
	s.note(fmt.Sprintf("%s settings for vm %d, told %t", name, v.n, hup))
	s.change(v, set, hup)
}

// ends are the first VM and the last, as seeds.
func (s *Soak) ends() string {
	return fmt.Sprint(s.vms[0].set["mesh"], ",", s.vms[len(s.vms)-1].set["mesh"])
}

// change lets other settings stand for a while, unless the VM is restarted just now: it must find some
// that it can begin with.
func (s *Soak) change(v *vm, set map[string]any, hup bool) {
	if !v.life.TryLock() {
		s.note(fmt.Sprintf("vm %d is restarted, not changed", v.n))
		return
	}
	defer v.life.Unlock()
	if err := v.write(set); err != nil {
		s.note(err.Error())
	}
	if hup {
		s.signal(v, syscall.SIGHUP)
	}
	time.AfterFunc(settingsFor, func() {
		if err := v.write(v.set); err != nil {
			panic(err) // the run would go on with settings that nobody chose
		}
	})
}

// settingsFor is how long changed settings stand: as long as a daemon takes to look.
const settingsFor = 1500 * time.Millisecond

// draw makes one fault; what lasts is undone in the background or by calm.
func (s *Soak) draw() (string, func()) {
	v := s.vms[s.r.IntN(len(s.vms))]
	n := s.r.IntN(len(s.eps))
	d := time.Duration(200+s.r.IntN(2500)) * time.Millisecond
	switch s.r.IntN(8) {
	case 0:
		return fmt.Sprintf("kill vm %d for %s", v.n, d), func() { s.restart(v, syscall.SIGKILL, d) }
	case 1:
		return fmt.Sprintf("stop vm %d", v.n), func() { s.restart(v, syscall.SIGTERM, 0) }
	case 2:
		return fmt.Sprintf("pause vm %d for %s", v.n, d), func() {
			s.postpone(d)
			s.signal(v, syscall.SIGSTOP)
			time.AfterFunc(d, func() { s.signal(v, syscall.SIGCONT) })
		}
	case 3:
		return fmt.Sprintf("store away for %s", d), func() {
			s.postpone(d)
			s.store.Down(true)
			time.AfterFunc(d, func() { s.store.Down(false) })
		}
	case 4:
		m := []mode{delay, silent, refuse}[s.r.IntN(3)]
		return fmt.Sprintf("endpoint %d proxy %d for %s", n, m, d), func() {
			s.doors[n].set(m)
			time.AfterFunc(d, func() { s.doors[n].set(pass) })
		}
	case 5:
		m := []mode{delay, silent, refuse}[s.r.IntN(3)]
		return fmt.Sprintf("store proxy %d for %s", m, d), func() {
			s.postpone(d)
			for _, v := range s.vms {
				v.lose(m, d)
			}
		}
	case 6:
		m := []fakes.Manners{{Late: 0.2, Delay: d}, {Mute: true}, {Hang: true}, {Fail: true}, {Slow: 5}}[s.r.IntN(5)]
		return fmt.Sprintf("endpoint %d manners %+v for %s", n, m, d), func() {
			e := s.ep(n)
			e.Set(m)
			time.AfterFunc(d, func() { e.Set(fakes.Manners{}) })
		}
	default:
		return "all silent connections to endpoints", func() {
			for _, p := range s.doors {
				p.set(silent)
			}
			time.AfterFunc(d/4, func() {
				for _, p := range s.doors {
					p.set(pass)
				}
			})
		}
	}
}

// restart ends a daemon and starts it again once its process is gone.
func (s *Soak) restart(v *vm, sig syscall.Signal, down time.Duration) {
	v.life.Lock()
	defer v.life.Unlock()
	s.mu.Lock()
	ended := v.ended
	s.mu.Unlock()
	s.signal(v, syscall.SIGCONT)
	s.signal(v, sig)
	select {
	case <-ended:
	case <-time.After(7 * time.Second):
		s.signal(v, syscall.SIGKILL)
		<-ended
	}
	time.Sleep(down)
	err := v.write(v.set) // whoever starts a daemon gives it settings that it can begin with
	if err == nil {
		err = s.start(v)
	}
	if err != nil {
		s.note(err.Error())
		return
	}
	s.up(v)
}

// upWithin is how long a restart waits for the daemon, which has read its settings then.
const upWithin = 2 * time.Second

// up waits until a daemon that was started takes callers.
func (s *Soak) up(v *vm) {
	for until := time.Now().Add(upWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", v.callers.String(), upWithin); err == nil {
			_ = c.Close()
			return
		}
	}
	s.note(fmt.Sprintf("vm %d takes no callers %s after its start", v.n, upWithin))
}

// calm undoes all faults.
func (s *Soak) calm() {
	time.Sleep(3 * time.Second) // what lasts has ended by then
	for _, v := range s.vms {
		s.signal(v, syscall.SIGCONT)
	}
	s.store.Down(false)
	s.store.Lose(false)
	for _, v := range s.vms {
		v.vault.set(pass)
	}
	for i := range s.eps {
		s.ep(i).Set(fakes.Manners{})
		s.doors[i].set(pass)
	}
}
