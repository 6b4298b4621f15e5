// Package queue orders jobs that wait for slots: fairly between tenants, and by
// job rather than by task, since a job is answered only when its last task ends.
package queue

import (
	"time"

	"dahliawinch/internal/base/heap"
)

// Entry is one job with tasks that have not started.
type Entry[T any] struct {
	Job    T
	Tenant string
	Weight float64       // of the tenant
	Cost   time.Duration // expected run time of one task
	Tasks  int           // all tasks of the job, started or not
	Due    time.Time     // the answer is useless after this

	left int
	rank time.Duration
	slot heap.Slot
}

// Left returns the number of tasks that still wait.
func (e *Entry[T]) Left() int { return e.left }
