// Package health rates endpoints by how tasks end on them, compared with how the
// same kinds of tasks end elsewhere.
//
// An endpoint that fails every task answers fastest, so it is free most often and
// attracts the most work: many failed jobs share one endpoint. The Tracker reduces an
// endpoint's slots with each failure that the kind of task doesn't explain, and
// ejects it after a few.
package health

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// End says how an attempt ended.
type End uint8

// The ends of an attempt that affect health.
const (
	OK          End = iota
	Bad             // the task ran and failed
	Unreachable     // nothing could be sent
	Silent          // sent, but not answered
	Going           // still running; Ran is its expected total run time
)

var endNames = [...]string{"ok", "bad", "unreachable", "silent", "going"}

func (e End) String() string { return endNames[e] }

const (
	// ejectStrikes is the strike count that ejects an endpoint; successes halve it.
	ejectStrikes = 2.2
	// failureGain is the weight of a new sample in a kind's failure rate.
	failureGain = 0.3
	// firstEjection is the first ejection time; it doubles with each failed trial.
	firstEjection = 10 * time.Second
	maxEjection   = 10 * time.Minute
	// firstRedial is the first delay after a failed connection; it doubles with each further one.
	firstRedial = 250 * time.Millisecond
	maxRedial   = 5 * time.Second
	// stragglerLog is the log of the slowdown against the average endpoint above which an
	// endpoint counts as a straggler (e^1.2, 3.3 times).
	stragglerLog = 1.2
	// ejectFraction is the fraction of the endpoints that may be ejected at once.
	ejectFraction = 1.0 / 3
)

// The weights of a new sample in the average of an endpoint's log run time.
const (
	// NoisyGain is for run times of which one in twenty is ten times the expected one.
	NoisyGain = 0.1
	// SteadyGain is for run times within a factor of two of the expected one: four runs
	// detect a straggler instead of fifteen.
	SteadyGain = 0.3
)

// Report is one ended attempt.
type Report struct {
	Addr     netip.AddrPort
	Kind     string // tenant and kind of the task
	End      End
	Ran      time.Duration
	Expected time.Duration
}

// Tracker tracks the health of the endpoints that one VM sends to.
type Tracker struct {
	mu              sync.Mutex
	endpoints       map[netip.AddrPort]*state
	kinds           map[string]*kind
	gain            float64
	meanLogSlowness float64 // average log of run time over expected run time, all endpoints
	streak          int     // see RequireStreak; 0 for none
}

// kind holds what is known about a kind of task of one tenant.
type kind struct {
	failureRate float64 // recent failure rate
	succeeded   bool    // it succeeded on some endpoint
}

type state struct {
	slots       int
	strikes     float64 // weighted recent failures
	ejected     bool
	unreachable bool
	retryAt     time.Time     // when one trial task may start while ejected or unreachable
	backoff     time.Duration // the latest time until retryAt
	logSlowness float64       // average log of run time over expected run time
	samples     int           // run times in logSlowness
	recent      []float64     // the latest streak logs of run time over expected run time
}

// maxKinds bounds the memory that invented kinds can take.
const maxKinds = 4096

// New returns an empty tracker; gain is NoisyGain or SteadyGain.
func New(gain float64) *Tracker {
	return &Tracker{gain: gain, endpoints: map[netip.AddrPort]*state{}, kinds: map[string]*kind{}}
}

// RequireStreak makes an endpoint count as slow only if each of its latest n runs shows it, instead of their
// average: where single tasks take many times as long as others, two of them make an average endpoint look slow.
func (t *Tracker) RequireStreak(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streak = n
}

// SetEndpoints replaces the set of endpoints and their slots; known endpoints keep their health.
func (t *Tracker) SetEndpoints(slots map[netip.AddrPort]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.endpoints {
		if _, ok := slots[a]; !ok {
			delete(t.endpoints, a)
		}
	}
	for a, n := range slots {
		if t.endpoints[a] == nil {
			t.endpoints[a] = &state{}
		}
		t.endpoints[a].slots = n
	}
}

// Record applies a report and returns the slots that may now be used on the endpoint.
func (t *Tracker) Record(now time.Time, r Report) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[r.Addr]
	if s == nil {
		return 0
	}
	switch r.End {
	case OK:
		t.recordOK(s, r)
		t.recordSpeed(s, r)
	case Going:
		t.recordSpeed(s, r)
	case Bad:
		t.recordFailure(now, s, r)
	case Unreachable:
		s.unreachable = true
		s.backoff = min(maxRedial, max(firstRedial, 2*s.backoff))
		s.retryAt = now.Add(s.backoff)
	case Silent:
		s.strikes += 0.5 // only half, since a long run that timed out looks the same
		t.maybeEject(now, s)
	}
	return t.limit(now, s)
}

func (t *Tracker) recordOK(s *state, r Report) {
	t.recordKind(r.Kind, 0)
	if s.ejected || s.unreachable {
		s.ejected, s.unreachable, s.backoff = false, false, 0
		s.strikes = 1 // readmit gradually: half of the slots first
	} else {
		s.strikes *= 0.5
	}
}

