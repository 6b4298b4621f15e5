package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// countAlone notes the runs that end alone.
func (s *site) countAlone(breaks *[]string) {
	s.world.onEnd = func(w *worker, r *run, how string) {
		if how == "alone" {
			*breaks = append(*breaks, fmt.Sprintf("GANG: %s run %d ended alone at %s", r.task, r.num, w.id))
		}
	}
}

// playGangConns hands in a gang while the workers are full. With the disruption an empty worker is
// added, which is half as large again as the others and has room for all of the gang.
func playGangConns(s *site, trouble bool) (breaks []string, err error) {
	for _, z := range zones {
		for k := range 2 {
			if err := s.addWorker(fmt.Sprintf("w-%s-%d", z, k), z, 22000); err != nil {
				return nil, err
			}
		}
	}
	s.configure(3, route{"/check/", 0}, route{"/solve/", 1})
	s.countAlone(&breaks)
	if err := s.run(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for n := range 2 * len(zones) {
		wg.Go(func() {
			s.submit(s.vms[n].caller, "/check/", jobID(1, n), []taskDef{{Count: 1, CPU: 22000, Run: 15 * time.Second}}, 25*time.Second)
		})
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		if err := s.addWorker("w-new", "za", 33000); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	for range 20 { // a refused job comes again until there is room
		a := s.submit(s.vms[0].caller, "/solve/", jobID(2, 1), []taskDef{{Count: 33, CPU: 1000, Run: 1500 * time.Millisecond, Gang: true}}, 14*time.Second)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(time.Second)
	}
	wg.Wait()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return breaks, nil
}

// playGangNumbers runs a gang beside a small job on two workers. With the disruption the daemon that
// owns them is killed after the small job has ended, so that the gang starts again in other places.
func playGangNumbers(s *site, trouble bool) (breaks []string, err error) {
	for k := range 2 {
		if err := s.addWorker(fmt.Sprintf("w-za-%d", k), "za", 16000); err != nil {
			return nil, err
		}
	}
	s.configure(3, route{"/check/", 0}, route{"/solve/", 1})
	var calm time.Time // from then on no disruption is near
	s.world.onEnd = func(w *worker, r *run, how string) {
		if how == "alone" && (calm.IsZero() || r.began.After(calm)) {
			breaks = append(breaks, fmt.Sprintf("GANG: %s run %d ended alone at %s", r.task, r.num, w.id))
		}
	}
	if err := s.run(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		s.submit(s.vms[2].caller, "/check/", jobID(1, 1), []taskDef{{Count: 4, CPU: 2000, Run: 1500 * time.Millisecond}}, 10*time.Second)
	})
	time.Sleep(300 * time.Millisecond)
	wg.Go(func() {
		id, steps := jobID(2, 1), []taskDef{{Count: 8, CPU: 2000, Run: 6 * time.Second, Gang: true}}
		for _, v := range []*vm{s.vms[4], s.vms[6]} {
			if a := s.submit(v.caller, "/solve/", id, steps, 14*time.Second); a.status == http.StatusOK {
				return
			}
			time.Sleep(resendAfter)
		}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		v := s.ownerOf("w-za-0")
		if v == nil {
			return nil, errors.New("no daemon owns the workers")
		}
		s.world.mu.Lock()
		calm = time.Now().Add(time.Hour)
		s.world.mu.Unlock()
		s.kill(v)
		time.Sleep(time.Second)
		if err := s.startVM(v); err != nil {
			return nil, err
		}
		s.rec.add("%s: started again", v.name)
		s.world.mu.Lock()
		calm = time.Now().Add(contact)
		s.world.mu.Unlock()
	}
	wg.Wait()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return breaks, nil
}

// ownerOf returns the daemon that says last in its log that it owns a worker, or nil.
func (s *site) ownerOf(id string) (owner *vm) {
	for _, v := range s.vms {
		text, err := os.ReadFile(v.log.Name())
		if err == nil && bytes.Contains(text, []byte(`msg="endpoint owned" endpoint=`+id+" ")) {
			owner = v
		}
	}
	return owner
}
