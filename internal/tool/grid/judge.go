package grid

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Judge sees what endpoints run and what callers are told, and holds the one against
// the other.
type Judge struct {
	mu     sync.Mutex
	work   map[string]fakes.Work
	live   map[string]map[string]int // by task: endpoint and run
	done   map[string]int            // tasks done, by job
	began  map[string]bool           // jobs of which something began
	told   map[string]job.Answer
	tasks  map[string]int
	shut   map[string]time.Time // endpoints that may start nothing, from when on
	guilty map[string]bool      // jobs with a task that crashes endpoints
	killed map[string]int       // starts of such tasks
	runs   map[string]time.Time // when each run began that goes on, by task and endpoint
	freed  map[string][]time.Time
	halted map[string]time.Time // when the last run of a task ended or was broken off
	halts  []Halt
	broken []string
	Starts int
	Stops  int
}

// Halt is the time from when a run was over that did not fail until its task began again: the run was broken off, or its
// owner did not hear of its end.
type Halt struct {
	At  time.Time
	For time.Duration
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		work: map[string]fakes.Work{}, live: map[string]map[string]int{}, done: map[string]int{},
		began: map[string]bool{}, told: map[string]job.Answer{}, tasks: map[string]int{}, shut: map[string]time.Time{}, guilty: map[string]bool{}, killed: map[string]int{}, halted: map[string]time.Time{},
		runs: map[string]time.Time{}, freed: map[string][]time.Time{},
	}
}

// Expect tells what a task is.
func (j *Judge) Expect(task string, w fakes.Work) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.work[task] = w
}

// Work implements fakes.Board.
func (j *Judge) Work(task string) fakes.Work {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.work[task]
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

// Began implements fakes.Board.
func (j *Judge) Began(at time.Time, ep, task string, num int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from, ok := j.shut[ep]; ok && at.After(from) {
		j.broken = append(j.broken, fmt.Sprintf("cordon: %s run %d on %s %s too late", task, num, ep, at.Sub(from)))
	}
	j.Starts++
	id := jobOf(task)
	j.began[id] = true
	if j.work[task].Crash {
		j.killed[task]++
	}
	if len(j.live[task]) > 0 {
		j.broken = append(j.broken, fmt.Sprintf("twice: %s run %d on %s while %v", task, num, ep, j.live[task]))
	}
	if since, ok := j.halted[task]; ok {
		j.halts = append(j.halts, Halt{since, at.Sub(since)})
		delete(j.halted, task)
	}
	if a, ok := j.told[id]; ok && a.Outcome == job.Refused {
		j.broken = append(j.broken, fmt.Sprintf("lie: %s began after its job was refused", task))
	}
	if j.live[task] == nil {
		j.live[task] = map[string]int{}
	}
	j.live[task][ep] = num
	j.runs[task+"@"+ep] = at
}

// Over implements fakes.Board.
func (j *Judge) Over(at time.Time, ep, task string, num int, how lease.How) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outlived(at, ep, task, num)
	delete(j.live[task], ep)
	if how != lease.Failed {
		j.halted[task] = at
	}
	switch how {
	case lease.Done:
		j.done[jobOf(task)]++
	case lease.Gone:
		j.Stops++
	default:
	}
}

// Free notes that a job's caller may submit it again after a while from then on.
func (j *Judge) Free(at time.Time, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.freed[id] = append(j.freed[id], at)
}

// outlived checks a run that has ended against the time at which its job could come again; the caller holds the lock.
func (j *Judge) outlived(at time.Time, ep, task string, num int) {
	began := j.runs[task+"@"+ep]
	delete(j.runs, task+"@"+ep)
	for _, free := range j.freed[jobOf(task)] {
		if began.Before(free) && at.After(free.Add(again)) {
			j.broken = append(j.broken, fmt.Sprintf("outlived: %s run %d on %s ended %s after its job was free to come again", task, num, ep, at.Sub(free)))
			return
		}
	}
}

// Halts lists for how long tasks stood still whose runs were over in a span and that began again.
func (j *Judge) Halts(from, to time.Time) (all []time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, h := range j.halts {
		if h.At.After(from) && h.At.Before(to) {
			all = append(all, h.For)
		}
	}
	return all
}

// Blame notes that a job has a task that crashes endpoints.
func (j *Judge) Blame(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.guilty[id] = true
}

// Blamed reports whether a job has such a task.
func (j *Judge) Blamed(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.guilty[id]
}

// Crashes returns how many endpoints such tasks crashed, and how many one did at most.
func (j *Judge) Crashes() (all, most int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.killed {
		all += n
		most = max(most, n)
	}
	return all, most
}

// Shut says from when on an endpoint may start nothing; zero lifts it.
func (j *Judge) Shut(ep string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from.IsZero() {
		delete(j.shut, ep)
		return
	}
	j.shut[ep] = from
}

// Answered notes what a caller was told.
func (j *Judge) Answered(id string, tasks int, a job.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.told[id], j.tasks[id] = a, tasks
	if a.Outcome == job.Refused && j.began[id] {
		j.broken = append(j.broken, fmt.Sprintf("lie: job %s refused (%s) though it had begun", id, a.Reason))
	}
	if a.Outcome == job.Done && j.done[id] < tasks {
		j.broken = append(j.broken, fmt.Sprintf("partial: job %s done with %d of %d tasks", id, j.done[id], tasks))
	}
}

// Again notes that a caller submits its job anew: by then nothing of it may run.
func (j *Judge) Again(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, eps := range j.live {
		if len(eps) > 0 && jobOf(task) == id {
			j.broken = append(j.broken, fmt.Sprintf("outlives: %s runs on %v when its caller comes again", task, eps))
		}
	}
}

// Broken lists the promises that were broken.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

// Running counts the runs that have not ended.
func (j *Judge) Running() (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, eps := range j.live {
		n += len(eps)
	}
	return n
}
