// Package route picks the VM that a job is sent to, from the latest load reports of the
// owners of endpoints.
//
// Each owner's pool is small, so bursts fill one while others have free cores, and load
// reports are tens of milliseconds old. The wait is therefore predicted from cores and
// core-seconds, including the jobs this VM has sent since the report. If a pool refuses a
// job, the next best is tried.
package route

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxTries is how many owners are tried before a caller is refused: each costs a
	// round trip.
	MaxTries = 4
	// A load report expires at the age of staleFactor times the report interval, but
	// not before minStale.
	minStale    = 400 * time.Millisecond
	staleFactor = 2.5
	// domainCost is the extra latency of another failure domain: two messages.
	domainCost = 2 * time.Millisecond
)

// Load is an owner's latest load report.
type Load struct {
	At           time.Time
	Free         float64       // cores free for jobs
	Total        float64       // cores usable for jobs
	Ahead        [3]float64    // core-seconds queued before a new job, by its rank
	OrderLatency time.Duration // latency of an order sent by that owner
	Near         bool          // in this VM's failure domain, or this VM itself
	NextReport   time.Duration // time until the next report
	sent         float64       // cores of jobs sent there since the report
}

// unreachableFor is how long an unreachable owner is skipped, even if its reports still
// arrive: a network cut may affect one direction only.
const unreachableFor = 500 * time.Millisecond

// Table holds the owners' loads as one VM knows them; the caller serializes all calls.
type Table struct {
	self        netip.AddrPort
	all         map[netip.AddrPort]*Load
	unreachable map[netip.AddrPort]time.Time // time of the last failure to reach an owner
	latencies   []time.Duration              // scratch space of medianLatency
	gaps        float64                      // fraction of a full pool in gaps smaller than a task
}

// New returns an empty table for the VM at address self.
func New(self netip.AddrPort) *Table {
	return &Table{self: self, all: map[netip.AddrPort]*Load{}, unreachable: map[netip.AddrPort]time.Time{}, gaps: initialGaps}
}

// MarkUnreachable records that an owner could not be reached.
func (t *Table) MarkUnreachable(vm netip.AddrPort, now time.Time) { t.unreachable[vm] = now }

// usable reports whether a job may be sent to an owner.
func (t *Table) usable(vm netip.AddrPort, l *Load, now time.Time) bool {
	at, unreachable := t.unreachable[vm]
	maxAge := max(minStale, time.Duration(staleFactor*float64(l.NextReport)))
	return now.Sub(l.At) <= maxAge && (!unreachable || now.Sub(at) > unreachableFor)
}

// Update applies an owner's load report; an owner without cores is removed.
func (t *Table) Update(vm netip.AddrPort, l Load) {
	if l.Total <= 0 {
		delete(t.all, vm)
		return
	}
	t.noteGaps(&l)
	t.all[vm] = &l
}

// Forget removes a VM.
func (t *Table) Forget(vm netip.AddrPort) { delete(t.all, vm) }

// RecordSent counts the cores of a job sent to an owner.
func (t *Table) RecordSent(vm netip.AddrPort, cores float64) {
	if l := t.all[vm]; l != nil {
		l.sent += cores
	}
}

// Pick returns the best owner for a job that is not in tried, or an invalid address if there is none.
// orderLatency is the current latency of orders sent by this VM.
//
// If only the owners' load counted, a job handed off over a narrow link would wait there behind orders,
// and so would its answer at the owner, 68 ms each way on a calm day, even if this VM could run it
// itself: jobs are done in time and answered late. Counting the handoff raised the score on links of
// 2 Mbit/s from 0.872 to 0.886 for a calm day, from 0.534 to 0.626 with a loss of all VMs, and from
// 0.660 to 0.706 with bursts (one simulation each).
func (t *Table) Pick(now time.Time, rank int, cores float64, tried []netip.AddrPort, orderLatency time.Duration) (best netip.AddrPort) {
	var lowest time.Duration
	allowed := latencyFactor * t.medianLatency(now)
	handoffCost := handoffFactor * max(0, orderLatency-minLatency)
	for vm, l := range t.all {
		if slices.Contains(tried, vm) || !t.usable(vm, l, now) {
			continue
		}
		w := l.wait(rank, cores) + max(0, l.OrderLatency-allowed)
		if vm != t.self {
			w += handoffCost
		}
		if !best.IsValid() || w < lowest || (w == lowest && vm.Compare(best) < 0) {
			best, lowest = vm, w
		}
	}
	return best
}

// handoffFactor is how many times a handed-off job pays for the excess order latency: once on its way
// to the owner and once for its answer.
const handoffFactor = 2

// latencyFactor is the multiple of the median order latency above which an owner's latency counts.
//
// An owner with a slow link or processor can't use its free endpoints, so it would attract ever more
// jobs, and they would be late. With one owner of four that can send ten times less, 0.99 of the jobs
// meet their objective instead of 0.91 (eight simulations in virtual time). Counting all differences
// is worse than counting none: they pass sooner than they are reported, and all jobs go to the owner
// that was fastest, which scores 0.72 instead of 0.89 for a calm day on links of 2 Mbit/s.
const latencyFactor = 3

// medianLatency returns the median order latency of the usable owners, at least minLatency, or 0 if
// there are none.
func (t *Table) medianLatency(now time.Time) time.Duration {
	t.latencies = t.latencies[:0]
	for vm, l := range t.all {
		if t.usable(vm, l, now) {
			t.latencies = append(t.latencies, l.OrderLatency)
		}
	}
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return max(minLatency, t.latencies[(len(t.latencies)-1)/2])
}

// minLatency is the latency of an order of a VM with spare processor time and bandwidth.
const minLatency = 5 * time.Millisecond

// turnover is the assumed time in which all of a pool's cores come free once.
const turnover = 250 * time.Millisecond

// wait predicts a job's wait at an owner. Full pools rank by the work queued ahead, others
// by how full they would be, so that load spreads before anything waits.
func (l *Load) wait(rank int, cores float64) time.Duration {
	ahead := l.Ahead[min(rank, len(l.Ahead)-1)]
	shortage := max(0, cores+l.sent-l.Free)
	w := time.Duration((ahead/l.Total + shortage/l.Total*turnover.Seconds()) * float64(time.Second))
	if !l.Near {
		w += domainCost
	}
	used := 1 - (l.Free-l.sent-cores)/l.Total
	return w + time.Duration(used*float64(domainCost))
}

// Known returns the number of reachable owners with a current load report.
func (t *Table) Known(now time.Time) (n int) {
	for vm, l := range t.all {
		if t.usable(vm, l, now) {
			n++
		}
	}
	return n
}
