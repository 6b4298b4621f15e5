package queue

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/base/heap"
)

// Order says how jobs of tenants within their fair share are ranked.
type Order struct {
	// Spread is the slot count over which a job's work is assumed to spread; a
	// job's rank is its arrival plus Stretch times the time its work takes there.
	Spread  float64
	Stretch float64
	// Lead is how much slot time per weight a tenant may be ahead of the one
	// furthest behind before its jobs wait.
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
	name   string
	served time.Duration // slot time per weight, in the queue's virtual time
	jobs   *heap.Heap[*Entry[T]]
	at     int  // index in active, or -1
	open   bool // within its quota, as of the last look
}

// New returns an empty queue; epoch only anchors ranks.
func New[T any](epoch time.Time, order Order) *Queue[T] {
	return &Queue[T]{order: order, epoch: epoch, tenants: map[string]*tenant[T]{}}
}

// Tasks is the number of waiting tasks.
func (q *Queue[T]) Tasks() int { return int(q.tasks.Load()) }

// Backlog is the expected slot time of the waiting tasks.
func (q *Queue[T]) Backlog() time.Duration { return time.Duration(q.backlog.Load()) }

// Push adds a job all of whose tasks wait.
func (q *Queue[T]) Push(now time.Time, e *Entry[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	work := time.Duration(float64(e.Cost) * float64(e.Tasks) * q.order.Stretch / max(q.order.Spread, 1))
	e.key = now.Sub(q.epoch) + work
	e.left = e.Tasks
	q.insert(e)
	q.account(e, e.Tasks)
}

// Next takes one task of the job that goes first; ok is false if none waits of a
// tenant that open lets through.
func (q *Queue[T]) Next(open func(tenant string) bool) (e *Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.first(open)
	if t == nil {
		return nil, false
	}
	e = t.jobs.Peek()
	e.left--
	t.served += time.Duration(float64(e.Cost) / max(e.Weight, minWeight))
	if e.left == 0 {
		t.jobs.Pop()
		q.retire(t)
	}
	q.account(e, -1)
	return e, true
}

// minWeight keeps a zero weight from stopping a tenant for ever.
const minWeight = 0.01

// Return puts back one task that Next took and that proved not to have started.
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

// Drop takes a job's waiting tasks out and returns how many there were.
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
	q.retire(t)
	q.account(e, -n)
	return n
}

// insert makes a tenant that was idle start level with the others: idle time
// must not be saved up into a burst that starves them.
func (q *Queue[T]) insert(e *Entry[T]) {
	t := q.tenants[e.Tenant]
	if t == nil {
		t = &tenant[T]{name: e.Tenant, at: -1}
		t.jobs = heap.New(
			func(a, b *Entry[T]) bool { return a.key < b.key },
			func(e *Entry[T]) *heap.Slot { return &e.slot },
		)
		q.tenants[e.Tenant] = t
	}
	if t.at < 0 {
		t.served = max(t.served, q.virtual)
		t.at = len(q.active)
		q.active = append(q.active, t)
	}
	t.jobs.Push(e)
}

func (q *Queue[T]) retire(t *tenant[T]) {
	if t.jobs.Len() > 0 || t.at < 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[t.at] = last
	last.at = t.at
	q.active = q.active[:len(q.active)-1]
	t.at = -1
	if t.served <= q.virtual {
		delete(q.tenants, t.name)
	}
}

// first picks the tenant whose best job ranks first among those not ahead of
// their share by more than the lead.
func (q *Queue[T]) first(open func(string) bool) *tenant[T] {
	if len(q.active) == 0 {
		return nil
	}
	least := time.Duration(math.MaxInt64)
	for _, t := range q.active {
		t.open = open(t.name)
		if t.open {
			least = min(least, t.served)
		}
	}
	if least == math.MaxInt64 {
		return nil
	}
	q.virtual = max(q.virtual, least)
	var best *tenant[T]
	for _, t := range q.active {
		if !t.open || t.served-least > q.order.Lead {
			continue
		}
		if best == nil || t.jobs.Peek().key < best.jobs.Peek().key {
			best = t
		}
	}
	return best
}

func (q *Queue[T]) account(e *Entry[T], tasks int) {
	q.tasks.Add(int64(tasks))
	q.backlog.Add(int64(tasks) * int64(e.Cost))
}
