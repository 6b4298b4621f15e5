package main

import (
	"fmt"
	"sync"
	"time"

	"dahliawinch/platform/stand"
)

const (
	// downFor is how long the worker is down: half of the period of 1.4 s in which workers go down
	// and up by turns.
	downFor = 700 * time.Millisecond
	// known is how long after the worker's new entry its kind must be known: drain_ms, the time in
	// which daemons must know of another change of an entry, and contact_ms. The rule allows no time.
	known = 3*time.Second + 4*time.Second
	// traffic is how long the clients send jobs, and jobGap the pause of each between two jobs.
	traffic = 20 * time.Second
	jobGap  = 800 * time.Millisecond
)

// playKind sends jobs that require a label. With the disruption, one of the workers that has it
// goes down and starts again under its ID as one of another kind.
func playKind(s *site, trouble bool) (breaks []string, err error) {
	var fleet []*worker
	for _, z := range zones {
		for k, kind := range []string{"kind-a", "kind-b", "kind-a"} {
			w, err := s.world.newWorker(fmt.Sprintf("w-%s-%d", z, k), z, 16000)
			if err != nil {
				return nil, err
			}
			w.kind = kind
			s.report(w)
			fleet = append(fleet, w)
		}
	}
	s.configure(route{"/render/", 1})
	if err := s.run(); err != nil {
		return nil, err
	}
	var changed time.Time // when the new entry was acknowledged
	s.world.onStart = func(w *worker, r *run) {
		if r.def.Requires == "" || r.def.Requires == w.kind || changed.IsZero() {
			return
		}
		if since := time.Since(changed); since > known {
			breaks = append(breaks, fmt.Sprintf("ROUTE: %s requires %s and was started on %s, which has been %s for %.1f s", r.task, r.def.Requires, w.id, w.kind, since.Seconds()))
		}
	}
	var wg sync.WaitGroup
	for i, v := range s.vms {
		wg.Go(func() {
			for n, end := 0, time.Now().Add(traffic); time.Now().Before(end); n++ {
				d := taskDef{Count: 2, CPU: 2000, Run: 200 * time.Millisecond, Requires: "kind-b"}
				s.submit(v.caller, "/render/", jobID(1+i, n), []taskDef{d}, 5*time.Second)
				time.Sleep(jobGap)
			}
		})
	}
	if trouble {
		time.Sleep(3 * time.Second)
		w := fleet[1]
		w.crash()
		time.Sleep(downFor)
		if err := w.restart("kind-a"); err != nil {
			return nil, err
		}
		s.store.Put(stand.Workers, w.id, w.entry())
		s.world.mu.Lock()
		changed = time.Now()
		s.world.mu.Unlock()
		s.rec.add("the entry of %s as %s is in the store", w.id, "kind-a")
	}
	wg.Wait()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return breaks, nil
}
