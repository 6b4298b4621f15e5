// Package learn estimates the run times of tasks from earlier runs, since declared
// run times are often far off.
package learn

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanGain is the weight of a new sample in the moving average.
	meanGain = 0.05
	// minSamples is the number of samples with equal weights before meanGain applies.
	minSamples = 20
	// maxKinds bounds the kinds that one VM tracks; further kinds share one entry, so
	// that callers who invent kinds can't exhaust memory.
	maxKinds = 4096
	// defaultMean is the mean without samples or a declaration.
	defaultMean = 250 * time.Millisecond
	// maxPrior caps a declared run time until there are enough samples.
	maxPrior = 10 * time.Second
)

// Key identifies a kind of task of one tenant.
type Key struct{ Tenant, Kind string }

// Estimator holds the estimates for all kinds of tasks; lookups take no global lock.
type Estimator struct {
	entries  sync.Map // Key to *entry
	count    atomic.Int64
	overflow entry
}

type entry struct {
	mu      sync.Mutex
	samples int
	mean    atomic.Uint64 // float64 bits, seconds
	high    atomic.Uint64 // float64 bits, an estimate of the 95th percentile
}

// Estimate is the expected run time of a task.
type Estimate struct {
	Mean time.Duration
	High time.Duration // about one task in twenty runs longer
}

func (est *Estimator) entry(k Key, add bool) *entry {
	if e, ok := est.entries.Load(k); ok {
		return e.(*entry)
	}
	if !add {
		return nil
	}
	if est.count.Load() >= maxKinds {
		return &est.overflow
	}
	e, loaded := est.entries.LoadOrStore(k, &entry{})
	if !loaded {
		est.count.Add(1)
	}
	return e.(*entry)
}

// Record adds the run time of one task of a kind.
func (est *Estimator) Record(k Key, ran time.Duration) {
	e := est.entry(k, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples++
	x := ran.Seconds()
	mean := math.Float64frombits(e.mean.Load())
	high := math.Float64frombits(e.high.Load())
	w := max(meanGain, 1/float64(e.samples))
	mean += w * (x - mean)
	if e.samples == 1 {
		high = x
	}
	// Steps up 19 times as large as steps down settle where one sample in twenty is above.
	step := 0.1 * mean
	if x > high {
		high += step * 0.95
	} else {
		high = max(mean, high-step*0.05)
	}
	e.mean.Store(math.Float64bits(mean))
	e.high.Store(math.Float64bits(high))
}

// Expect returns the estimate for a kind; declared counts only until there are minSamples.
func (est *Estimator) Expect(k Key, declared time.Duration) Estimate {
	e := est.entry(k, false)
	prior := defaultMean
	if declared > 0 {
		prior = min(declared, maxPrior)
	}
	if e == nil {
		return Estimate{Mean: prior, High: 2 * prior}
	}
	e.mu.Lock()
	n := e.samples
	e.mu.Unlock()
	mean := time.Duration(math.Float64frombits(e.mean.Load()) * float64(time.Second))
	high := time.Duration(math.Float64frombits(e.high.Load()) * float64(time.Second))
	if n >= minSamples {
		return Estimate{Mean: mean, High: high}
	}
	w := float64(n) / minSamples
	mix := func(seen, assumed time.Duration) time.Duration {
		return time.Duration(w*float64(seen) + (1-w)*float64(assumed))
	}
	return Estimate{Mean: mix(mean, prior), High: mix(high, 2*prior)}
}
