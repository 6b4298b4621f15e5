// Package place keeps the endpoints' slots as one VM sees them and picks where a
// task runs.
package place

import (
	"net/netip"
	"sync/atomic"
	"time"

	"dahliawinch/internal/task/job"
)

// Info is what the platform's list says of an endpoint.
type Info struct {
	Addr   netip.AddrPort `json:"addr" msgpack:"a"`
	Domain string         `json:"domain" msgpack:"d"`
	Rack   string         `json:"rack" msgpack:"r"`
	Slots  int            `json:"slots" msgpack:"s"`
	Size   job.Size       `json:"size" msgpack:"z"`
}

// Endpoint is one endpoint with the slots that this VM uses on it.
type Endpoint struct {
	Info
	busy  atomic.Int32
	limit atomic.Int32 // slots that its health allows now
	slow  atomic.Int32 // percent of the usual run time
	room  atomic.Int32 // slots thought to be open to this VM at since
	since atomic.Int64
	leave atomic.Bool
	heard atomic.Int64 // when it last answered
}

// NewEndpoint returns a healthy, idle endpoint.
func NewEndpoint(in Info) *Endpoint {
	e := &Endpoint{Info: in}
	e.limit.Store(int32(in.Slots))
	e.slow.Store(100)
	return e
}

// Busy is the number of slots this VM uses.
func (e *Endpoint) Busy() int { return int(e.busy.Load()) }

// Limit is the number of slots this VM may use now.
func (e *Endpoint) Limit() int { return int(e.limit.Load()) }

// SetLimit takes over the verdict on the endpoint's health.
func (e *Endpoint) SetLimit(n int) { e.limit.Store(int32(n)) }

// Slow is how long tasks run here, in percent of what they usually run.
func (e *Endpoint) Slow() int { return int(e.slow.Load()) }

// SetSlow takes over the measured slowness.
func (e *Endpoint) SetSlow(percent int) { e.slow.Store(int32(percent)) }

// Leave stops all new work at once; nothing undoes it, since an endpoint that
// comes back is a new incarnation with a new entry in the list.
func (e *Endpoint) Leave() { e.leave.Store(true) }

// Leaving reports whether Leave was called.
func (e *Endpoint) Leaving() bool { return e.leave.Load() }

// Hear notes that the endpoint answered.
func (e *Endpoint) Hear(now time.Time) { e.heard.Store(now.UnixNano()) }

// Quiet reports whether the endpoint has not answered for d.
func (e *Endpoint) Quiet(now time.Time, d time.Duration) bool {
	return now.UnixNano()-e.heard.Load() >= int64(d)
}

// regrow is the time in which one more slot is thought to come free on an endpoint
// that others use too: about a task's run time over the slots.
const regrow = 50 * time.Millisecond

// Full takes in that the endpoint had no slot for one more task.
//
// What goes wrong without it: a VM takes over the endpoints of one that went and
// does not know the tasks that still run there. It sends one to each slot, all are
// refused, the retry budget is spent and tasks wait for it past their deadlines.
// One notices refusals right after a change of members. The endpoint counts as
// having just the slots that this VM uses, and one more every regrow.
func (e *Endpoint) Full(now time.Time) { e.open(now, max(0, e.busy.Load()-1)) }

// Ramp starts an endpoint that others may have used with one slot.
func (e *Endpoint) Ramp(now time.Time) { e.open(now, 1) }

func (e *Endpoint) open(now time.Time, n int32) {
	e.room.Store(n)
	e.since.Store(now.UnixNano())
}

// allowed is how many slots this VM may use at the given time.
func (e *Endpoint) allowed(now time.Time) int32 {
	grown := (now.UnixNano() - e.since.Load()) / int64(regrow)
	if grown > int64(e.Slots) {
		return e.limit.Load()
	}
	return min(e.limit.Load(), e.room.Load()+int32(grown))
}

// Free is the number of slots open to this VM at the given time.
func (e *Endpoint) Free(now time.Time) int {
	if e.leave.Load() {
		return 0
	}
	return max(0, int(e.allowed(now)-e.busy.Load()))
}

// take claims one slot and fails when another thread was faster.
func (e *Endpoint) take(now time.Time) bool {
	for {
		n := e.busy.Load()
		if n >= e.allowed(now) || e.leave.Load() {
			return false
		}
		if e.busy.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives the slot back.
func (e *Endpoint) Release() { e.busy.Add(-1) }
