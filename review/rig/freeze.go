package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// cancelAfter is how long after its POST a client sends the DELETE, and nextAfter how long after it
	// the next client sends its POST.
	cancelAfter = 80 * time.Millisecond
	nextAfter   = 120 * time.Millisecond
	// frozenFor is how long the daemon stands still; the site's largest dose is 4 s.
	frozenFor = 3800 * time.Millisecond
)

// playFreeze hands in jobs and cancels each a moment later. With the disruption the daemon stands still
// meanwhile, so that it finds all requests when it wakes.
func playFreeze(s *site, trouble bool) (breaks []string, err error) {
	for _, z := range zones {
		for k := range 6 {
			if err := s.addWorker(fmt.Sprintf("w-%s-%d", z, k), z, 64000); err != nil {
				return nil, err
			}
		}
	}
	s.configure(3, route{"/sheet/", 1})
	if err := s.run(); err != nil {
		return nil, err
	}
	acked := map[string]time.Time{}
	var limit time.Time
	s.world.onStart = func(w *worker, r *run) {
		if at, ok := acked[r.job]; ok && time.Since(at) > cancelWithin && time.Now().After(limit) {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s started %s at %.1f s after the acknowledgement of the cancelling", w.id, r.task, time.Since(at).Seconds()))
		}
	}
	v := s.vms[0]
	var steps []taskDef
	for i := range 10 {
		d := taskDef{Count: 1, CPU: 2000, Run: 700 * time.Millisecond}
		if i > 0 {
			d.After = []int{i - 1}
		}
		steps = append(steps, d)
	}
	wake := func() {}
	if trouble {
		v.signal(syscall.SIGSTOP)
		s.rec.add("%s: SIGSTOP", v.name)
		woken := make(chan struct{})
		time.AfterFunc(frozenFor, func() {
			s.world.mu.Lock()
			limit = time.Now().Add(contact)
			s.world.mu.Unlock()
			v.signal(syscall.SIGCONT)
			s.rec.add("%s: SIGCONT", v.name)
			close(woken)
		})
		wake = func() { <-woken }
	}
	var wg sync.WaitGroup
	for n := range 30 {
		id := jobID(1, n)
		wg.Go(func() { s.submit(v.caller, "/sheet/", id, steps, 14*time.Second) })
		wg.Go(func() {
			time.Sleep(cancelAfter)
			a := s.call(http.MethodDelete, v.caller, "/sheet/"+id, nil, 8*time.Second)
			s.rec.add("client: DELETE %s -> %s", id, a)
			if a.status/100 == 2 || a.status == http.StatusGone {
				s.world.mu.Lock()
				acked[id] = time.Now()
				s.world.mu.Unlock()
			}
		})
		time.Sleep(nextAfter)
	}
	wake()
	wg.Wait()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return breaks, nil
}
