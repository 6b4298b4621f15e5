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
	// missed is the part of the last calls that must have timed out for the time-out to
	// grow: a few are lost for reasons of their own, many mean that it is too short.
	missed = 0.35
	// backMost bounds how far it grows; the others are its steps.
	backMost = 8
	backUp   = 1.5
	backDown = 0.95
)

// Pace is the running mean and deviation of a call's time.
type Pace struct {
	least, most time.Duration

	mu   sync.Mutex
	mean time.Duration
	dev  time.Duration
	miss float64 // part of the last calls that timed out
	back float64 // factor of the time-out
}

// New returns a pace whose time-outs stay between two bounds.
func New(least, most time.Duration) *Pace { return &Pace{least: least, most: most, back: 1} }

// Miss takes in a call that timed out.
func (p *Pace) Miss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.miss += gain * (1 - p.miss)
	if p.miss > missed {
		p.back = min(backMost, p.back*backUp)
	}
}

// Note takes in the time of a call that was answered.
func (p *Pace) Note(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.miss -= gain * p.miss
	p.back = max(1, p.back*backDown)
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
	t := max(p.least, p.mean+devs*p.dev)
	return min(p.most, time.Duration(p.back*float64(t)))
}
