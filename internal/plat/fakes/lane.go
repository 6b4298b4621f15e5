package fakes

import (
	"context"
	"sync"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// Lane carries the messages of one VM to one incarnation of another, in order. Its queue
// grows on demand: a channel long enough for a broken link would take megabytes for each
// of some hundred links.
type Lane struct {
	mu    sync.Mutex
	queue []Parcel
	wake  chan struct{}
}

// Parcel is a message in transit.
type Parcel struct {
	At  time.Time // when it arrives
	Msg frame.Msg
}

// maxQueued bounds the messages in transit; beyond it the link counts as broken.
const maxQueued = 100_000

// NewLane returns an empty lane.
func NewLane() *Lane { return &Lane{wake: make(chan struct{}, 1)} }

// Put sends a message that arrives after a delay; false if too many are in transit.
func (l *Lane) Put(delay time.Duration, m frame.Msg) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueued {
		return false
	}
	l.queue = append(l.queue, Parcel{time.Now().Add(delay), m})
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Run calls hand for each message when it arrives, until ctx ends.
func (l *Lane) Run(ctx context.Context, hand func(m frame.Msg)) {
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		for p, ok := l.next(); ok; p, ok = l.next() {
			time.Sleep(time.Until(p.At))
			if ctx.Err() != nil {
				return
			}
			hand(p.Msg)
		}
	}
}

func (l *Lane) next() (p Parcel, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.queue = nil
		return p, false
	}
	p = l.queue[0]
	l.queue[0] = Parcel{}
	l.queue = l.queue[1:]
	return p, true
}
