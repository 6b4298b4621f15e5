package fakes

import (
	"context"
	"errors"
	"sync"
	"time"

	"dahliawinch/internal/plat/feed"
)

// ErrStore is what a stand-in for the store answers while it is away.
var ErrStore = errors.New("store away")

// Topic is the stand-in for one keyed topic of the store.
type Topic[T any] struct {
	mu    sync.Mutex
	all   []feed.Update[T]
	first int64
	down  bool
	grown chan struct{}
}

// NewTopic returns an empty topic.
func NewTopic[T any]() *Topic[T] { return &Topic[T]{grown: make(chan struct{})} }

// Down takes the topic away or brings it back.
func (t *Topic[T]) Down(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Put adds a record.
func (t *Topic[T]) Put(key string, value T) { t.add(feed.Update[T]{Key: key, Value: value}) }

// Remove drops a key.
func (t *Topic[T]) Remove(key string) { t.add(feed.Update[T]{Key: key, Gone: true}) }

func (t *Topic[T]) add(u feed.Update[T]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, u)
	close(t.grown)
	t.grown = make(chan struct{})
}

// Compact forgets the history: reads from before it fail.
func (t *Topic[T]) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = int64(len(t.all))
}

// Newest implements feed.Source.
func (t *Topic[T]) Newest(context.Context) (us []feed.Update[T], next int64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, 0, ErrStore
	}
	newest := map[string]feed.Update[T]{}
	for _, u := range t.all {
		newest[u.Key] = u
	}
	for _, u := range newest {
		if !u.Gone {
			us = append(us, u)
		}
	}
	return us, int64(len(t.all)), nil
}

// Next implements feed.Source.
func (t *Topic[T]) Next(ctx context.Context, from int64, wait time.Duration) ([]feed.Update[T], int64, error) {
	ends := time.NewTimer(wait)
	defer ends.Stop()
	for {
		t.mu.Lock()
		switch {
		case t.down:
			t.mu.Unlock()
			return nil, from, ErrStore
		case from < t.first:
			t.mu.Unlock()
			return nil, from, feed.ErrGone
		case from < int64(len(t.all)) || wait <= 0:
			us, next := append([]feed.Update[T](nil), t.all[from:]...), int64(len(t.all))
			t.mu.Unlock()
			return us, next, nil
		}
		grown := t.grown
		t.mu.Unlock()
		select {
		case <-grown:
		case <-ends.C:
			wait = 0
		case <-ctx.Done():
			return nil, from, ctx.Err() //nolint:wrapcheck // a stand-in
		}
	}
}
