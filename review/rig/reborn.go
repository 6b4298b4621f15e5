package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dahliawinch/platform/stand"
)

const (
	// downFor is how long the worker is down: half of the period of 1.4 s in which workers go down
	// and up by turns.
	downFor = 700 * time.Millisecond
	// longTask is the work of each task that is watched.
	longTask = 10 * time.Second
)

// playReborn runs three long tasks beside small jobs. With the disruption, the first orders to start
// them are left unanswered and carried out late, and their worker goes down and starts again under its
// ID meanwhile.
func playReborn(s *site, trouble bool) (breaks []string, err error) {
	for _, z := range zones {
		for k := range 3 {
			if err := s.addWorker(fmt.Sprintf("w-%s-%d", z, k), z, 16000); err != nil {
				return nil, err
			}
		}
	}
	s.configure(3, route{"/check/", 0}, route{"/solve/", 1})
	id := jobID(0x100, 1)
	running, chosen := map[string][]*run{}, make(chan *worker, 1)
	s.world.onStart = func(w *worker, r *run) {
		for _, o := range running[r.task] {
			if o.at != w {
				breaks = append(breaks, fmt.Sprintf("TWICE: run %d of %s began on %s while run %d was at work on %s", r.num, r.task, w.id, o.num, o.at.id))
			}
		}
		running[r.task] = append(running[r.task], r)
	}
	s.world.onEnd = func(_ *worker, r *run, _ string) {
		running[r.task] = slices.DeleteFunc(running[r.task], func(o *run) bool { return o == r })
	}
	var first *worker // the one that gets the first task of the job
	seen := map[string]bool{}
	s.world.late = func(w *worker, o workerCall) bool {
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		if job, _, _ := splitTask(o.Task); job != id || seen[o.Task] {
			return false
		}
		seen[o.Task] = true
		if first == nil {
			first = w
			chosen <- w
		}
		return trouble && w == first
	}
	if err := s.run(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for i, v := range s.vms {
		wg.Go(func() { // some forty orders to start a second
			for n, end := 0, time.Now().Add(12*time.Second); time.Now().Before(end); n++ {
				s.submit(v.caller, "/check/", jobID(1+i, n), []taskDef{{Count: 2, CPU: 1000, Run: 200 * time.Millisecond}}, 5*time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	wg.Go(func() {
		s.submit(s.vms[0].caller, "/solve/", id, []taskDef{{Count: 3, CPU: 2000, Run: longTask}}, 25*time.Second)
	})
	w := <-chosen
	if trouble {
		time.Sleep(time.Second)
		w.crash()
		time.Sleep(downFor)
		if err := w.restart(); err != nil {
			return nil, err
		}
		s.store.Put(stand.Workers, w.id, w.entry())
	}
	wg.Wait()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return breaks, nil
}
