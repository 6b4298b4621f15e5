package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

var cancelConfig = deployConfig{zones: 4, workers: 4, kinds: []string{"a"}, cpu: 64000}

const (
	cancelJobs     = 20 // two of five are cancelled
	cancelAfter    = time.Second
	cancelMax      = 3 * time.Second // cancel_ms
	cancelDeadline = 12 * time.Second
	chainSteps     = 8
)

// playCancel submits jobs of several steps and cancels two of five a second later. With the disruption, every second
// client has moved to another zone by then, so that its DELETE reaches another machine.
func playCancel(d *deployment, trouble bool) (broken []string, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range cancelJobs {
		from := d.machines[i%len(d.machines)]
		to := from
		if trouble && i%2 == 0 {
			to = d.machines[(i+1)%len(d.machines)]
		}
		j := chainJob()
		wg.Go(func() {
			if i%5 >= 2 {
				d.post(from, j, cancelDeadline)
				return
			}
			b := d.cancelOne(from, to, j)
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, b...)
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return broken, nil
}

// chainJob returns a job of steps that run one after the other, for some seven seconds.
func chainJob() *job {
	w := work{Ms: 900, CPU: 8000}
	steps := make([]step, chainSteps)
	for i := range steps {
		steps[i] = step{Count: 2, CPU: w.CPU, Mem: 64, Estimate: w.Ms}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return newJob(queues[1], w, steps...)
}

// cancelOne submits a job at one machine, cancels it at another and returns what breaks the rule.
func (d *deployment) cancelOne(from, to *machine, j *job) (broken []string) {
	var answered answer
	var wg sync.WaitGroup
	wg.Go(func() { answered = d.post(from, j, cancelDeadline) })
	time.Sleep(cancelAfter)
	a := d.cancel(to, j)
	wg.Wait()
	if a.status/100 != 2 && a.status != http.StatusGone {
		return nil // not acknowledged
	}
	late, last := 0, start{}
	for _, s := range d.world.startsOf(j.id) {
		if s.at.Sub(a.at) > cancelMax {
			late++
			last = s
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("UNASKED: %d tasks of job %s were started later than %s after its DELETE was answered %d, the last one (%s) after %s; its POST was answered %d %s",
		late, j.id, cancelMax, a.status, last.task, last.at.Sub(a.at).Round(time.Millisecond), answered.status, answered.body)}
}
