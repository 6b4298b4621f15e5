package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/lease"
)

// run is one run of a task, as its endpoint saw it.
type run struct {
	ep, task string
	num      int
	start    time.Time
	end      time.Time // zero while it goes on
	how      lease.EndState
}

// ledger knows how tasks run, and keeps their runs. It implements fakes.Observer.
type ledger struct {
	g    *rig
	mu   sync.Mutex
	work map[string]fakes.Work // by job and step, such as ID.0.1
	runs []*run
	open map[string]*run // by endpoint, task and run number
	// fails names the jobs whose tasks' first runs fail, begun the tasks that have begun.
	fails, begun map[string]bool
}

func newLedger(g *rig) *ledger {
	return &ledger{g: g, work: map[string]fakes.Work{}, open: map[string]*run{}, fails: map[string]bool{}, begun: map[string]bool{}}
}

// expect tells how the tasks of a step run.
func (l *ledger) expect(id string, step int, w fakes.Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work[fmt.Sprintf("%s.0.%d", id, step)] = w
}

// failFirst lets the first run of each of a job's tasks fail by its own fault.
func (l *ledger) failFirst(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fails[id] = true
}

// Work implements fakes.Observer.
func (l *ledger) Work(task string) fakes.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.work[task[:max(0, strings.LastIndexByte(task, '.'))]]
	id, _, _ := strings.Cut(task, ".")
	w.Fail = l.fails[id] && !l.begun[task]
	l.begun[task] = true
	return w
}

func key(ep, task string, num int) string { return fmt.Sprintf("%s|%s|%d", ep, task, num) }

// RunStarted implements fakes.Observer.
func (l *ledger) RunStarted(at time.Time, ep, task string, num int) {
	r := &run{ep: ep, task: task, num: num, start: at}
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.open[key(ep, task, num)] = r
	l.mu.Unlock()
	l.g.note("run start %s %d at %s", task, num, ep)
}

// RunEnded implements fakes.Observer.
func (l *ledger) RunEnded(at time.Time, ep, task string, num int, how lease.EndState) {
	l.mu.Lock()
	if r := l.open[key(ep, task, num)]; r != nil {
		r.end, r.how = at, how
		delete(l.open, key(ep, task, num))
	}
	l.mu.Unlock()
	l.g.note("run end   %s %d at %s %s", task, num, ep, how)
}

// of returns the runs of a job.
func (l *ledger) of(id string) (all []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, id+".") {
			all = append(all, *r)
		}
	}
	return all
}
