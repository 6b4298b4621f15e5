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
	// inRow is how many calls in a row must have timed out besides, sent after the last
	// answer: while one call in two is lost the time-out grows slower than it shrinks.
	inRow = 4
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
	miss float64   // part of the last calls that timed out
	last time.Time // when a call was last answered
	row  int       // calls sent since that timed out
	back float64   // factor of the time-out
}

// New returns a pace whose time-outs stay between two bounds.
func New(least, most time.Duration) *Pace { return &Pace{least: least, most: most, back: 1} }

// Miss takes in that a call timed out which was sent at a time. If another was answered
// since, the VM and its links are quick, and this one is lost: with a longer time-out
// the next one that is lost would only be waited for longer.
func (p *Pace) Miss(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.miss += gain * (1 - p.miss)
	if p.last.After(sent) {
		return
	}
	if p.row++; p.miss > missed && p.row >= inRow {
		p.back = min(backMost, p.back*backUp)
	}
}

// Heard takes in that a call was answered whose time says nothing of the others'.
func (p *Pace) Heard(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.row = now, 0
}

// Note takes in when a call was answered and how long that took.
func (p *Pace) Note(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.row = now, 0
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
	return p.timeout()
}

func (p *Pace) timeout() time.Duration {
	t := max(p.least, p.mean+devs*p.dev)
	return min(p.most, time.Duration(p.back*float64(t)))
}
