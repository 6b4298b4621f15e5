package lease

import "time"

// Limits holds timing limits of endpoints and callers, from settings.
//
// A run may go on for Outlive after the last keepalive from the VM that answers the job's caller. The time counts from
// when the keepalive was sent, so that late or lost messages don't extend it. These bounds hold:
//
//	Expiry + the time for a stop   <= Outlive      the run is stopped, and its end is listed
//	Fresh + Lease, on a slow clock <= Outlive      or its endpoint's lease expires
//	Outlive + clocks + Notice      <= Resend       before the caller may submit the job again
//
// The end of a lease is asked for on the clock of the process that the endpoint's owner knows, and that process grants no
// more. Another one that has started since under the same ID reads it on a clock of its own and may grant Hold, counted
// from when the order arrives. So for a run that may be in such a process, and its job:
//
//	arrival + Longest  <= its end       it is over
//	sent + Lead        <= EndBy         an order may be sent that starts it or extends its lease
type Limits struct {
	Hold time.Duration // longest lease that an endpoint grants
	Stop time.Duration // longest duration of a stop
	// Resend is the earliest time after which a caller resubmits a job with unknown outcome;
	// 0 if callers never do.
	Resend time.Duration
	// Notice is the longest time until the end of a caller's connection is noticed.
	Notice time.Duration
}

// StopsPerResend is the minimum ratio of Resend to Stop.
const StopsPerResend = 5

const (
	// leaseFraction is the fraction of Hold that is requested: a renewal takes a few
	// milliseconds, and a shorter lease makes delayed orders expire sooner.
	leaseFraction = 0.9
	// clockDrift bounds how much slower an endpoint's clock may run.
	clockDrift = 0.02
	// expiryGrace is added before a lease counts as expired, since timers fire late.
	expiryGrace = 30 * time.Millisecond
	// callerDrift bounds how much slower than a caller's clock a VM's may run.
	callerDrift = 0.01
	// transit bounds how long an order is under way; one that takes longer counts as late.
	transit = 25 * time.Millisecond
	// sendDelay is how long after the choice of an endpoint a start may be sent.
	sendDelay = 10 * time.Millisecond
	// minStartAge is the minimum age of a keepalive at which a run must be able to start, so that the keepalives of other
	// VMs are of use.
	minStartAge = 50 * time.Millisecond
	// unbounded stands for no limit.
	unbounded = 24 * time.Hour
	// freshFraction of Outlive is the maximum keepalive age for a start; the rest is for the lease.
	freshFraction = 1.0 / 3
	// maxExpiry bounds the silence of a VM until its jobs are ended, since nobody waits for them.
	maxExpiry = 900 * time.Millisecond
	// maxConfirm is how long the end of a run takes to be listed, including repeated orders;
	// at most confirmFraction of Outlive is reserved for it.
	maxConfirm      = 300 * time.Millisecond
	confirmFraction = 1.0 / 3
	// minStops is the minimum time reserved for the same, in multiples of Stop.
	minStops = 2
	// keepalivesFresh is the number of keepalives sent within Fresh, and keepalivesStart within StartAge, so that a waiting
	// task may start most of the time; maxInterval bounds the time between two.
	keepalivesFresh = 2.5
	keepalivesStart = 1.5
	maxInterval     = 150 * time.Millisecond
)

// Outlive returns how long a run may go on after the last keepalive from its caller's VM was sent.
func (l Limits) Outlive() time.Duration {
	if l.Resend <= 0 {
		return unbounded
	}
	return scaled(l.Resend, 1-callerDrift) - l.Notice
}

// Fresh returns the maximum age of a job's last keepalive at which its tasks may still start.
func (l Limits) Fresh() time.Duration {
	return min(scaled(l.Outlive(), freshFraction), l.Expiry()/2)
}

// StartAge returns the maximum age of a job's last keepalive at which its tasks may start in a process that may be unknown.
func (l Limits) StartAge() time.Duration {
	if lead := l.Lead(); lead > 0 {
		return min(l.Fresh(), l.Outlive()-lead-sendDelay)
	}
	return l.Fresh()
}

// Expiry returns the age of its last keepalive at which a job is ended.
func (l Limits) Expiry() time.Duration {
	o := l.Outlive()
	if o == unbounded {
		return unbounded
	}
	return min(maxExpiry, o-max(minStops*l.Stop, min(maxConfirm, scaled(o, confirmFraction))))
}

// Interval returns the time between two keepalives.
func (l Limits) Interval() time.Duration {
	return min(maxInterval, scaled(l.Fresh(), 1/keepalivesFresh), scaled(l.StartAge(), 1/keepalivesStart))
}

// Lease returns the longest lease to request, by the endpoint's clock.
func (l Limits) Lease() time.Duration {
	return min(scaled(l.Hold, leaseFraction), leaseWithin(l.Outlive()-l.Fresh()))
}

// Longest returns the longest time that a lease may last on a VM's clock, whatever end was asked for.
func (l Limits) Longest() time.Duration { return maxDuration(l.Hold) }

// Lead returns how long before a job's EndBy the last order must be sent that starts a run of it or extends its lease in
// a process that is not known yet. It is 0 if leases are too long for callers that come back so soon: then only the
// leases of known processes end by EndBy.
func (l Limits) Lead() time.Duration {
	lead := transit + l.Longest()
	if l.Outlive()-lead < minStartAge {
		return 0
	}
	return lead
}

// leaseWithin returns the longest lease that certainly ends within d on a VM's clock.
func leaseWithin(d time.Duration) time.Duration { return max(0, scaled(d-expiryGrace, 1-clockDrift)) }

// maxDuration returns the longest time that a lease may last on a VM's clock.
func maxDuration(lease time.Duration) time.Duration {
	return scaled(lease, 1/(1-clockDrift)) + expiryGrace
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
