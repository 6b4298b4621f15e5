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

// injectFaults injects faults, some of which overlap, until ctx ends.
func (s *Soak) injectFaults(ctx context.Context) {
	for {
		wait := time.Duration(300+s.faultRand.IntN(1500)) * time.Millisecond
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		name, do := s.randomFault()
		s.record(name)
		do()
		if s.settingsRand.IntN(4) == 0 {
			s.randomSettings(s.vms[s.settingsRand.IntN(len(s.vms))])
		}
	}
}

// record adds an entry to the report's list of faults.
func (s *Soak) record(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%.1fs %s", time.Since(s.began).Seconds(), what))
}

// randomSettings changes a VM's settings while it runs: other seeds, or invalid settings that
// it must not apply. The VM gets a SIGHUP, or polls the file.
func (s *Soak) randomSettings(v *vm) {
	settings := maps.Clone(v.settings)
	name := "broken"
	switch s.settingsRand.IntN(3) {
	case 0:
		settings["mesh"] = "nowhere"
	case 1:
		name = "stale"
		settings["seeds"] = v.settings["ready"] // no peer listens there
	default:
		name = "good"
		settings["seeds"] = s.seeds()
	}
	hup := s.settingsRand.IntN(2) == 0
	s.record(fmt.Sprintf("%s settings for vm %d, SIGHUP %t", name, v.n, hup))
	s.change(v, settings, hup)
}

// seeds returns the first and the last VM as a list of seeds.
func (s *Soak) seeds() string {
	return fmt.Sprint(s.vms[0].settings["mesh"], ",", s.vms[len(s.vms)-1].settings["mesh"])
}

// change applies other settings for settingsSpan, unless the VM is being restarted: it needs valid
// settings to start.
func (s *Soak) change(v *vm, settings map[string]any, hup bool) {
	if !v.restartMu.TryLock() {
		s.record(fmt.Sprintf("vm %d is being restarted, settings not changed", v.n))
		return
	}
	defer v.restartMu.Unlock()
	if err := v.write(settings); err != nil {
		s.record(err.Error())
	}
	if hup {
		s.signal(v, syscall.SIGHUP)
	}
	time.AfterFunc(settingsSpan, func() {
		if err := v.write(v.settings); err != nil {
			panic(err) // the run would go on with the wrong settings
		}
	})
}

// settingsSpan is how long changed settings last. A daemon polls the file every second, so it notices them.
const settingsSpan = 1500 * time.Millisecond

// randomFault returns the name of a fault and a function that injects it. Lasting faults are
// undone in the background or by clearFaults.
func (s *Soak) randomFault() (string, func()) {
	v := s.vms[s.faultRand.IntN(len(s.vms))]
	n := s.faultRand.IntN(len(s.endpoints))
	d := time.Duration(200+s.faultRand.IntN(2500)) * time.Millisecond
	switch s.faultRand.IntN(8) {
	case 0:
		return fmt.Sprintf("kill vm %d for %s", v.n, d), func() { s.restart(v, syscall.SIGKILL, d) }
	case 1:
		return fmt.Sprintf("stop vm %d", v.n), func() { s.restart(v, syscall.SIGTERM, 0) }
	case 2:
		return fmt.Sprintf("pause vm %d for %s", v.n, d), func() {
			s.postponeCordon(d)
			s.signal(v, syscall.SIGSTOP)
			time.AfterFunc(d, func() { s.signal(v, syscall.SIGCONT) })
		}
	case 3:
		return fmt.Sprintf("store down for %s", d), func() {
			s.postponeCordon(d)
			s.store.Down(true)
			time.AfterFunc(d, func() { s.store.Down(false) })
		}
	case 4:
		m := []mode{delay, silent, refuse}[s.faultRand.IntN(3)]
		return fmt.Sprintf("endpoint %d proxy mode %d for %s", n, m, d), func() {
			s.proxies[n].setMode(m)
			time.AfterFunc(d, func() { s.proxies[n].setMode(pass) })
		}
	case 5:
		m := []mode{delay, silent, refuse}[s.faultRand.IntN(3)]
		return fmt.Sprintf("store proxy mode %d for %s", m, d), func() {
			s.postponeCordon(d)
			for _, v := range s.vms {
				v.disturbStore(m, d)
			}
		}
	case 6:
		m := []fakes.Behavior{{Late: 0.2, Delay: d}, {Silent: true}, {Hang: true}, {Fail: true}, {Slow: 5}}[s.faultRand.IntN(5)]
		return fmt.Sprintf("endpoint %d manners %+v for %s", n, m, d), func() {
			e := s.endpointAt(n)
			e.Set(m)
			time.AfterFunc(d, func() { e.Set(fakes.Behavior{}) })
		}
	default:
		return "all connections to endpoints silent", func() {
			for _, p := range s.proxies {
				p.setMode(silent)
			}
			time.AfterFunc(d/4, func() {
				for _, p := range s.proxies {
					p.setMode(pass)
				}
			})
		}
	}
}

// restart ends a daemon and starts it again once its process has exited.
func (s *Soak) restart(v *vm, sig syscall.Signal, down time.Duration) {
	v.restartMu.Lock()
	defer v.restartMu.Unlock()
	s.mu.Lock()
	exited := v.exited
	s.mu.Unlock()
	s.signal(v, syscall.SIGCONT)
	s.signal(v, sig)
	select {
	case <-exited:
	case <-time.After(7 * time.Second):
		s.signal(v, syscall.SIGKILL)
		<-exited
	}
	time.Sleep(down)
	err := v.write(v.settings) // a daemon needs valid settings to start
	if err == nil {
		err = s.start(v)
	}
	if err != nil {
		s.record(err.Error())
		return
	}
	s.waitReady(v)
}

// startTimeout is how long a restart waits for the daemon to listen; a daemon that listens has read its settings.
const startTimeout = 2 * time.Second

// waitReady waits until a started daemon accepts connections of callers.
func (s *Soak) waitReady(v *vm) {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", v.callerAddr.String(), startTimeout); err == nil {
			_ = c.Close()
			return
		}
	}
	s.record(fmt.Sprintf("vm %d accepts no callers %s after its start", v.n, startTimeout))
}

// clearFaults undoes all faults.
func (s *Soak) clearFaults() {
	time.Sleep(3 * time.Second) // lasting faults have ended by then
	for _, v := range s.vms {
		s.signal(v, syscall.SIGCONT)
	}
	s.store.Down(false)
	s.store.Lose(false)
	for _, v := range s.vms {
		v.storeProxy.setMode(pass)
	}
	for i := range s.endpoints {
		s.endpointAt(i).Set(fakes.Behavior{})
		s.proxies[i].setMode(pass)
	}
}
