package grid

import (
	"sync"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// Bytes of messages on the wire, as played days show them.
const (
	startBytes = 600 // an order to start, with what the task is
	otherBytes = 210 // a renewal, a look, an order to stop
	handBytes  = 650 // a job that is handed over
	plainBytes = 100 // a heartbeat, a load, an answer
)

// sizeOf is about how long a message to another VM is.
func sizeOf(m frame.Msg) int {
	if _, ok := m.(*frame.Hand); ok {
		return handBytes
	}
	return plainBytes
}

// uplink is what a VM sends through; messages wait for those before them.
type uplink struct {
	rate int // bytes a second; 0 for no bound

	mu   sync.Mutex
	free time.Time
}

// takes is how long a message sent now is under way on the link.
func (u *uplink) takes(bytes int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rate <= 0 {
		return 0
	}
	now := time.Now()
	if u.free.Before(now) {
		u.free = now
	}
	u.free = u.free.Add(time.Duration(bytes) * time.Second / time.Duration(u.rate))
	return u.free.Sub(now)
}

// narrow makes the link so many times slower.
func (u *uplink) narrow(times int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate = max(1, u.rate/times)
}

// widen bounds the link anew; what is on its way comes no sooner.
func (u *uplink) widen(rate int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate, u.free = rate, time.Time{}
}
