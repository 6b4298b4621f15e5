package lease

import "time"

// Limits are the endpoints' and the callers' own; settings give them.
//
// A run may outlive the last keepalive of the VM that answers its job's caller by Outlive, counted from when that was sent,
// so that no message that is late or lost prolongs it. The bounds add up:
//
//	Expiry + the time for a stop   <= Outlive      the run is stopped, and its end is listed
//	Fresh + Lease, on a slow clock <= Outlive      or its endpoint's lease runs out
//	Outlive + clocks + Notice      <= Resend       before the caller may submit the job again
type Limits struct {
	Hold time.Duration // longest lease that an endpoint grants
	Stop time.Duration // longest time that a stop takes
	// Resend is after how long a caller whose job's outcome is unknown submits it again, at the earliest;
	// 0 if callers never do.
	Resend time.Duration
	// Notice is how long the end of a caller's connection may be under way.
	Notice time.Duration
}

// StopPart is how many of the longest stops go into Resend at least.
const StopPart = 5

const (
	// part of the longest lease that is asked for: a renewal takes a few milliseconds,
	// and an order that is carried out late finds its lease in the past sooner.
	part = 0.9
	// drift is how slow an endpoint's clock may be.
	drift = 0.02
	// grace is added before a lease is taken to have run out: timers fire late.
	grace = 30 * time.Millisecond
	// clockRate is how much slower than a caller's clock a VM's may be, as a part.
	clockRate = 0.01
	// forever stands for no bound.
	forever = 24 * time.Hour
	// freshPart of Outlive is how old a keepalive may be for a job to start. The rest is for the lease.
	freshPart = 1.0 / 3
	// expiryMost is the silence of a VM after which its jobs are ended at the latest: nobody waits for them.
	expiryMost = 900 * time.Millisecond
	// confirmMost is how long the end of a run takes to be listed, with orders that are repeated, and
	// confirmPart the part of Outlive that is kept for it.
	confirmMost = 300 * time.Millisecond
	confirmPart = 1.0 / 3
	// stops is how many times the longest stop is kept for it at least.
	stops = 2
	// intervals is how many keepalives are sent while one is fresh, intervalMost the longest pause between two.
	intervals    = 2.5
	intervalMost = 150 * time.Millisecond
)

// Outlive is how long after the last keepalive of its caller's VM a run may go on.
func (l Limits) Outlive() time.Duration {
	if l.Resend <= 0 {
		return forever
	}
	return scaled(l.Resend, 1-clockRate) - l.Notice
}

// Fresh is how old a job's last keepalive may be for its tasks to be started.
func (l Limits) Fresh() time.Duration {
	return min(scaled(l.Outlive(), freshPart), l.Expiry()/2)
}

// Expiry is how old a job's last keepalive is when the job is ended.
func (l Limits) Expiry() time.Duration {
	o := l.Outlive()
	if o == forever {
		return forever
	}
	return min(expiryMost, o-max(stops*l.Stop, min(confirmMost, scaled(o, confirmPart))))
}

// Interval is the pause between two keepalives.
func (l Limits) Interval() time.Duration { return min(intervalMost, scaled(l.Fresh(), 1/intervals)) }

// Lease is the longest that is asked for, on the endpoint's clock.
func (l Limits) Lease() time.Duration {
	return min(scaled(l.Hold, part), leaseWithin(l.Outlive()-l.Fresh()))
}

// leaseWithin is the longest lease that surely ends within a time on a VM's clock.
func leaseWithin(d time.Duration) time.Duration { return max(0, scaled(d-grace, 1-drift)) }

// lasts is the longest that a lease may last on a VM's clock.
func lasts(ask time.Duration) time.Duration { return scaled(ask, 1/(1-drift)) + grace }

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }
