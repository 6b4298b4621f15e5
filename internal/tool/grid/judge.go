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
	broken []string
	Starts int
	Stops  int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		work: map[string]fakes.Work{}, live: map[string]map[string]int{}, done: map[string]int{},
		began: map[string]bool{}, told: map[string]job.Answer{}, tasks: map[string]int{}, shut: map[string]time.Time{}, guilty: map[string]bool{}, killed: map[string]int{},
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
	if a, ok := j.told[id]; ok && a.Outcome == job.Refused {
		j.broken = append(j.broken, fmt.Sprintf("lie: %s began after its job was refused", task))
	}
	if j.live[task] == nil {
		j.live[task] = map[string]int{}
	}
	j.live[task][ep] = num
}

// Over implements fakes.Board.
func (j *Judge) Over(_ time.Time, ep, task string, _ int, how lease.How) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live[task], ep)
	switch how {
	case lease.Done:
		j.done[jobOf(task)]++
	case lease.Gone:
		j.Stops++
	default:
	}
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
