package fakes

import (
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/task/place"
)

// Reply is the endpoint's answer to a task.
type Reply uint8

// Replies of an endpoint.
const (
	Good    Reply = iota // it ran
	Broken               // it ran and failed
	Full                 // not started: no slot is free
	Leaves               // not started: the endpoint is leaving
	Malform              // not started: the body is not a task
)

// Endpoint is a fake endpoint.
type Endpoint struct {
	place.Info
	witness Witness

	mu          sync.Mutex
	busy        int
	dead        chan struct{}
	failAll     atomic.Bool
	slowPercent atomic.Int64 // run times are multiplied by this percentage
	leaving     atomic.Bool
	starts      atomic.Int64
	runTime     atomic.Int64 // total run time
	lastStart   atomic.Int64
}

// NewEndpoint returns an idle endpoint.
func NewEndpoint(in place.Info, w Witness) *Endpoint {
	e := &Endpoint{Info: in, witness: w, dead: make(chan struct{})}
	e.slowPercent.Store(100)
	return e
}

// Serve runs one task; died is closed if the endpoint dies during the run.
func (e *Endpoint) Serve(body []byte) (r Reply, result []byte, died <-chan struct{}) {
	var t Task
	if json.Unmarshal(body, &t) != nil || t.Job == "" {
		return Malform, nil, nil
	}
	if e.leaving.Load() {
		return Leaves, nil, nil
	}
	e.mu.Lock()
	if e.busy >= e.Slots {
		e.mu.Unlock()
		return Full, nil, nil
	}
	e.busy++
	dead := e.dead
	e.mu.Unlock()
	e.starts.Add(1)
	e.lastStart.Store(time.Now().UnixNano())
	e.witness.Started(t.Job, t.Task)
	run := t.Run.Std() * time.Duration(e.slowPercent.Load()) / 100
	if e.failAll.Load() {
		run = time.Millisecond
	}
	e.runTime.Add(int64(run))
	select {
	case <-dead:
		return Broken, nil, dead
	case <-time.After(run):
	}
	e.mu.Lock()
	e.busy--
	e.mu.Unlock()
	if t.Fail || e.failAll.Load() {
		return Broken, nil, nil
	}
	result, err := json.Marshal(Done{Job: t.Job, Task: t.Task})
	if err != nil {
		return Broken, nil, nil
	}
	return Good, result, nil
}

// FailAll makes every task that starts fail at once.
func (e *Endpoint) FailAll(on bool) { e.failAll.Store(on) }

// Slow multiplies run times by a percentage.
func (e *Endpoint) Slow(percent int64) { e.slowPercent.Store(percent) }

// Leave makes the endpoint refuse new tasks and announce that it leaves.
func (e *Endpoint) Leave() { e.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Die ends the endpoint and interrupts its tasks.
func (e *Endpoint) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.dead:
	default:
		close(e.dead)
	}
}

// Dead reports whether the endpoint died.
func (e *Endpoint) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
}

// Revive replaces a dead endpoint by an idle one at the same address.
func (e *Endpoint) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.busy = make(chan struct{}), 0
}

// Starts returns how many tasks have started.
func (e *Endpoint) Starts() int64 { return e.starts.Load() }

// LastStart returns when the last task started.
func (e *Endpoint) LastStart() time.Time { return time.Unix(0, e.lastStart.Load()) }

// Worked returns the total run time of all started tasks.
func (e *Endpoint) Worked() time.Duration { return time.Duration(e.runTime.Load()) }

// Addrs returns n loopback addresses for fakes.
func Addrs(block byte, n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, block, byte(i / 250), byte(i%250 + 1)}), 7000)
	}
	return list
}
