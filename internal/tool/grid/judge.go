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

// Judge records what endpoints run and what answers callers get, and reports violations: tasks that
// ran twice at a time, false refusals, partial answers.
type Judge struct {
	mu         sync.Mutex
	work       map[string]fakes.Work
	running    map[string]map[string]int // run number by endpoint, by task
	done       map[string]int            // tasks done, by job
	started    map[string]bool           // jobs that started at least one task
	answers    map[string]job.Answer
	tasks      map[string]int
	cordonedAt map[string]time.Time   // since when endpoints may start nothing
	crashing   map[string]bool        // jobs with a task that crashes endpoints
	crashes    map[string]int         // starts of tasks that crash endpoints, by task
	runStarts  map[string]time.Time   // when each ongoing run began, by task and endpoint
	freed      map[string][]time.Time // when a caller got the outcome unknown, by job
	endedAt    map[string]time.Time   // when the last run of a task ended or was stopped
	gaps       []Gap
	members    map[*fakes.Gang]map[string]int // run numbers of running members, by task
	alone      []string                       // runs whose gang was not complete in time
	violations []string
	Starts     int
	Stops      int
	// LeaseEnd returns when the lease of an endpoint's runs ends; nil if endpoints note that at once. It is set before the
	// first start.
	LeaseEnd func(endpoint string) time.Time
}

// Gap is the time between the end of a run that did not fail and the next start of its task: the
// run was stopped, or its owner did not learn of its end.
type Gap struct {
	At  time.Time
	For time.Duration
}

// NewJudge returns an empty judge.
func NewJudge() *Judge {
	return &Judge{
		work: map[string]fakes.Work{}, running: map[string]map[string]int{}, done: map[string]int{},
		started: map[string]bool{}, answers: map[string]job.Answer{}, tasks: map[string]int{}, cordonedAt: map[string]time.Time{}, crashing: map[string]bool{}, crashes: map[string]int{}, endedAt: map[string]time.Time{},
		members: map[*fakes.Gang]map[string]int{}, runStarts: map[string]time.Time{}, freed: map[string][]time.Time{},
	}
}

// Expect sets the work of a task before it starts.
func (j *Judge) Expect(task string, w fakes.Work) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.work[task] = w
}

// Work implements fakes.Observer.
func (j *Judge) Work(task string) fakes.Work {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.work[task]
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

// RunStarted implements fakes.Observer.
func (j *Judge) RunStarted(at time.Time, ep, task string, num int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from, ok := j.cordonedAt[ep]; ok && at.After(from) {
		j.violations = append(j.violations, fmt.Sprintf("cordon: %s run %d on %s %s too late", task, num, ep, at.Sub(from)))
	}
	j.Starts++
	j.checkGang(at, ep, task, num)
	id := jobOf(task)
	j.started[id] = true
	if j.work[task].Crash {
		j.crashes[task]++
	}
	if j.runs(at, task) {
		j.violations = append(j.violations, fmt.Sprintf("twice: %s run %d on %s while %v", task, num, ep, j.running[task]))
	}
	if since, ok := j.endedAt[task]; ok {
		j.gaps = append(j.gaps, Gap{since, at.Sub(since)})
		delete(j.endedAt, task)
	}
	if a, ok := j.answers[id]; ok && a.Outcome == job.Refused {
		j.violations = append(j.violations, fmt.Sprintf("false refusal: %s began after its job was refused", task))
	}
	if j.running[task] == nil {
		j.running[task] = map[string]int{}
	}
	j.running[task][ep] = num
	j.runStarts[task+"@"+ep] = at
}

// runs reports whether a run of a task goes on under a lease.
func (j *Judge) runs(at time.Time, task string) bool {
	for ep := range j.running[task] {
		if j.LeaseEnd == nil || at.Before(j.LeaseEnd(ep)) {
			return true
		}
	}
	return false
}

// RunEnded implements fakes.Observer.
func (j *Judge) RunEnded(at time.Time, ep, task string, num int, how lease.EndState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkOutlived(at, ep, task, num)
	delete(j.running[task], ep)
	if g := j.work[task].Gang; g != nil {
		delete(j.members[g], task)
	}
	if how == lease.Alone {
		j.alone = append(j.alone, fmt.Sprintf("%s run %d on %s", task, num, ep))
	}
	if how != lease.Failed {
		j.endedAt[task] = at
	}
	switch how {
	case lease.Done:
		j.done[jobOf(task)]++
	case lease.Gone:
		j.Stops++
	default:
	}
}

// checkGang reports a member that starts beside others of another run number, with which it can't work. The caller holds
// the lock.
func (j *Judge) checkGang(at time.Time, ep, task string, num int) {
	g := j.work[task].Gang
	if g == nil {
		return
	}
	for other, n := range j.members[g] {
		if n != num && j.runs(at, other) {
			j.violations = append(j.violations, fmt.Sprintf("gang: %s run %d on %s beside %s run %d", task, num, ep, other, n))
			break
		}
	}
	if j.members[g] == nil {
		j.members[g] = map[string]int{}
	}
	j.members[g][task] = num
}

// Alone names the runs whose gang was not complete in time.
func (j *Judge) Alone() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.alone...)
}

