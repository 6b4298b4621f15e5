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
	shun  atomic.Int64 // full as of its own refusal, until this time
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

// Shun treats the endpoint as full until the given time.
func (e *Endpoint) Shun(until time.Time) { e.shun.Store(until.UnixNano()) }

// Free is the number of slots open to this VM at the given time.
func (e *Endpoint) Free(now time.Time) int {
	if e.leave.Load() || now.UnixNano() < e.shun.Load() {
		return 0
	}
	return max(0, int(e.limit.Load()-e.busy.Load()))
}

// take claims one slot and fails when another thread was faster.
func (e *Endpoint) take() bool {
	for {
		n := e.busy.Load()
		if n >= e.limit.Load() || e.leave.Load() {
			return false
		}
		if e.busy.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives the slot back.
func (e *Endpoint) Release() { e.busy.Add(-1) }
