// Package queue orders jobs that wait for slots: fair between tenants, and by
// job rather than by task, since a job is answered when its last task is.
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
	Tasks  int           // of the whole job, started or not
	Due    time.Time     // the answer is of no use after this

	left int
	key  time.Duration
	slot heap.Slot
}

// Left is the number of tasks that still wait.
func (e *Entry[T]) Left() int { return e.left }
