// Package judge checks the system's guarantees from outside: it compares the answers
// that callers received with the starts that endpoints saw, and trusts no internal state.
package judge

import (
	"encoding/json"
	"fmt"
	"sync"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
)

// Judge records the answers and task starts of every job.
type Judge struct {
	mu         sync.Mutex
	jobs       map[string]*record
	violations []string
}

type record struct {
	tasks    int
	starts   []uint8
	outcomes []job.Outcome // all answers, including those to resubmissions
	partial  bool
	crossed  bool
}

// Tally counts jobs by outcome, and violated guarantees.
type Tally struct {
	Jobs          int `json:"jobs"`
	Tasks         int `json:"tasks"`
	Done          int `json:"done"`
	Refused       int `json:"refused"`
	Failed        int `json:"failed"`
	Unknown       int `json:"unknown"`
	Twice         int `json:"twice"`   // tasks that started more than once
	Partial       int `json:"partial"` // jobs done with too few or too many results, or not done but with results
	Crossed       int `json:"crossed"` // jobs with a result of another job or task
	FalseRefusals int `json:"lies"`    // jobs refused although a task started
}

// Broken returns the number of violated guarantees.
func (t Tally) Broken() int { return t.Twice + t.Partial + t.Crossed + t.FalseRefusals }

// New returns a Judge without jobs.
func New() *Judge { return &Judge{jobs: map[string]*record{}} }

func (j *Judge) get(name string) *record {
	r := j.jobs[name]
	if r == nil {
		r = &record{}
		j.jobs[name] = r
	}
	return r
}

// Submit records a job before it is sent.
func (j *Judge) Submit(name string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.get(name)
	r.tasks = tasks
	for len(r.starts) < tasks {
		r.starts = append(r.starts, 0)
	}
}

// Started implements fakes.Witness.
func (j *Judge) Started(name string, task int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.get(name)
	for len(r.starts) <= task {
		r.starts = append(r.starts, 0)
	}
	r.starts[task]++
	if r.starts[task] > 1 {
		j.addViolation("%s: task %d started %d times", name, task, r.starts[task])
	}
}

// Starts returns how many task starts of a job were seen so far.
func (j *Judge) Starts(name string) (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, k := range j.get(name).starts {
		n += int(k)
	}
	return n
}

// Answer records the answer that the caller of a job received.
func (j *Judge) Answer(name string, a *job.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.get(name)
	r.outcomes = append(r.outcomes, a.Outcome)
	if a.Outcome != job.Done {
		if len(a.Results) > 0 {
			r.partial = true
			j.addViolation("%s: %s with %d results", name, a.Outcome, len(a.Results))
		}
		return
	}
	if len(a.Results) != r.tasks {
		r.partial = true
		j.addViolation("%s: %d results for %d tasks", name, len(a.Results), r.tasks)
	}
	for i, body := range a.Results {
		var d fakes.Done
		if json.Unmarshal(body, &d) != nil || d.Job != name || d.Task != i {
			r.crossed = true
			j.addViolation("%s: result %d is %.60q", name, i, body)
		}
	}
}

func (j *Judge) addViolation(format string, args ...any) {
	if len(j.violations) < 20 {
		j.violations = append(j.violations, fmt.Sprintf(format, args...))
	}
}

// Violations describes the first violated guarantees.
func (j *Judge) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string{}, j.violations...)
}

// Verdict checks all jobs. Call it when nothing runs any more: a task that starts
// after the refusal makes the refusal false too.
func (j *Judge) Verdict() (t Tally) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, r := range j.jobs {
		t.Jobs++
		t.Tasks += r.tasks
		started := 0
		for _, n := range r.starts {
			started += int(n)
			if n > 1 {
				t.Twice++
			}
		}
		if r.partial {
			t.Partial++
		}
		if r.crossed {
			t.Crossed++
		}
		j.count(&t, name, r, started)
	}
	return t
}

// count uses the last answer as the job's outcome. A job with a refusal among its
// answers and a started task counts as a false refusal.
func (j *Judge) count(t *Tally, name string, r *record, started int) {
	last := job.Unknown
	falseRefusal := false
	for _, o := range r.outcomes {
		last = o
		falseRefusal = falseRefusal || o == job.Refused && started > 0
	}
	if falseRefusal {
		t.FalseRefusals++
		j.addViolation("%s: refused, but %d tasks started; answers %v", name, started, r.outcomes)
	}
	switch last {
	case job.Done:
		t.Done++
	case job.Refused:
		t.Refused++
	case job.Failed:
		t.Failed++
	case job.Unknown:
		t.Unknown++
	}
}
