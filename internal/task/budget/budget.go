// Package budget bounds retries to a part of the work, so that refusals can't
// multiply the load that caused them.
package budget

import (
	"sync"
	"time"
)

// Budget is a bucket of retries filled by first tries and by time.
type Budget struct {
	mu    sync.Mutex
	ratio float64 // retries earned by each first try
	floor float64 // retries earned by each second
	top   float64
	have  float64
	last  time.Time
}

// New returns a full budget: ratio of first tries, floor per second, top at once.
func New(now time.Time, ratio, floor, top float64) *Budget {
	return &Budget{ratio: ratio, floor: floor, top: top, have: top, last: now}
}

// Earn notes n first tries.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.top, b.have+b.ratio*float64(n))
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if gap := now.Sub(b.last); gap > 0 {
		b.have = min(b.top, b.have+b.floor*gap.Seconds())
		b.last = now
	}
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
