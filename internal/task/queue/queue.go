package queue

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/base/heap"
)

// Order configures how jobs of tenants within their fair share are ranked.
type Order struct {
	// Spread is the number of slots over which a job's work is assumed to spread. A
	// job's rank is its arrival plus Stretch times the time that its work takes on them.
	Spread  float64
	Stretch float64
	// Lead is how much slot time per weight a tenant may be ahead of the least
	// served tenant before its jobs wait.
	Lead time.Duration
}

// Queue holds the waiting jobs of one band.
type Queue[T any] struct {
	mu      sync.Mutex
	order   Order
	epoch   time.Time
	tenants map[string]*tenant[T]
	active  []*tenant[T]
	virtual time.Duration // the least served slot time per weight among active tenants
	tasks   atomic.Int64
	backlog atomic.Int64 // expected slot time of waiting tasks
}

type tenant[T any] struct {
	name     string
	served   time.Duration // slot time per weight, in the queue's virtual time
	jobs     *heap.Heap[*Entry[T]]
	index    int  // position in active, or -1
	eligible bool // within its quota, as of the last pick
}

// New returns an empty queue; ranks are relative to epoch.
func New[T any](epoch time.Time, order Order) *Queue[T] {
	return &Queue[T]{order: order, epoch: epoch, tenants: map[string]*tenant[T]{}}
}

// Tasks returns the number of waiting tasks.
func (q *Queue[T]) Tasks() int { return int(q.tasks.Load()) }

// Backlog returns the expected slot time of the waiting tasks.
func (q *Queue[T]) Backlog() time.Duration { return time.Duration(q.backlog.Load()) }

// Push adds a job with all of its tasks waiting.
func (q *Queue[T]) Push(now time.Time, e *Entry[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	work := time.Duration(float64(e.Cost) * float64(e.Tasks) * q.order.Stretch / max(q.order.Spread, 1))
	e.rank = now.Sub(q.epoch) + work
	e.left = e.Tasks
	q.insert(e)
	q.account(e, e.Tasks)
}

// Next removes one task of the first job in order. ok is false if no task waits of a
// tenant for which mayStart returns true.
func (q *Queue[T]) Next(mayStart func(tenant string) bool) (e *Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.pick(mayStart)
	if t == nil {
		return nil, false
	}
	e = t.jobs.Peek()
	e.left--
	t.served += time.Duration(float64(e.Cost) / max(e.Weight, minWeight))
	if e.left == 0 {
		t.jobs.Pop()
		q.deactivate(t)
	}
	q.account(e, -1)
	return e, true
}

// minWeight keeps a tenant with weight zero from being blocked forever.
const minWeight = 0.01

// Return puts back one task from Next that provably did not start.
func (q *Queue[T]) Return(e *Entry[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.left++
	if e.left == 1 {
		q.insert(e)
	}
	t := q.tenants[e.Tenant]
	t.served -= time.Duration(float64(e.Cost) / max(e.Weight, minWeight))
	q.account(e, 1)
}

// Drop removes a job's waiting tasks and returns their number.
func (q *Queue[T]) Drop(e *Entry[T]) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := e.left
	if n == 0 {
		return 0
	}
	e.left = 0
	t := q.tenants[e.Tenant]
	t.jobs.Remove(e)
	q.deactivate(t)
	q.account(e, -n)
	return n
}

// insert adds a job. A tenant that was idle starts level with the least served one, so
// that idle time doesn't add up to a burst that starves the others.
func (q *Queue[T]) insert(e *Entry[T]) {
	t := q.tenants[e.Tenant]
	if t == nil {
		t = &tenant[T]{name: e.Tenant, index: -1}
		t.jobs = heap.New(
			func(a, b *Entry[T]) bool { return a.rank < b.rank },
			func(e *Entry[T]) *heap.Slot { return &e.slot },
		)
		q.tenants[e.Tenant] = t
	}
	if t.index < 0 {
		t.served = max(t.served, q.virtual)
		t.index = len(q.active)
		q.active = append(q.active, t)
	}
	t.jobs.Push(e)
}

func (q *Queue[T]) deactivate(t *tenant[T]) {
	if t.jobs.Len() > 0 || t.index < 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[t.index] = last
	last.index = t.index
	q.active = q.active[:len(q.active)-1]
	t.index = -1
	if t.served <= q.virtual {
		delete(q.tenants, t.name)
	}
}

// pick returns the tenant whose best job ranks first, among the tenants that are within their
// quota and ahead of the least served one by at most Order.Lead.
func (q *Queue[T]) pick(mayStart func(string) bool) *tenant[T] {
	if len(q.active) == 0 {
		return nil
	}
	minServed := time.Duration(math.MaxInt64)
	for _, t := range q.active {
		t.eligible = mayStart(t.name)
		if t.eligible {
			minServed = min(minServed, t.served)
		}
	}
	if minServed == math.MaxInt64 {
		return nil
	}
	q.virtual = max(q.virtual, minServed)
	var best *tenant[T]
	for _, t := range q.active {
		if !t.eligible || t.served-minServed > q.order.Lead {
			continue
		}
		if best == nil || t.jobs.Peek().rank < best.jobs.Peek().rank {
			best = t
		}
	}
	return best
}

func (q *Queue[T]) account(e *Entry[T], tasks int) {
	q.tasks.Add(int64(tasks))
	q.backlog.Add(int64(tasks) * int64(e.Cost))
}
