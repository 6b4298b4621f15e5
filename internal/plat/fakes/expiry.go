package fakes

import (
	"time"

	"dahliawinch/internal/task/lease"
)

// LeaseEnd returns when the lease of all runs here ends. A busy machine may note the end of the runs later.
func (e *Leased) LeaseEnd() time.Time { return time.Unix(0, e.leaseEnd.Load()) }

// extend renews the lease, which is at most limits.Hold long and never gets shorter.
func (e *Leased) extend(until int64) {
	e.endLapsed() // a lease that has ended is not renewed, however late its end is noted
	left := min(time.Duration(until-e.clock())*time.Millisecond, e.limits.Hold)
	if at := time.Now().Add(left); at.After(e.until) {
		e.until = at
		e.leaseEnd.Store(at.UnixNano())
	}
	// A timer that is due at once may crash a synctest bubble under the race detector.
	time.AfterFunc(max(0, time.Until(e.until))+time.Millisecond, e.expireLease)
}

func (e *Leased) expireLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLapsed()
}

// endLapsed ends all runs once the lease has ended; the caller holds the lock.
func (e *Leased) endLapsed() {
	if time.Now().Before(e.until) {
		return
	}
	for n := range e.runs {
		e.end(n, lease.Gone)
	}
}
