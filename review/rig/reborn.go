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
	// longTask is the work of the task that is watched.
	longTask = 10 * time.Second
)

// playReborn runs a long task beside small jobs. With the disruption, the first order to start it is
// left unanswered and carried out late, and its worker goes down and starts again under its ID
// meanwhile.
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
	running, chosen := map[string]int{}, make(chan *worker, 1)
	s.world.onStart = func(w *worker, r *run) {
		if running[r.task]++; running[r.task] > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: run %d of %s began on %s while another run of it was at work", r.num, r.task, w.id))
		}
	}
	s.world.onEnd = func(_ *worker, r *run, _ string) { running[r.task]-- }
	first := true
	s.world.late = func(w *worker, o workerCall) bool {
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		if job, _, _ := splitTask(o.Task); job != id || !first {
			return false
		}
		first = false
		chosen <- w
		return trouble
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
		s.submit(s.vms[0].caller, "/solve/", id, []taskDef{{Count: 1, CPU: 2000, Run: longTask}}, 25*time.Second)
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
