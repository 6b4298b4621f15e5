package fakes

import (
	"context"
	"errors"
	"sync"
	"time"

	"dahliawinch/internal/plat/feed"
)

// ErrStore is returned by a Topic while it is unavailable.
var ErrStore = errors.New("store unavailable")

// Topic is a fake of one keyed topic of the store.
type Topic[T any] struct {
	mu    sync.Mutex
	all   []feed.Update[T]
	first int64
	down  bool
	grown chan struct{}
}

// NewTopic returns an empty topic.
func NewTopic[T any]() *Topic[T] { return &Topic[T]{grown: make(chan struct{})} }

// Down makes the topic unavailable or available again.
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

// Compact drops the history: reads from older offsets fail.
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

// RecordBytes is the assumed size of a record, about that of an endpoint's report.
const RecordBytes = 350

// bound returns the end offset of a read from an offset on that is limited to some bytes.
func (t *Topic[T]) bound(from int64, bytes int) int64 {
	end := int64(len(t.all))
	if bytes <= 0 {
		return end
	}
	return min(end, from+max(1, int64(bytes/RecordBytes)))
}

// Next implements feed.Source.
func (t *Topic[T]) Next(ctx context.Context, from int64, a feed.ReadOptions) (b feed.Batch[T], err error) {
	wait := a.Wait
	ends := time.NewTimer(wait)
	defer ends.Stop()
	for {
		t.mu.Lock()
		switch {
		case t.down:
			t.mu.Unlock()
			return b, ErrStore
		case from < t.first:
			t.mu.Unlock()
			return b, feed.ErrGone
		case from < int64(len(t.all)) || wait <= 0:
			b.End = int64(len(t.all))
			b.Next = t.bound(from, a.MaxBytes)
			b.Updates = append(b.Updates, t.all[from:b.Next]...)
			t.mu.Unlock()
			return b, nil
		}
		grown := t.grown
		t.mu.Unlock()
		select {
		case <-grown:
		case <-ends.C:
			wait = 0
		case <-ctx.Done():
			return b, ctx.Err() //nolint:wrapcheck // a stand-in
		}
	}
}