// AllowResubmit records when a caller got the outcome unknown; it may submit its job again
// resubmitAfter later.
func (j *Judge) AllowResubmit(at time.Time, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.freed[id] = append(j.freed[id], at)
}

// checkOutlived reports a violation if a run ended after its job could be submitted again. The
// caller holds the lock.
func (j *Judge) checkOutlived(at time.Time, ep, task string, num int) {
	startedAt := j.runStarts[task+"@"+ep]
	delete(j.runStarts, task+"@"+ep)
	for _, free := range j.freed[jobOf(task)] {
		if startedAt.Before(free) && at.After(free.Add(resubmitAfter)) {
			j.violations = append(j.violations, fmt.Sprintf("outlived: %s run %d on %s ended %s after its job could be submitted again", task, num, ep, at.Sub(free)))
			return
		}
	}
}

// Gaps returns the gaps of tasks whose runs ended in a span and that started again.
func (j *Judge) Gaps(from, to time.Time) (all []time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, h := range j.gaps {
		if h.At.After(from) && h.At.Before(to) {
			all = append(all, h.For)
		}
	}
	return all
}

// MarkCrashing marks a job as one with a task that crashes endpoints.
func (j *Judge) MarkCrashing(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashing[id] = true
}

// IsCrashing reports whether a job was marked by MarkCrashing.
func (j *Judge) IsCrashing(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.crashing[id]
}

// Crashes returns how many endpoints were crashed by tasks, in all and by the worst task.
func (j *Judge) Crashes() (all, most int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.crashes {
		all += n
		most = max(most, n)
	}
	return all, most
}

// CordonFrom sets the time from which an endpoint may start nothing; zero lifts the cordon.
func (j *Judge) CordonFrom(ep string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from.IsZero() {
		delete(j.cordonedAt, ep)
		return
	}
	j.cordonedAt[ep] = from
}

// Answered records the answer to a job's caller and checks it.
func (j *Judge) Answered(id string, tasks int, a job.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[id], j.tasks[id] = a, tasks
	if a.Outcome == job.Refused && j.started[id] {
		j.violations = append(j.violations, fmt.Sprintf("false refusal: job %s refused (%s) though it had begun", id, a.Reason))
	}
	if a.Outcome == job.Done && j.done[id] < tasks {
		j.violations = append(j.violations, fmt.Sprintf("partial: job %s done with %d of %d tasks", id, j.done[id], tasks))
	}
}

// Resubmitted checks that no task of a job still runs when its caller submits it again.
func (j *Judge) Resubmitted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, eps := range j.running {
		if jobOf(task) == id && j.runs(time.Now(), task) {
			j.violations = append(j.violations, fmt.Sprintf("outlives: %s runs on %v when its job is submitted again", task, eps))
		}
	}
}

// Violations returns a description of each violation.
func (j *Judge) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// Running counts the runs that have not ended.
func (j *Judge) Running() (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, eps := range j.running {
		n += len(eps)
	}
	return n
}
