package fakes

import (
	"time"

	"dahliawinch/internal/task/lease"
)

// Crash ends the endpoint and all its runs; it returns false if the endpoint had crashed before.
func (e *Leased) Crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return false
	}
	e.dead = true
	for n := range e.runs {
		e.end(n, lease.Gone)
	}
	return true
}

// crashSilently ends the endpoint as a crashing task does: calls get no answer until another
// instance answers at its address.
func (e *Leased) crashSilently() {
	if !e.Crash() {
		return
	}
	e.mu.Lock()
	e.behavior.Silent = true
	e.mu.Unlock()
	if e.Crashed != nil {
		e.Crashed()
	}
}

// GoDown ends the endpoint's process until Restart. Calls find nobody listening, and those that wait get no answer.
func (e *Leased) GoDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.runs {
		e.end(n, lease.Gone)
	}
	e.down = true
	close(e.ended)
	e.ended = make(chan struct{})
}

// Restart starts the endpoint anew under its ID: it runs nothing, has seen no fence, and its clock and the serials of its
// ends begin again.
func (e *Leased) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.runs {
		e.end(n, lease.Gone)
	}
	e.down = false
	e.Born = time.Now().UnixMilli()
	e.boot, e.fence, e.until, e.serial = time.Now(), 0, time.Time{}, 0
	e.highestRun, e.ends = map[string]int{}, nil
	e.leaseEnd.Store(0)
}

// RestartAfresh is Restart, and orders that are under way are lost: one that the new process carries out before any other
// of its owner can't be refused.
func (e *Leased) RestartAfresh() {
	e.mu.Lock()
	e.afresh++
	e.mu.Unlock()
	e.Restart()
}

// Wake lets another instance at its address answer the calls to a dead endpoint.
func (e *Leased) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior.Silent = false
}
