package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCancel cancels a job whose tasks run one after the other. With the disruption, the channel of
// the DELETE is reset before the request arrives, and the client's retry reaches another daemon.
func playCancel(s *site, trouble bool) (breaks []string, err error) {
	for _, z := range zones {
		for k := range 6 {
			if err := s.addWorker(fmt.Sprintf("w-%s-%d", z, k), z, 64000); err != nil {
				return nil, err
			}
		}
	}
	s.configure(route{"/sheet/", 1})
	if err := s.run(); err != nil {
		return nil, err
	}
	p, err := newProxy(s.vms[0].caller)
	if err != nil {
		return nil, err
	}
	defer p.l.Close() //nolint:errcheck // the play is over
	var steps []taskDef
	for i := range 12 {
		d := taskDef{Count: 1, CPU: 2000, Run: 800 * time.Millisecond}
		if i > 0 {
			d.After = []int{i - 1}
		}
		steps = append(steps, d)
	}
	const prefix, patience = "/sheet/", 14 * time.Second
	id := jobID(1, 1)
	type start struct {
		at   time.Time
		task string
		by   string
	}
	var starts []start
	s.world.onStart = func(w *worker, r *run) { starts = append(starts, start{time.Now(), r.task, w.id}) }
	answered := make(chan answer, 1)
	go func() { answered <- s.submit(p.addr(), prefix, id, steps, patience) }()
	time.Sleep(1500 * time.Millisecond)
	p.reset.Store(trouble)
	sent := time.Now()
	s.rec.add("client: DELETE %s%s to %s", prefix, id, s.vms[0].name)
	a := s.call(http.MethodDelete, p.addr(), prefix+id, nil, time.Second)
	s.rec.add("client: DELETE -> %s", a)
	p.reset.Store(false)
	if a.err != nil {
		v := s.vms[2]
		s.rec.add("client: DELETE %s%s again; the platform gives it to %s", prefix, id, v.name)
		a = s.call(http.MethodDelete, v.caller, prefix+id, nil, time.Second)
		s.rec.add("client: DELETE -> %s", a)
	}
	if a.err != nil || (a.status/100 != 2 && a.status != http.StatusGone) {
		return nil, fmt.Errorf("the DELETE was not acknowledged: %s", a)
	}
	acked := time.Now()
	s.rec.add("the cancelling is acknowledged %s after it was first sent", acked.Sub(sent).Round(time.Millisecond))
	final := <-answered
	s.rec.add("client: the POST ended with %s", final)
	time.Sleep(time.Second)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	// Machines are in touch again contact after the reset, which was before the acknowledgement.
	limit := max(cancelWithin, contact)
	for _, x := range starts {
		if late := x.at.Sub(acked); late > limit {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s started %s at %.1f s after the acknowledgement of the cancelling; cancel_ms is %d", x.by, x.task, late.Seconds(), cancelWithin.Milliseconds()))
		}
	}
	return breaks, nil
}
