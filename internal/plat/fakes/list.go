package fakes

import (
	"context"
	"sync"
	"time"

	"dahliawinch/internal/plat/roster"
)

// List is a fake of the platform's lagging list.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	slow     time.Duration // before each answer
	versions []listVersion
}

type listVersion struct {
	at   time.Time
	list roster.List
}

// NewList returns a list that shows its first contents at once and every later
// one after the lag.
func NewList(lag time.Duration, first roster.List) *List {
	return &List{lag: lag, versions: []listVersion{{time.Time{}, first}}}
}

// Publish changes the contents.
func (l *List) Publish(next roster.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{time.Now(), next})
}

// Slow delays all answers.
func (l *List) Slow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// List implements roster.Source.
func (l *List) List(ctx context.Context) (roster.List, error) {
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	if err := sleep(ctx, slow); err != nil {
		return roster.List{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := l.versions[0].list
	for _, s := range l.versions[1:] {
		if time.Since(s.at) >= l.lag {
			shown = s.list
		}
	}
	return shown, nil
}
