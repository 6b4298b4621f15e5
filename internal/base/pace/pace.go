// Package pace follows how long calls take, for time-outs that fit.
package pace

import (
	"sync"
	"time"
)

const (
	// gain and devGain are the weights of a new sample in the mean and the deviation,
	// as TCP has them.
	gain    = 1.0 / 8
	devGain = 1.0 / 4
	// devs is how many deviations above the mean a call may take.
	devs = 6
)

// Pace is the running mean and deviation of a call's time.
type Pace struct {
	least, most time.Duration

	mu   sync.Mutex
	mean time.Duration
	dev  time.Duration
}

// New returns a pace whose time-outs stay between two bounds.
func New(least, most time.Duration) *Pace { return &Pace{least: least, most: most} }

// Note takes in a call's time; one that timed out counts with the time waited.
func (p *Pace) Note(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := took - p.mean
	p.mean += time.Duration(gain * float64(d))
	p.dev += time.Duration(devGain * (max(float64(d), -float64(d)) - float64(p.dev)))
}

// Timeout is how long the next call may take. A fixed one fails in one of two ways: long,
// it holds up work whose order was lost; short, a VM that is slow for a moment takes all
// its orders for lost, repeats them, and stays slow.
func (p *Pace) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.most, max(p.least, p.mean+devs*p.dev))
}
