// Package learn estimates how long tasks run from how long they ran, since what
// jobs declare is often far off.
package learn

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gain is the weight of a new sample in the running mean.
	gain = 0.05
	// fresh is how many samples are averaged plainly before gain applies.
	fresh = 20
	// most kinds are followed by one VM; later ones share one entry, so that
	// callers who invent kinds can't fill the memory.
	most = 4096
	// guess is the mean before anything is known and nothing was declared.
	guess = 250 * time.Millisecond
	// doubt bounds how far a declaration is believed before samples come in.
	doubt = 10 * time.Second
)

// Key names a kind of task of one tenant.
type Key struct{ Tenant, Kind string }

// Book holds the estimates of all kinds; reads take no lock.
type Book struct {
	all  sync.Map // Key to *entry
	size atomic.Int64
	rest entry
}

type entry struct {
	mu   sync.Mutex
	n    int
	mean atomic.Uint64 // float64 bits, seconds
	high atomic.Uint64 // float64 bits, an estimate of the 95th percentile
}

// Estimate is what to expect of one task.
type Estimate struct {
	Mean time.Duration
	High time.Duration // about one in twenty runs longer
}

func (b *Book) entry(k Key, add bool) *entry {
	if e, ok := b.all.Load(k); ok {
		return e.(*entry)
	}
	if !add {
		return nil
	}
	if b.size.Load() >= most {
		return &b.rest
	}
	e, had := b.all.LoadOrStore(k, &entry{})
	if !had {
		b.size.Add(1)
	}
	return e.(*entry)
}

// Note records how long a task of the kind ran.
func (b *Book) Note(k Key, ran time.Duration) {
	e := b.entry(k, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.n++
	x := ran.Seconds()
	mean := math.Float64frombits(e.mean.Load())
	high := math.Float64frombits(e.high.Load())
	w := max(gain, 1/float64(e.n))
	mean += w * (x - mean)
	if e.n == 1 {
		high = x
	}
	// A step up of 19 to one down settles where one sample in twenty is above.
	step := 0.1 * mean
	if x > high {
		high += step * 0.95
	} else {
		high = max(mean, high-step*0.05)
	}
	e.mean.Store(math.Float64bits(mean))
	e.high.Store(math.Float64bits(high))
}

// Expect returns the estimate for a kind; declared counts only until enough was seen.
func (b *Book) Expect(k Key, declared time.Duration) Estimate {
	e := b.entry(k, false)
	prior := guess
	if declared > 0 {
		prior = min(declared, doubt)
	}
	if e == nil {
		return Estimate{Mean: prior, High: 2 * prior}
	}
	e.mu.Lock()
	n := e.n
	e.mu.Unlock()
	mean := time.Duration(math.Float64frombits(e.mean.Load()) * float64(time.Second))
	high := time.Duration(math.Float64frombits(e.high.Load()) * float64(time.Second))
	if n >= fresh {
		return Estimate{Mean: mean, High: high}
	}
	w := float64(n) / fresh
	mix := func(seen, told time.Duration) time.Duration {
		return time.Duration(w*float64(seen) + (1-w)*float64(told))
	}
	return Estimate{Mean: mix(mean, prior), High: mix(high, 2*prior)}
}
