package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// gangConfig has two workers of 64 cores for each owner.
var gangConfig = deployConfig{zones: 4, workers: 2, kinds: []string{"a"}, cpu: 64000}

const (
	gangTasks    = 16
	gangDeadline = 10 * time.Second
	usualJobs    = 80                    // before the gangs
	jobPause     = 37 * time.Millisecond // 80 jobs in 3 s
)

// poisonJobs are the usual jobs that can never be done, a twentieth, one at each machine.
var poisonJobs = []int{17, 38, 55, 72}

// playGang submits usual jobs, a twentieth of which can never be done, and then a gang at every second machine.
func playGang(d *deployment, trouble bool) (broken []string, err error) {
	var wg sync.WaitGroup
	for i := range usualJobs {
		w := work{Ms: 60, CPU: 8000}
		n := 4
		if slices.Contains(poisonJobs, i) && trouble {
			w.Fail, n = true, 1
		}
		j := newJob(queues[0], w, step{Count: n, CPU: w.CPU, Mem: 64, Estimate: 60})
		wg.Go(func() { d.post(d.machines[i%len(d.machines)], j, 1500*time.Millisecond) })
		time.Sleep(jobPause)
	}
	wg.Wait()
	gangs, answers := make([]*job, len(d.machines)/2), make([]answer, len(d.machines)/2)
	for i := range gangs {
		m := d.machines[2*i]
		w := work{Ms: 900, CPU: 8000, Gang: gangTasks}
		gangs[i] = newJob(queues[2], w, step{Count: gangTasks, CPU: w.CPU, Mem: 64, Estimate: 900, Gang: true})
		wg.Go(func() { answers[i] = d.post(m, gangs[i], gangDeadline) })
	}
	wg.Wait()
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	for i, j := range gangs {
		n := 0
		for _, task := range d.world.alone {
			if strings.HasPrefix(task, j.id+".") {
				n++
			}
		}
		if n > 0 {
			broken = append(broken, fmt.Sprintf("GANG: %d runs of job %s ended alone, though nobody cancelled it and no machine, link, worker or store was disrupted; its client got %d", n, j.id, answers[i].status))
		}
	}
	return broken, nil
}
