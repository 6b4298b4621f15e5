package lease

import "time"

// Limits are the endpoints' and the callers' own; settings give them.
//
// All that keeps a run going ends with the last word of the VM that answers its job's caller: that word is good for
// Outlive, whatever comes late or is lost. The bounds add up:
//
//	Doubt + the time for a stop   <= Outlive      the run is stopped, and its end is listed
//	Fresh + Lease, on a slow clock <= Outlive      or its endpoint's lease runs out
//	Outlive + clocks + a hang-up   <= Resend       before the caller may submit the job again
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
	// pace is how much slower than a caller's clock a VM's may be.
	pace = 0.01
	// forever stands for no bound.
	forever = 24 * time.Hour
	// freshPart of Outlive is how old a VM's word may be for a job to start. The rest is for the lease.
	freshPart = 1.0 / 3
	// doubtMost is the silence of a VM after which its jobs are ended at the latest: nobody waits for them.
	doubtMost = 900 * time.Millisecond
	// confirmMost is how long the end of a run takes to be listed, with orders that are repeated, and
	// confirmPart the part of Outlive that is kept for it.
	confirmMost = 300 * time.Millisecond
	confirmPart = 1.0 / 3
	// stops is how many times the longest stop is kept for it at least.
	stops = 2
	// tells is how many words a VM sends while one is fresh, tellMost the longest pause between two.
	tells    = 2.5
	tellMost = 150 * time.Millisecond
)

// Outlive is how long after the last word of its caller's VM a run may go on.
func (l Limits) Outlive() time.Duration {
	if l.Resend <= 0 {
		return forever
	}
	return scaled(l.Resend, 1-pace) - l.Notice
}

// Fresh is how old the word of a job's VM may be for its tasks to be started.
func (l Limits) Fresh() time.Duration {
	return min(scaled(l.Outlive(), freshPart), l.Doubt()/2)
}

// Doubt is how old the word of a job's VM is when the job is ended.
func (l Limits) Doubt() time.Duration {
	o := l.Outlive()
	if o == forever {
		return forever
	}
	return min(doubtMost, o-max(stops*l.Stop, min(confirmMost, scaled(o, confirmPart))))
}

// Tell is the pause between two words of a VM on the jobs that it waits for.
func (l Limits) Tell() time.Duration { return min(tellMost, scaled(l.Fresh(), 1/tells)) }

// Lease is the longest that is asked for, on the endpoint's clock.
func (l Limits) Lease() time.Duration {
	return min(scaled(l.Hold, part), leaseWithin(l.Outlive()-l.Fresh()))
}

// leaseWithin is the longest lease that surely ends within a time on a VM's clock.
func leaseWithin(d time.Duration) time.Duration { return max(0, scaled(d-grace, 1-drift)) }

// lasts is the longest that a lease may last on a VM's clock.
func lasts(ask time.Duration) time.Duration { return scaled(ask, 1/(1-drift)) + grace }

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }
