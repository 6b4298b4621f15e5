// Package route picks the VM that a job is sent to, from what the owners of endpoints
// last told of their load.
//
// The load pattern it answers: each owner's pool is small, so that bursts fill one while
// others have room, and what a VM knows of the others is tens of milliseconds old. The
// wait is therefore predicted from cores and core-seconds with what this VM itself has
// sent since, and a pool that refuses is followed by the next best.
package route

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// Tries is how many owners are asked before a caller is refused: each costs a
	// message there and back.
	Tries = 4
	// stale is the age at which an owner's word is no longer believed, at least; staleBy
	// is the same in times that it takes to the next word.
	stale   = 400 * time.Millisecond
	staleBy = 2.5
	// away is what another failure domain costs in time: two messages.
	away = 2 * time.Millisecond
)

// Load is an owner's last word.
type Load struct {
	At    time.Time
	Free  float64       // cores that a job could use
	Total float64       // cores open to work
	Ahead [3]float64    // core-seconds before a job of a rank
	Lag   time.Duration // what an order takes there
	Near  bool          // in this VM's failure domain, or this VM itself
	Next  time.Duration // until the next word
	sent  float64       // cores of jobs sent there since
}

// downFor is how long an owner is left out that could not be reached, though it may
// still be heard: a cut may be one way.
const downFor = 500 * time.Millisecond

// Table of the owners as one VM knows them; the caller serializes all calls.
type Table struct {
	self netip.AddrPort
	all  map[netip.AddrPort]*Load
	down map[netip.AddrPort]time.Time // could not be reached, since when
	lags []time.Duration              // filled anew for each job
}

// New returns an empty table of a VM.
func New(self netip.AddrPort) *Table {
	return &Table{self: self, all: map[netip.AddrPort]*Load{}, down: map[netip.AddrPort]time.Time{}}
}

// Down notes that an owner could not be reached.
func (t *Table) Down(vm netip.AddrPort, now time.Time) { t.down[vm] = now }

// open reports whether a job may be sent to an owner.
func (t *Table) open(vm netip.AddrPort, l *Load, now time.Time) bool {
	at, down := t.down[vm]
	old := max(stale, time.Duration(staleBy*float64(l.Next)))
	return now.Sub(l.At) <= old && (!down || now.Sub(at) > downFor)
}

// Hear takes in an owner's word.
func (t *Table) Hear(vm netip.AddrPort, l Load) {
	if l.Total <= 0 {
		delete(t.all, vm)
		return
	}
	t.all[vm] = &l
}

// Forget drops a VM.
func (t *Table) Forget(vm netip.AddrPort) { delete(t.all, vm) }

// Sent notes a job on its way to an owner.
func (t *Table) Sent(vm netip.AddrPort, cores float64) {
	if l := t.all[vm]; l != nil {
		l.sent += cores
	}
}

// Pick returns the best owner for a job that was not tried yet; invalid if there is none. An order
// takes this VM so long now.
//
// What goes wrong if only the owners' room counts: on a narrow link a job that is handed over waits
// there behind orders, and its answer does so at the owner, 68 ms each way on a calm day, though this
// VM has room for it itself. One notices jobs that are done in time and answered late. Worth of a
// calm day, of one with a loss of all VMs and of one with bursts on links of 2 Mbit/s: 0.872, 0.534,
// 0.660 to 0.886, 0.626, 0.706 (one play each).
func (t *Table) Pick(now time.Time, rank int, cores float64, tried []netip.AddrPort, order time.Duration) (best netip.AddrPort) {
	var low time.Duration
	lag := lagOver * t.lag(now)
	hand := handOver * max(0, order-leastLag)
	for vm, l := range t.all {
		if slices.Contains(tried, vm) || !t.open(vm, l, now) {
			continue
		}
		w := l.wait(rank, cores) + max(0, l.Lag-lag)
		if vm != t.self {
			w += hand
		}
		if !best.IsValid() || w < low || (w == low && vm.Compare(best) < 0) {
			best, low = vm, w
		}
	}
	return best
}

// handOver is how many times what an order takes beyond the usual a job takes that is handed over:
// its way there, and its answer's.
const handOver = 2

// lagOver is how many times what orders take the other owners an order must take one for it to
// count as slow.
//
// What goes wrong without it: an owner whose link or processor has turned slow has endpoints with
// room and can't use them, so it gets ever more jobs. One notices late jobs of one owner. An owner
// of four that can send ten times less: 0.99 instead of 0.91 in aim (eight plays in virtual time).
// To count all differences is worse than none: they pass sooner than they are told, and all jobs go
// to whoever was quickest, 0.72 instead of 0.89 of a calm day's worth on links of 2 Mbit/s.
const lagOver = 3

// lag is what orders take half of the owners at most.
func (t *Table) lag(now time.Time) time.Duration {
	t.lags = t.lags[:0]
	for vm, l := range t.all {
		if t.open(vm, l, now) {
			t.lags = append(t.lags, l.Lag)
		}
	}
	if len(t.lags) == 0 {
		return 0
	}
	slices.Sort(t.lags)
	return max(leastLag, t.lags[(len(t.lags)-1)/2])
}

// leastLag is what an order takes a VM with time and bandwidth to spare.
const leastLag = 5 * time.Millisecond

// mean is the time in which a pool's cores are thought to turn over once.
const mean = 250 * time.Millisecond

// wait predicts a job's wait at an owner. Full pools rank by how much is ahead, pools
// with room by how full they would be, so that load spreads before anything waits.
func (l *Load) wait(rank int, cores float64) time.Duration {
	ahead := l.Ahead[min(rank, len(l.Ahead)-1)]
	lack := max(0, cores+l.sent-l.Free)
	w := time.Duration((ahead/l.Total + lack/l.Total*mean.Seconds()) * float64(time.Second))
	if !l.Near {
		w += away
	}
	used := 1 - (l.Free-l.sent-cores)/l.Total
	return w + time.Duration(used*float64(away))
}

// Known is the number of owners whose word is fresh and that can be reached.
func (t *Table) Known(now time.Time) (n int) {
	for vm, l := range t.all {
		if t.open(vm, l, now) {
			n++
		}
	}
	return n
}
