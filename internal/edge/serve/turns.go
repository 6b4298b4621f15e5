package serve

import (
	"context"
	"sync"
)

// maxStarts and maxStops bound the orders under way to one endpoint at a time. There are 24 connections to each
// (platform), and renewals need some of them. Starts of a large job wait for their turn, and stops don't wait for starts.
const (
	maxStarts = 16
	maxStops  = 6
)

// turns lets a number of orders to each endpoint be under way at a time; the others wait in the order in which they came.
type turns struct {
	most int

	mu  sync.Mutex
	all map[string]chan struct{} // by endpoint; one element for each order under way
}

func newTurns(most int) *turns { return &turns{most: most, all: map[string]chan struct{}{}} }

// take waits for a turn, or until ctx ends, and returns the function that ends it.
func (t *turns) take(ctx context.Context, endpoint string) (done func()) {
	t.mu.Lock()
	slots := t.all[endpoint]
	if slots == nil {
		slots = make(chan struct{}, t.most)
		t.all[endpoint] = slots
	}
	t.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	return func() {
		<-slots
		t.mu.Lock()
		defer t.mu.Unlock()
		if len(slots) == 0 && t.all[endpoint] == slots {
			delete(t.all, endpoint)
		}
	}
}
