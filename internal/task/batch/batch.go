// Package batch has jobs whose tasks run under leases on endpoints that pack them by
// cores and memory, as opposed to package job, whose tasks each take a slot.
package batch

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"dahliawinch/internal/task/job"
)

const (
	// mostSteps bounds the steps of one job, so that a small body can't ask for a
	// large amount of bookkeeping.
	mostSteps = 64
	// mostTasks bounds the tasks of one job; the largest jobs that are planned for
	// have 520.
	mostTasks = 1024
)

// Job is a submission whose caller waits until it has ended.
type Job struct {
	ID       string        `msgpack:"i"` // the caller's own, repeated when it submits again
	Spec     string        `msgpack:"x,omitempty"`
	Queue    string        `msgpack:"q"` // jobs of one queue run alike
	Pool     string        `msgpack:"p"` // the endpoints that may run it
	Rank     int           `msgpack:"r"` // 0 goes first
	Attempts int           `msgpack:"a"` // failed runs of one task that fail the job
	Stretch  float64       `msgpack:"f"` // latency objective: this times the work,
	Slack    time.Duration `msgpack:"s"` // and so much more
	Left     time.Duration `msgpack:"l"` // until the answer is of no use
	Age      time.Duration `msgpack:"g,omitempty"`
	Waited   time.Duration `msgpack:"w,omitempty"` // elsewhere, before it came to us
	// Asked is when the VM that answers the caller asked for the job, at the earliest, by the clock of the VM
	// that runs it; zero at the VM itself.
	Asked time.Time `msgpack:"z,omitempty"`
	Steps []Step    `msgpack:"t"`
}

// Step is a number of like tasks that start together once the steps before it are done.
type Step struct {
	Count  int           `msgpack:"c"`
	Need   job.Size      `msgpack:"n"`
	Run    time.Duration `msgpack:"r,omitempty"` // declared, often far off; 0 if unknown
	After  []int         `msgpack:"a,omitempty"`
	Label  string        `msgpack:"l,omitempty"` // that the endpoint must have
	Near   string        `msgpack:"k,omitempty"` // rack that holds its data
	Spread int           `msgpack:"s,omitempty"` // most tasks on one endpoint; 0 for any number
	Gang   bool          `msgpack:"g,omitempty"` // works only while all its tasks run
	Close  bool          `msgpack:"h,omitempty"` // slow unless all run on one rack
}

// Task names one task of a job.
type Task struct {
	Job   string
	Step  int
	Index int
}

// String is the task's name, the same at every VM.
func (t Task) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	b = append(b, ".0."...)
	b = strconv.AppendInt(b, int64(t.Step), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	return string(b)
}

// ErrInvalid marks a job that can't be run as it is written.
var ErrInvalid = errors.New("invalid job")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// Check names the first field that makes the job impossible and how to mend it.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > mostSteps {
		return invalid("steps: %d; send 1 to %d", len(j.Steps), mostSteps)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > mostTasks {
			return invalid("steps[%d].count: %d; use 1 to %d", i, s.Count, mostTasks)
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
	if tasks > mostTasks {
		return invalid("steps: %d tasks; send at most %d", tasks, mostTasks)
	}
	return nil
}

// Chain is the job's longest chain of work, if each task of a step takes as long as said.
func (j *Job) Chain(takes func(*Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var most time.Duration
	for i := range j.Steps {
		s := &j.Steps[i]
		var from time.Duration
		for _, k := range s.After {
			from = max(from, ends[k])
		}
		ends[i] = from + takes(s)
		most = max(most, ends[i])
	}
	return most
}

// Aim is the latency objective of a job whose longest chain of work is so long.
func (j *Job) Aim(work time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(work)) + j.Slack
}

// Tasks is the number of tasks of all steps.
func (j *Job) Tasks() (n int) {
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}
