// Package judge checks what must always hold from outside: from what callers were
// told and what endpoints saw, never from the system's own word.
package judge

import (
	"encoding/json"
	"fmt"
	"sync"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
)

// Judge collects what was seen of every job.
type Judge struct {
	mu   sync.Mutex
	jobs map[string]*record
	why  []string
}

type record struct {
	tasks   int
	starts  []uint8
	outcome []job.Outcome // every answer to this job, resubmissions included
	partial bool
	crossed bool
}

// Tally is the verdict.
type Tally struct {
	Jobs    int `json:"jobs"`
	Tasks   int `json:"tasks"`
	Done    int `json:"done"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Unknown int `json:"unknown"`
	Twice   int `json:"twice"`   // tasks that started more than once
	Partial int `json:"partial"` // done answers that lack results
	Crossed int `json:"crossed"` // answers with another request's results
	Lies    int `json:"lies"`    // "not run" though something started
}

// Broken is the number of broken promises.
func (t Tally) Broken() int { return t.Twice + t.Partial + t.Crossed + t.Lies }

// New returns an empty judge.
func New() *Judge { return &Judge{jobs: map[string]*record{}} }

func (j *Judge) get(name string) *record {
	r := j.jobs[name]
	if r == nil {
		r = &record{}
		j.jobs[name] = r
	}
	return r
}

// Submit notes a job before it is sent.
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
		j.note("%s: task %d started %d times", name, task, r.starts[task])
	}
}

// Starts is how many task starts of a job were seen so far.
func (j *Judge) Starts(name string) (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, k := range j.get(name).starts {
		n += int(k)
	}
	return n
}

// Answer notes what the caller of a job was told.
func (j *Judge) Answer(name string, a *job.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.get(name)
	r.outcome = append(r.outcome, a.Outcome)
	if a.Outcome != job.Done {
		if len(a.Results) > 0 {
			r.partial = true
			j.note("%s: %s with %d results", name, a.Outcome, len(a.Results))
		}
		return
	}
	if len(a.Results) != r.tasks {
		r.partial = true
		j.note("%s: %d results for %d tasks", name, len(a.Results), r.tasks)
	}
	for i, body := range a.Results {
		var d fakes.Done
		if json.Unmarshal(body, &d) != nil || d.Job != name || d.Task != i {
			r.crossed = true
			j.note("%s: result %d is %.60q", name, i, body)
		}
	}
}

func (j *Judge) note(format string, args ...any) {
	if len(j.why) < 20 {
		j.why = append(j.why, fmt.Sprintf(format, args...))
	}
}

// Why lists the first broken promises in words.
func (j *Judge) Why() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string{}, j.why...)
}

// Verdict judges all jobs; call it when nothing runs any more, since a start
// after a refusal counts as a lie too.
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

// count takes the last answer as the job's outcome; every refusal among the
// answers of a job of which something started is a lie.
func (j *Judge) count(t *Tally, name string, r *record, started int) {
	last := job.Unknown
	lie := false
	for _, o := range r.outcome {
		last = o
		lie = lie || o == job.Refused && started > 0
	}
	if lie {
		t.Lies++
		j.note("%s: refused, but %d tasks started; told %v", name, started, r.outcome)
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
