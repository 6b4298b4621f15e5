// Package speed estimates how fast endpoints are, from how long tasks run there and how long they were expected to run
// on a usual endpoint.
//
// Some pools mix endpoints of which one is two and a half times as fast as another. An owner that takes them for equal
// accepts jobs that are late on the slow ones, and takes healthy slow endpoints for faulty: it stops runs there that
// would have ended in time.
package speed

import (
	"math"
	"time"
)

const (
	// MinFactor bounds a factor: a slower endpoint is faulty rather than slow, and package health rates it against its
	// factor. At MinFactor one that turns 6.5 times slower still shows as 2.6 times slower.
	MinFactor = 0.4
	// MaxFactor bounds what a few runs that end early can make of an endpoint.
	MaxFactor = 2.5
	// window is the number of runs over which a factor is averaged. One run time differs from the expected one by a
	// factor of 1.4, so a mean over 30 is off by 4 %, well under MinChange.
	window = 30
	// kindRuns and peerRuns are the numbers of runs that a starting value counts for: the mean of the endpoint's kind, and
	// what another VM measured.
	kindRuns = 4
	peerRuns = 8
	// maxStep bounds the logarithm by which a run may differ from the estimate: of 100 tasks 3 take 7 times as long as
	// the others, and they say nothing about the endpoint.
	maxStep = 0.7
	// MinChange is the relative difference from the usual speed below which an endpoint counts as usual: estimates are
	// off by that much, and placing must not follow noise where all endpoints are alike.
	MinChange = 0.1
	// kindShrink is the number of endpoints that the mean of a kind needs to count half.
	kindShrink = 2
)

// state is what is known of one endpoint.
type state struct {
	kind  string
	log   float64 // logarithm of the speed, against the declared run times
	runs  int
	prior int       // runs that the starting value counts for
	at    time.Time // latest run, or when a peer measured it; zero if neither
	sent  float64   // logarithm of the factor when it was last sent
}

// Tracker holds the estimates of one owner. The caller serializes all calls.
type Tracker struct {
	endpoints map[string]*state
	heard     map[uint32]heard // what other VMs measured, of endpoints that are not here
	mean      float64          // mean of log over all endpoints here with runs of their own
	next      int              // where the next Changes goes on
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{endpoints: map[string]*state{}, heard: map[uint32]heard{}}
}

// Add begins to track an endpoint of a kind. It starts with what a peer measured, or else with the mean of its kind.
func (t *Tracker) Add(id, kind string) (source string) {
	if t.endpoints[id] != nil {
		return "own"
	}
	s := &state{kind: kind}
	if h, ok := t.takeHeard(id); ok {
		s.log, s.prior, s.at, source = h.log+t.mean, peerRuns, h.at, "peer"
	} else {
		s.log, s.prior, source = t.mean+t.kindMean(kind), kindRuns, "kind"
	}
	s.sent = s.log - t.mean
	t.endpoints[id] = s
	return source
}

// Remove stops tracking an endpoint and keeps its estimate like one of a peer: it may come back.
func (t *Tracker) Remove(id string) {
	s := t.endpoints[id]
	if s == nil {
		return
	}
	delete(t.endpoints, id)
	if s.runs+s.prior >= peerRuns {
		t.remember(hash(id), heard{log: s.log - t.mean, at: s.at})
	}
	t.updateMean()
}

// Forget stops tracking an endpoint and drops its estimate.
func (t *Tracker) Forget(id string) {
	delete(t.endpoints, id)
	t.updateMean()
}

// kindMean returns the mean logarithm of the factors of a kind, drawn towards 0 if few of its endpoints are known.
func (t *Tracker) kindMean(kind string) float64 {
	sum, n := 0.0, 0.0
	for _, s := range t.endpoints {
		if s.kind == kind && s.runs >= peerRuns {
			sum += s.log - t.mean
			n++
		}
	}
	return sum / (n + kindShrink)
}

// Record adds a run that took ran where a usual endpoint was expected to take usual.
func (t *Tracker) Record(now time.Time, id string, ran, usual time.Duration) {
	s := t.endpoints[id]
	if s == nil || ran <= 0 || usual <= 0 {
		return
	}
	x := math.Log(usual.Seconds() / ran.Seconds())
	s.runs++
	gain := max(1.0/window, 1/float64(s.prior+s.runs))
	s.log += gain * min(maxStep, max(-maxStep, x-s.log))
	s.log = min(t.mean+math.Log(MaxFactor), max(t.mean+math.Log(MinFactor), s.log))
	s.at = now
	t.updateMean()
}

// updateMean computes the mean of all endpoints with enough runs; endpoints that nobody has used say nothing.
func (t *Tracker) updateMean() {
	sum, n := 0.0, 0
	for _, s := range t.endpoints {
		if s.runs >= peerRuns {
			sum += s.log
			n++
		}
	}
	if n == 0 {
		return
	}
	change := sum/float64(n) - t.mean
	t.mean += change
	for _, s := range t.endpoints {
		if s.runs == 0 { // its factor is known, not its speed against the declared run times
			s.log += change
		}
	}
}

// Factor returns how many times as fast as a usual endpoint one is: 1 if that is unknown or differs by less than
// MinChange.
func (t *Tracker) Factor(id string) float64 {
	s := t.endpoints[id]
	if s == nil {
		return 1
	}
	return factor(s.log - t.mean)
}

// Runs returns the number of runs behind an endpoint's estimate.
func (t *Tracker) Runs(id string) int {
	if s := t.endpoints[id]; s != nil {
		return s.runs
	}
	return 0
}

// factor turns a logarithm into a factor.
func factor(log float64) float64 {
	if math.Abs(log) < math.Log1p(MinChange) {
		return 1
	}
	return min(MaxFactor, max(MinFactor, math.Exp(log)))
}

// Summary describes the estimates of a tracker.
type Summary struct {
	Least, Most float64 // factors; 1 if no endpoint is known
	Known       int     // endpoints with runs of their own
}

// Summary returns the slowest and the fastest factor and how many endpoints are known.
func (t *Tracker) Summary() Summary {
	sum := Summary{Least: 1, Most: 1}
	for id, s := range t.endpoints {
		if s.runs == 0 {
			continue
		}
		f := t.Factor(id)
		sum.Least, sum.Most = min(sum.Least, f), max(sum.Most, f)
		sum.Known++
	}
	return sum
}
