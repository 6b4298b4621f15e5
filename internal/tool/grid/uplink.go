package grid

import (
	"sync"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// Usual sizes of messages on the wire, in bytes, on simulated days.
const (
	startOrderBytes = 600 // an order to start, with the task
	otherOrderBytes = 210 // a renewal, an order to stop
	handoverBytes   = 650 // a job handed to another VM
	otherMsgBytes   = 100 // a heartbeat, a load report, an answer
)

// msgSize returns the approximate size of a message to another VM.
func msgSize(m frame.Msg) int {
	if _, ok := m.(*frame.RunJob); ok {
		return handoverBytes
	}
	return otherMsgBytes
}

// uplink is the link through which a VM sends; messages queue on it.
type uplink struct {
	rate int // bytes a second; 0 for no limit

	mu     sync.Mutex
	freeAt time.Time
}

// sendDelay queues a message and returns how long it takes to leave the link.
func (u *uplink) sendDelay(bytes int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rate <= 0 {
		return 0
	}
	now := time.Now()
	if u.freeAt.Before(now) {
		u.freeAt = now
	}
	u.freeAt = u.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(u.rate))
	return u.freeAt.Sub(now)
}

// slowDown divides the rate of the link.
func (u *uplink) slowDown(times int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate = max(1, u.rate/times)
}

// setRate sets a new rate. Messages that are queued already keep their delay.
func (u *uplink) setRate(rate int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate, u.freeAt = rate, time.Time{}
}