// recordSpeed adds a run time to the endpoint's average.
func (t *Tracker) recordSpeed(s *state, r Report) {
	if r.Ran <= 0 || r.Expected <= 0 {
		return
	}
	x := math.Log(r.Ran.Seconds() / r.Expected.Seconds())
	s.samples++
	if t.streak > 0 {
		s.recent = append(s.recent, x)
		s.recent = s.recent[max(0, len(s.recent)-t.streak):]
	}
	s.logSlowness += max(t.gain, 1/float64(s.samples)) * (x - s.logSlowness)
	t.meanLogSlowness += 0.01 * (x - t.meanLogSlowness)
}

// recordFailure weights a failure by how rarely its kind fails in general, and ignores
// it before the kind has succeeded once: one tenant whose requests all fail must not
// eject endpoints.
func (t *Tracker) recordFailure(now time.Time, s *state, r Report) {
	if k := t.kinds[r.Kind]; k != nil && k.succeeded {
		s.strikes += 1 - k.failureRate
	}
	t.recordKind(r.Kind, 1)
	t.maybeEject(now, s)
}

func (t *Tracker) maybeEject(now time.Time, s *state) {
	if s.strikes < ejectStrikes || (!s.ejected && t.ejectedCount()+1 > t.maxEjected()) {
		return
	}
	s.ejected = true
	s.backoff = min(maxEjection, max(firstEjection, 2*s.backoff))
	s.retryAt = now.Add(s.backoff)
}

func (t *Tracker) recordKind(name string, x float64) {
	k := t.kinds[name]
	if k == nil {
		if len(t.kinds) >= maxKinds {
			clear(t.kinds)
		}
		k = &kind{}
		t.kinds[name] = k
	}
	k.failureRate += failureGain * (x - k.failureRate)
	k.succeeded = k.succeeded || x == 0
}

// Reached records that an unreachable endpoint answered a probe. That says nothing
// about how tasks end there, so an ejected endpoint stays ejected.
func (t *Tracker) Reached(a netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints[a]; s != nil && s.unreachable {
		s.unreachable = false
		if !s.ejected {
			s.backoff = 0
		}
	}
}

// Limit returns the slots that may now be used on an endpoint.
func (t *Tracker) Limit(now time.Time, a netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[a]
	if s == nil {
		return 0
	}
	return t.limit(now, s)
}

// OnTrial reports whether an endpoint is ejected or unreachable, so that Limit allows one trial task at most.
func (t *Tracker) OnTrial(a netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[a]
	return s != nil && (s.ejected || s.unreachable)
}

// RetryAt returns when the next trial task may start on an endpoint; zero if it is neither ejected nor unreachable.
func (t *Tracker) RetryAt(a netip.AddrPort) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints[a]; s != nil && (s.ejected || s.unreachable) {
		return s.retryAt
	}
	return time.Time{}
}

func (t *Tracker) limit(now time.Time, s *state) int {
	switch {
	case s.ejected || s.unreachable:
		if now.Before(s.retryAt) {
			return 0
		}
		return 1 // one trial task at a time
	case t.slowness(s) > stragglerLog:
		return max(1, s.slots/8)
	default:
		return max(1, s.slots>>min(3, int(math.Ceil(s.strikes-0.25))))
	}
}

// slowness returns the logarithm of an endpoint's slowdown against the average one, 0 if too few runs show any.
func (t *Tracker) slowness(s *state) float64 {
	switch {
	case t.streak == 0 && s.samples >= t.minSamples():
		return s.logSlowness - t.meanLogSlowness
	case t.streak > 0 && len(s.recent) >= t.streak:
		return max(0, slices.Min(s.recent)-t.meanLogSlowness)
	default:
		return 0
	}
}

// minSamples returns how many samples a valid speed needs: twice the inverse of the gain.
func (t *Tracker) minSamples() int { return int(2 / t.gain) }

// Slowness returns the endpoint's run time in percent of the average.
func (t *Tracker) Slowness(a netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[a]
	if s == nil {
		return 100
	}
	return int(100 * min(20, max(0.5, math.Exp(t.slowness(s)))))
}

// Ejected lists the ejected endpoints, for peers and operators.
func (t *Tracker) Ejected() (list []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, s := range t.endpoints {
		if s.ejected {
			list = append(list, a)
		}
	}
	return list
}

// ApplyVerdict applies a peer's verdict that an endpoint fails its tasks.
func (t *Tracker) ApplyVerdict(now time.Time, a netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[a]
	if s == nil || s.ejected {
		return
	}
	s.strikes = max(s.strikes, ejectStrikes)
	t.maybeEject(now, s)
}

func (t *Tracker) ejectedCount() (n int) {
	for _, s := range t.endpoints {
		if s.ejected {
			n++
		}
	}
	return n
}

func (t *Tracker) maxEjected() int {
	return max(1, int(math.Ceil(ejectFraction*float64(len(t.endpoints)))))
}
