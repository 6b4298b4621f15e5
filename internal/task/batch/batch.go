// Package batch defines jobs whose tasks run under leases on endpoints that pack them by
// cores and memory. Tasks of package job take a slot each instead.
package batch

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/task/job"
)

const (
	// maxSteps bounds the steps of one job, so that a small body can't cause a
	// large amount of bookkeeping.
	maxSteps = 64
	// maxTasks bounds the tasks of one job; the largest expected jobs have 520.
	maxTasks = 1024
)

// Job is a submission whose caller waits until it has ended.
type Job struct {
	ID       string        `msgpack:"i"` // chosen by the caller; the same on resubmission
	Spec     string        `msgpack:"x,omitempty"`
	Queue    string        `msgpack:"q"`           // jobs of one queue have similar run times
	Pool     string        `msgpack:"p"`           // the endpoints that may run it
	Rank     int           `msgpack:"r"`           // 0 is served first
	Attempts int           `msgpack:"a"`           // failed runs of one task after which the job fails
	Stretch  float64       `msgpack:"f"`           // latency objective: this multiple of the work
	Slack    time.Duration `msgpack:"s"`           // plus this much
	TimeLeft time.Duration `msgpack:"l"`           // until the answer is useless
	Age      time.Duration `msgpack:"g,omitempty"` // since it arrived at the VM that answers the caller
	Waited   time.Duration `msgpack:"w,omitempty"` // at other VMs, before it arrived here
	// AskedAt is the earliest time at which the VM that answers the caller may have sent the job, by the clock
	// of the VM that runs it; zero at the sending VM.
	AskedAt time.Time `msgpack:"z,omitempty"`
	Steps   []Step    `msgpack:"t"`
	// Of is the number of tasks of the whole job if this is a part of one, else 0. Its only step has the part's Count
	// tasks, and First is the index of the first of them in the job.
	Of    int `msgpack:"u,omitempty"`
	First int `msgpack:"o,omitempty"`
	// Begun says that other parts of the job may have begun, so that refusing this one wastes their work.
	Begun bool `msgpack:"b,omitempty"`
}

// Part reports whether this is a part of a job, whose other tasks are at other owners.
func (j *Job) Part() bool { return j.Of > 0 }

// Range returns the part of a job of one step that has count tasks from the index first on.
func (j *Job) Range(first, count int) Job {
	p := *j
	p.Of, p.First = j.Tasks(), first
	p.Steps = slices.Clone(j.Steps)
	p.Steps[0].Count = count
	return p
}

// HashID returns the hash by which VMs name a job to each other in heartbeats.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// SameWork reports whether two submissions ask for the same tasks.
func (j *Job) SameWork(o *Job) bool {
	return j.Spec == o.Spec && j.Of == o.Of && j.First == o.First && slices.EqualFunc(j.Steps, o.Steps, sameStep)
}

func sameStep(a, b Step) bool {
	sameAfter := slices.Equal(a.After, b.After) // an empty list equals a missing one
	a.After, b.After = nil, nil
	return sameAfter && reflect.DeepEqual(a, b)
}

// Step is a group of identical tasks that may start once the steps in After are done.
type Step struct {
	Count    int           `msgpack:"c"`
	Need     job.Size      `msgpack:"n"`
	Run      time.Duration `msgpack:"r,omitempty"` // declared run time, often far off; 0 if unknown
	After    []int         `msgpack:"a,omitempty"`
	Label    string        `msgpack:"l,omitempty"` // required of the endpoint
	Near     string        `msgpack:"k,omitempty"` // rack that stores its data
	Spread   int           `msgpack:"s,omitempty"` // max tasks per endpoint; 0 for any number
	Gang     bool          `msgpack:"g,omitempty"` // makes progress only while all its tasks run
	SameRack bool          `msgpack:"h,omitempty"` // slow unless all tasks run on one rack
}

// Task identifies one task of a job.
type Task struct {
	Job   string
	Step  int
	Index int
}

// String returns the task's name, which is the same on every VM.
func (t Task) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	b = append(b, ".0."...)
	b = strconv.AppendInt(b, int64(t.Step), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	return string(b)
}

// ErrInvalid is returned for a job that can't be run as specified.
var ErrInvalid = errors.New("invalid job")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// Check returns an error that names the first invalid field and how to correct it.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return invalid("steps: %d; send 1 to %d", len(j.Steps), maxSteps)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > maxTasks {
			return invalid("steps[%d].count: %d; use 1 to %d", i, s.Count, maxTasks)
		}
		if s.Need.Cores < 0 || s.Need.Memory < 0 || s.Need.Accels < 0 || s.Spread < 0 || s.Run < 0 {
			return invalid("steps[%d]: a negative number; leave it out if nothing is needed", i)
		}
		for _, k := range s.After {
			if k < 0 || k >= i {
				return invalid("steps[%d].after: %d is no earlier step", i, k)
			}
		}
		tasks += s.Count
	}
	if tasks > maxTasks {
		return invalid("steps: %d tasks; send at most %d", tasks, maxTasks)
	}
	return nil
}

// CriticalPath returns the length of the job's longest chain of steps, given each step's duration.
func (j *Job) CriticalPath(duration func(*Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		s := &j.Steps[i]
		var start time.Duration
		for _, k := range s.After {
			start = max(start, ends[k])
		}
		ends[i] = start + duration(s)
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the latency objective of a job whose critical path takes the given time.
func (j *Job) Objective(work time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(work)) + j.Slack
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() (n int) {
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}
