package main

import (
	"fmt"
	"sync"
	"time"

	"dahliawinch/platform/stand"
)

var kindConfig = deployConfig{zones: 4, workers: 3, kinds: []string{"a", "a", "b"}, cpu: 64000}

const (
	kindPause = 100 * time.Millisecond
	kindTime  = 20 * time.Second
	crashAt   = 4 * time.Second
	darkFor   = 700 * time.Millisecond // half a period of srv_flap
	// noticeMax is how long after its new entry was stored a worker's new kind may go unnoticed: drain_ms, the bound that
	// the pages set for another change of a worker's entry. The rule itself allows no time.
	noticeMax = 3 * time.Second
)

// playKind submits jobs that require workers of kind "a". With the disruption one such worker crashes, and comes back
// under its ID and address as one of kind "b".
func playKind(d *deployment, trouble bool) (broken []string, err error) {
	k := d.workers[0]
	var stored time.Time
	var wg sync.WaitGroup
	wg.Go(func() {
		if !trouble {
			return
		}
		time.Sleep(crashAt)
		d.rec.add("%s crashes", k.id)
		if err = k.crash(); err != nil {
			return
		}
		time.Sleep(darkFor)
		if err = k.boot("b"); err != nil {
			return
		}
		d.store.Put(stand.Workers, k.id, k.entry())
		stored = time.Now()
		d.rec.add("%s is back under its ID as kind b, and its entry is stored", k.id)
	})
	for i := range int(kindTime / kindPause) {
		w := work{Ms: 60, CPU: 27000, Requires: "a"}
		j := newJob(queues[0], w, step{Count: 4, CPU: w.CPU, Mem: 64, Estimate: w.Ms, Requires: w.Requires})
		wg.Go(func() { d.post(d.machines[i%len(d.machines)], j, 1500*time.Millisecond) })
		time.Sleep(kindPause)
	}
	wg.Wait()
	if err != nil {
		return nil, err
	}
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	n, last := 0, start{}
	for _, s := range d.world.starts {
		if s.requires != s.kind && s.at.Sub(stored) > noticeMax {
			n++
			last = s
		}
	}
	if n > 0 {
		broken = append(broken, fmt.Sprintf("ROUTE: %d tasks that require a worker of kind a were started on %s, of kind b, later than %s after its entry said so, the last one after %s",
			n, last.worker, noticeMax, last.at.Sub(stored).Round(time.Millisecond)))
	}
	return broken, nil
}
