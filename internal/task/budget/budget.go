// Package budget bounds retries to a fraction of first tries, so that refusals can't
// multiply the load that caused them.
package budget

import (
	"sync"
	"time"
)

// Budget is a token bucket of retries, filled by first tries and by time.
type Budget struct {
	mu        sync.Mutex
	ratio     float64 // retries earned by each first try
	perSecond float64 // retries earned by each second
	capacity  float64
	tokens    float64
	last      time.Time
}

// New returns a full budget that earns ratio per first try and perSecond, up to capacity.
func New(now time.Time, ratio, perSecond, capacity float64) *Budget {
	return &Budget{ratio: ratio, perSecond: perSecond, capacity: capacity, tokens: capacity, last: now}
}

// Earn adds the retries for n first tries.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio*float64(n))
}

// Spend uses one retry and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if gap := now.Sub(b.last); gap > 0 {
		b.tokens = min(b.capacity, b.tokens+b.perSecond*gap.Seconds())
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
