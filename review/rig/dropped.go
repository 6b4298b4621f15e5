package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// applyWithin is config_apply_ms, ackWithin is ack_ms.
	applyWithin = 2 * time.Second
	ackWithin   = 4 * time.Second
)

// playDropped cancels a job whose tasks run one after the other. With the disruption, its route has
// been removed from the configuration meanwhile.
func playDropped(s *site, trouble bool) (breaks []string, err error) {
	for _, z := range zones {
		for k := range 6 {
			if err := s.addWorker(fmt.Sprintf("w-%s-%d", z, k), z, 64000); err != nil {
				return nil, err
			}
		}
	}
	s.configure(3, route{"/sheet/", 1}, route{"/print/", 0})
	if err := s.run(); err != nil {
		return nil, err
	}
	var steps []taskDef
	for i := range 20 {
		d := taskDef{Count: 1, CPU: 2000, Run: 800 * time.Millisecond}
		if i > 0 {
			d.After = []int{i - 1}
		}
		steps = append(steps, d)
	}
	const prefix, patience = "/sheet/", 20 * time.Second
	v, id := s.vms[0], jobID(1, 1)
	// due is when the cancelling has to count: at its acknowledgement, or ackWithin after it was first sent.
	var due time.Time
	s.world.onStart = func(w *worker, r *run) {
		if late := time.Since(due); !due.IsZero() && late > cancelWithin {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s started %s at %.1f s after the cancelling had waited for ack_ms or was acknowledged", w.id, r.task, late.Seconds()))
		}
	}
	answered := make(chan answer, 1)
	go func() { answered <- s.submit(v.caller, prefix, id, steps, patience) }()
	time.Sleep(time.Second)
	if trouble {
		s.configure(8, route{"/print/", 0})
	}
	time.Sleep(applyWithin + 500*time.Millisecond)
	sent, acked := time.Now(), false
	s.world.mu.Lock()
	due = sent.Add(ackWithin)
	s.world.mu.Unlock()
	for n := 0; !acked && time.Since(sent) < ackWithin; n++ { // first the daemon that has the job, then the others
		to := s.vms[n%len(s.vms)]
		a := s.call(http.MethodDelete, to.caller, prefix+id, nil, time.Second)
		s.rec.add("client: DELETE %s%s to %s -> %s", prefix, id, to.name, a)
		if acked = a.status/100 == 2 || a.status == http.StatusGone; acked {
			s.world.mu.Lock()
			due = time.Now()
			s.world.mu.Unlock()
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	a := <-answered
	s.rec.add("client: the POST ended with %s", a)
	time.Sleep(time.Second)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return breaks, nil
}
