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
	// devs is how many deviations above what is expected a call may take.
	devs = 6
	// times is how many times what is expected a call may take at least: on a narrow link it waits
	// behind whatever else the VM sends, which is not counted here.
	times = 5
	// crowdGain is the weight of a new sample in how a call's time follows the number of calls
	// on their way: about the last ten jobs of a few tasks tell.
	crowdGain = 1.0 / 32
	// first is the least time-out until sure calls were answered, of a few jobs of several
	// tasks: sixteen orders of 600 bytes take 80 ms of a link of 1 Mbit/s.
	first = 200 * time.Millisecond
	sure  = 32
	// firstWay is how many calls on their way the least time-out is meant for; with more it is longer.
	firstWay = 16
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

// Pace is the running mean and deviation of a call's time, by how many calls are on their way.
//
// What goes wrong with one time for all: on a narrow link calls queue, and the eighth of a job's
// orders takes eight times as long as a lone one. It is taken for lost and sent again on a new
// connection, which fills the link; the VM looks at its endpoints five times as often, to learn
// what is lost; and they seem silent. One notices unanswered orders in bunches without any
// fault of an endpoint.
type Pace struct {
	least, most time.Duration

	mu    sync.Mutex
	way   int // calls on their way,
	sent  int // of which so many have got to the link
	mean  time.Duration
	dev   time.Duration
	crowd crowd
	miss  float64   // part of the last calls that timed out
	last  time.Time // when a call was last answered
	row   int       // calls sent since that timed out
	back  float64   // factor of the time-out
}

// crowd is how the time of calls follows from how many were on their way, as running moments.
type crowd struct {
	n       float64       // mean number
	took    time.Duration // mean time
	vary    float64       // variance of the number
	covary  float64       // covariance with the time in nanoseconds
	samples int
}

func (c *crowd) note(n int, took time.Duration) {
	c.samples++
	gain := max(crowdGain, 1/float64(c.samples))
	dn, dt := float64(n)-c.n, float64(took-c.took)
	c.n += gain * dn
	c.took += time.Duration(gain * dt)
	c.vary += gain * ((1-gain)*dn*dn - c.vary)
	c.covary += gain * ((1-gain)*dn*dt - c.covary)
}

// each is how much longer a call takes for each one more that is on its way.
func (c *crowd) each() time.Duration {
	if c.vary <= 0 || c.covary <= 0 {
		return 0
	}
	return min(time.Duration(c.covary/c.vary), c.took)
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

// Begin counts calls that are sent together as on their way and returns how long each of them may take. A Send and
// an End for each must follow.
//
// What goes wrong if each is counted as it is sent: the calls of one job go out in any order, so one
// that was counted early and waits for the link behind the others has the time of an early place. It
// is taken for lost though it is on its way. One notices orders without an answer on narrow links.
func (p *Pace) Begin(calls int) (timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way += calls
	return p.timeout(p.way)
}

// Send takes in that a call gets to the link now, and returns its place there, the first of which is 1.
//
// What goes wrong if calls have places in the order in which they are counted: those of one job get to the link in
// any order, so a late place seems to cost no time. The first large job's calls are taken for lost.
func (p *Pace) Send() (place int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	return p.sent
}

// End takes in that a call is not on its way any more.
func (p *Pace) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way--
	p.sent--
}

// Note takes in when a call was answered, how long that took, and which place it had.
func (p *Pace) Note(now time.Time, took time.Duration, place int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.row = now, 0
	p.miss -= gain * p.miss
	p.back = max(1, p.back*backDown)
	if p.crowd.samples == 0 {
		p.mean, p.dev = took, took/2
	}
	p.crowd.note(place, took)
	d := took - p.expect(place)
	p.mean += time.Duration(gain * float64(took-p.mean))
	p.dev += time.Duration(devGain * (max(float64(d), -float64(d)) - float64(p.dev)))
}

// Usual is how long calls have taken lately, whatever was on its way.
func (p *Pace) Usual() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crowd.took
}

// Expect is how long the last of so many calls takes if they are sent now.
func (p *Pace) Expect(calls int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expect(p.way + calls)
}

// expect is how long a call takes with so many on their way. Fewer than usual do not shorten it:
// a time-out that is too short costs more than one that is too long.
func (p *Pace) expect(way int) time.Duration {
	return p.mean + time.Duration(max(0, float64(way)-p.crowd.n)*float64(p.crowd.each()))
}

// Timeout is how long the next call may take. A fixed one fails in one of two ways: long,
// it holds up work whose order was lost; short, a VM that is slow for a moment takes all
// its orders for lost, repeats them, and stays slow.
func (p *Pace) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeout(p.way + 1)
}

func (p *Pace) timeout(way int) time.Duration {
	usual := p.expect(way)
	t := max(p.least, times*usual, usual+devs*p.dev)
	if p.crowd.samples < sure {
		t = max(t, first*time.Duration(max(1, way/firstWay)))
	}
	return min(p.most, time.Duration(p.back*float64(t)))
}
