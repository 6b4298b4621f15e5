// Package place tracks the endpoints' slots as one VM sees them and picks the
// endpoint for a task.
package place

import (
	"net/netip"
	"sync/atomic"
	"time"

	"dahliawinch/internal/task/job"
)

// Info describes an endpoint as the platform lists it.
type Info struct {
	Addr   netip.AddrPort `json:"addr" msgpack:"a"`
	Domain string         `json:"domain" msgpack:"d"`
	Rack   string         `json:"rack" msgpack:"r"`
	Slots  int            `json:"slots" msgpack:"s"`
	Size   job.Size       `json:"size" msgpack:"z"`
}

// Endpoint is an endpoint with the slots that this VM uses on it.
type Endpoint struct {
	Info
	busy       atomic.Int32
	limit      atomic.Int32 // slots allowed by its health
	slow       atomic.Int32 // run time in percent of the average endpoint's
	assumed    atomic.Int32 // slots assumed usable by this VM at assumedAt
	assumedAt  atomic.Int64
	leaving    atomic.Bool
	answeredAt atomic.Int64 // time of its last answer
}

// NewEndpoint returns a healthy, idle endpoint.
func NewEndpoint(in Info) *Endpoint {
	e := &Endpoint{Info: in}
	e.limit.Store(int32(in.Slots))
	e.slow.Store(100)
	return e
}

// Busy returns the number of slots this VM uses.
func (e *Endpoint) Busy() int { return int(e.busy.Load()) }

// Limit returns the number of slots this VM may use by the endpoint's health.
func (e *Endpoint) Limit() int { return int(e.limit.Load()) }

// SetLimit sets the number of slots that the endpoint's health allows.
func (e *Endpoint) SetLimit(n int) { e.limit.Store(int32(n)) }

// Slowness returns how long tasks run here, in percent of the average endpoint.
func (e *Endpoint) Slowness() int { return int(e.slow.Load()) }

// SetSlowness sets the measured slowness in percent.
func (e *Endpoint) SetSlowness(percent int) { e.slow.Store(int32(percent)) }

// MarkLeaving stops all new work at once. It can't be undone, since an endpoint that
// comes back is a new incarnation with a new entry in the list.
func (e *Endpoint) MarkLeaving() { e.leaving.Store(true) }

// Leaving reports whether MarkLeaving was called.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Answered records that the endpoint answered.
func (e *Endpoint) Answered(now time.Time) { e.answeredAt.Store(now.UnixNano()) }

// SilentFor reports whether the endpoint has not answered for at least d.
func (e *Endpoint) SilentFor(now time.Time, d time.Duration) bool {
	return now.UnixNano()-e.answeredAt.Load() >= int64(d)
}

// slotRegrowth is the time after which one more slot is assumed free on an endpoint
// that other VMs use too: about a task's run time divided by the slots.
const slotRegrowth = 50 * time.Millisecond

// MarkFull records that the endpoint had no free slot for a task. It then counts as
// having only the slots that this VM uses, and one more per slotRegrowth.
//
// Otherwise a VM that takes over endpoints from a lost VM, and doesn't know the tasks
// that still run there, sends a task to each slot. All are refused, which exhausts the
// retry budget, and tasks wait for it past their deadlines: refusals right after a
// change of members.
func (e *Endpoint) MarkFull(now time.Time) { e.assume(now, max(0, e.busy.Load()-1)) }

// StartRamp starts with one assumed slot on an endpoint that other VMs may have used.
func (e *Endpoint) StartRamp(now time.Time) { e.assume(now, 1) }

func (e *Endpoint) assume(now time.Time, n int32) {
	e.assumed.Store(n)
	e.assumedAt.Store(now.UnixNano())
}

// allowed returns how many slots this VM may use at the given time.
func (e *Endpoint) allowed(now time.Time) int32 {
	grown := (now.UnixNano() - e.assumedAt.Load()) / int64(slotRegrowth)
	if grown > int64(e.Slots) {
		return e.limit.Load()
	}
	return min(e.limit.Load(), e.assumed.Load()+int32(grown))
}

// Free returns the number of free slots for this VM at the given time.
func (e *Endpoint) Free(now time.Time) int {
	if e.leaving.Load() {
		return 0
	}
	return max(0, int(e.allowed(now)-e.busy.Load()))
}

// tryAcquire claims one slot; it fails if another goroutine took the last one.
func (e *Endpoint) tryAcquire(now time.Time) bool {
	for {
		n := e.busy.Load()
		if n >= e.allowed(now) || e.leaving.Load() {
			return false
		}
		if e.busy.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release frees one slot.
func (e *Endpoint) Release() { e.busy.Add(-1) }
