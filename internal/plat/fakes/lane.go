package fakes

import (
	"context"
	"sync"
	"time"

	"dahliawinch/internal/mesh/frame"
)

// Lane carries the messages of one VM to one incarnation of another, in order. Its room
// grows with what is on its way: a channel long enough for a cut link would take
// megabytes for each of some hundred links.
type Lane struct {
	mu   sync.Mutex
	way  []Parcel
	wake chan struct{}
}

// Parcel is a message on its way.
type Parcel struct {
	At  time.Time // when it arrives
	Msg frame.Msg
}

// laneRoom is how many messages may be on their way; more count as no link.
const laneRoom = 100_000

// NewLane returns a lane with nothing on its way.
func NewLane() *Lane { return &Lane{wake: make(chan struct{}, 1)} }

// Put sends a message that arrives after a delay; false if too many are on their way.
func (l *Lane) Put(delay time.Duration, m frame.Msg) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.way) >= laneRoom {
		return false
	}
	l.way = append(l.way, Parcel{time.Now().Add(delay), m})
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Run hands each message over when it arrives, until ctx ends.
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
	if len(l.way) == 0 {
		l.way = nil
		return p, false
	}
	p = l.way[0]
	l.way[0] = Parcel{}
	l.way = l.way[1:]
	return p, true
}
