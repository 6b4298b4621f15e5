// Package pace derives call time-outs from measured response times.
package pace

import (
	"sync"
	"time"
)

const (
	// meanGain and devGain are the weights of a new sample in the mean and the deviation,
	// the same as in TCP's retransmission timer.
	meanGain = 1.0 / 8
	devGain  = 1.0 / 4
	// devFactor is how many deviations above its expected time a call may take.
	devFactor = 6
	// expectFactor is the least time-out as a multiple of the expected time: on a narrow link a
	// call also waits behind the VM's other traffic, which is not counted here.
	expectFactor = 5
	// loadGain is the weight of a new sample in the load model: it reflects about the last ten
	// jobs of a few tasks.
	loadGain = 1.0 / 32
	// initialTimeout is the least time-out until warmupSamples calls were answered, which takes a
	// few jobs of several tasks: sixteen calls of 600 bytes take 80 ms on a link of 1 Mbit/s.
	initialTimeout = 200 * time.Millisecond
	warmupSamples  = 32
	// initialCalls is how many calls in flight initialTimeout covers; with more it grows in proportion.
	initialCalls = 16
	// missThreshold is the share of recent calls that must have timed out before the time-out
	// grows: a few are lost for other reasons, many mean that it is too short.
	missThreshold = 0.35
	// minStreak is how many calls sent after the last answer must also have timed out in a
	// row: while one call in two is lost, the time-out then grows slower than it shrinks.
	minStreak = 4
	// maxBackoff bounds the factor by which the time-out grows. The factor is multiplied by
	// backoffGrowth after time-outs and by backoffDecay after each answer.
	maxBackoff    = 8
	backoffGrowth = 1.5
	backoffDecay  = 0.95
)

// Estimator keeps a running mean and deviation of call times, depending on the calls in flight.
//
// One estimate for any load fails on a narrow link: calls queue there, and the eighth call of a
// job takes eight times as long as a lone one. It is taken for lost and sent again on a new
// connection, which fills the link; the VM probes its endpoints five times as often, and they
// seem silent. The symptom is bursts of unanswered calls without any fault of an endpoint.
type Estimator struct {
	minTimeout, maxTimeout time.Duration

	mu         sync.Mutex
	inFlight   int // calls begun and not ended
	sent       int // those of them that were sent
	mean       time.Duration
	dev        time.Duration
	load       loadModel
	missRate   float64   // share of recent calls that timed out
	lastAnswer time.Time // time of the last answer
	streak     int       // time-outs of calls sent since lastAnswer
	backoff    float64   // factor applied to the time-out
}

// loadModel is a running linear regression of call time on the number of calls in flight.
type loadModel struct {
	meanLoad   float64       // mean calls in flight
	meanTime   time.Duration // mean call time
	variance   float64       // of the calls in flight
	covariance float64       // of calls in flight and time in nanoseconds
	samples    int
}

func (c *loadModel) observe(n int, took time.Duration) {
	c.samples++
	gain := max(loadGain, 1/float64(c.samples))
	dn, dt := float64(n)-c.meanLoad, float64(took-c.meanTime)
	c.meanLoad += gain * dn
	c.meanTime += time.Duration(gain * dt)
	c.variance += gain * ((1-gain)*dn*dn - c.variance)
	c.covariance += gain * ((1-gain)*dn*dt - c.covariance)
}

// perCall returns how much longer a call takes for each additional call in flight.
func (c *loadModel) perCall() time.Duration {
	if c.variance <= 0 || c.covariance <= 0 {
		return 0
	}
	return min(time.Duration(c.covariance/c.variance), c.meanTime)
}

// New returns an estimator whose time-outs stay between two bounds.
func New(minTimeout, maxTimeout time.Duration) *Estimator {
	return &Estimator{minTimeout: minTimeout, maxTimeout: maxTimeout, backoff: 1}
}

// RecordTimeout records that a call sent at the given time timed out. If another call was
// answered since, the VM and its links are fast and this call is lost: a longer time-out
// would only delay noticing the next loss.
func (p *Estimator) RecordTimeout(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missRate += meanGain * (1 - p.missRate)
	if p.lastAnswer.After(sent) {
		return
	}
	if p.streak++; p.missRate > missThreshold && p.streak >= minStreak {
		p.backoff = min(maxBackoff, p.backoff*backoffGrowth)
	}
}

// RecordAnswer records an answer to a call whose duration is not comparable with the others.
func (p *Estimator) RecordAnswer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer, p.streak = now, 0
}

// Begin counts calls that are sent together as in flight and returns the time-out of each. A Send and
// an End for each must follow.
//
// Counting each call as it is sent fails: the calls of one job go out in any order, so a call counted
// early that waits for the link behind the others has the short time-out of an early place. It is taken
// for lost while in flight, and narrow links show unanswered calls.
func (p *Estimator) Begin(calls int) (timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight += calls
	return p.timeout(p.inFlight)
}

// Send records that a call is written to the link now, and returns its place there, counted from 1.
//
// Places in the order of Begin fail: the calls of one job reach the link in any order, so a late place
// seems to cost no time, and the calls of the first large job are taken for lost.
func (p *Estimator) Send() (place int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	return p.sent
}

// End records that a call is no longer in flight.
func (p *Estimator) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.sent--
}

// Observe records when a call was answered, how long it took, and its place from Send.
func (p *Estimator) Observe(now time.Time, took time.Duration, place int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer, p.streak = now, 0
	p.missRate -= meanGain * p.missRate
	p.backoff = max(1, p.backoff*backoffDecay)
	if p.load.samples == 0 {
		p.mean, p.dev = took, took/2
	}
	p.load.observe(place, took)
	d := took - p.expect(place)
	p.mean += time.Duration(meanGain * float64(took-p.mean))
	p.dev += time.Duration(devGain * (max(float64(d), -float64(d)) - float64(p.dev)))
}

// MeanTime returns the recent mean call time, whatever the load.
func (p *Estimator) MeanTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load.meanTime
}

// Expect returns the expected time of the last of the given calls if they are sent now.
func (p *Estimator) Expect(calls int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expect(p.inFlight + calls)
}

// expect returns the expected time of a call with inFlight calls in flight. Fewer than the mean do
// not shorten it: a time-out that is too short costs more than one that is too long.
func (p *Estimator) expect(inFlight int) time.Duration {
	return p.mean + time.Duration(max(0, float64(inFlight)-p.load.meanLoad)*float64(p.load.perCall()))
}

// Timeout returns the time-out of the next call. A fixed one fails in one of two ways: a long
// one delays work whose call was lost; with a short one, a VM that is slow for a moment takes
// all its calls for lost, repeats them, and stays slow.
func (p *Estimator) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeout(p.inFlight + 1)
}

func (p *Estimator) timeout(inFlight int) time.Duration {
	expected := p.expect(inFlight)
	t := max(p.minTimeout, expectFactor*expected, expected+devFactor*p.dev)
	if p.load.samples < warmupSamples {
		t = max(t, initialTimeout*time.Duration(max(1, inFlight/initialCalls)))
	}
	return min(p.maxTimeout, time.Duration(p.backoff*float64(t)))
}
