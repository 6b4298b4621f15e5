package lease

import (
	"time"

	"dahliawinch/internal/base/timer"
)

// process is what an owner knows of the process that answers at an endpoint's address. Another may have taken its place
// since under the same ID, which no answer has shown yet.
type process struct {
	born    int64     // when it started, Unix milliseconds; 0 if it doesn't say
	clock   int64     // its clock, as it said last
	clockAt time.Time // when that answer was read
	heardAt time.Time // when the last request was sent that it has certainly answered
}

// read takes over an answer to a request that was sent at the given time.
func (p *process) read(now, sent time.Time, r Report) {
	p.born = max(p.born, r.Born)
	p.clock, p.clockAt = r.Clock, now
	p.heardAt = timer.Later(p.heardAt, sent)
}

// HeardAt returns when the last request was sent that the known process has certainly answered; zero before the first.
func (e *Endpoint) HeardAt() time.Time { return e.process.heardAt }

// hasOwnID reports whether each process of the endpoint has an ID of its own: those that keep it say when they started.
func (e *Endpoint) hasOwnID() bool { return e.process.born == 0 && e.Born == 0 }

// Located reports whether a run, if it goes on, is certainly in the process that is known.
func (e *Endpoint) Located(r *Run) bool { return r.located || e.hasOwnID() }

// RunEnd returns the time by which a run has certainly ended unless the lease is renewed.
func (e *Endpoint) RunEnd(r *Run) time.Time {
	if e.Located(r) {
		return e.leaseEnd
	}
	return timer.Later(e.leaseEnd, e.otherEnd)
}

// RunEndInTime is RunEnd if no order was late: none is sent that could keep the run past the EndBy of its job in a process
// that is not known. A start that is given up late, as by a VM that was paused, may have arrived in time.
func (e *Endpoint) RunEndInTime(r *Run) time.Time {
	if end := e.RunEnd(r); r.Job == nil || e.Located(r) || !r.Job.EndBy().Before(end) {
		return end
	}
	return timer.Later(e.leaseEnd, r.Job.EndBy())
}

// underWay reports whether a start of the run was sent and is neither answered nor given up.
func (r *Run) underWay() bool { return r.sends > 0 && r.concludedAt.IsZero() }

// Send records that the start of a run is sent, again if it was sent before, and reports whether it may be: if not, an
// unknown process could keep a run past the EndBy of its job.
func (e *Endpoint) Send(now time.Time, r *Run) bool {
	if r.Stage != Sent || !e.longestFits(now) {
		return false
	}
	r.sends++
	r.located, r.concludedAt = false, time.Time{}
	e.extendOther(now.Add(transit))
	return true
}

// Conclude records that the last start of a run was answered or given up, so that it arrives no more unless it is late.
func (e *Endpoint) Conclude(now time.Time, r *Run) {
	r.concludedAt = now
	e.extendOther(now)
}

// RenewalUnconfirmed records that a renewal that asked for a lease was given up. A process may have got it just before.
func (e *Endpoint) RenewalUnconfirmed(now time.Time) { e.extendOther(now) }

// extendOther records that an order with the end of a lease arrives at the given time at the latest.
func (e *Endpoint) extendOther(arrival time.Time) {
	e.otherEnd = timer.Later(e.otherEnd, arrival.Add(e.limits.Longest()))
}

// longestFits reports whether the longest lease for an order that is sent at the given time ends before the EndBy of
// each run that it may apply to in an unknown process.
func (e *Endpoint) longestFits(sent time.Time) bool {
	end := sent.Add(e.limits.Lead())
	for _, r := range e.Runs {
		if r.Job != nil && !e.Located(r) && end.After(r.Job.EndBy()) {
			return false
		}
	}
	return true
}

// locate records that the known process has answered a request that was sent at the given time. What was concluded
// before that has reached this process or none, and so has a start that was sent once and is listed.
func (e *Endpoint) locate(sent time.Time, listed map[RunID]bool) {
	for n, r := range e.Runs {
		if concluded := !r.concludedAt.IsZero() && r.concludedAt.Before(sent); concluded || (r.sends <= 1 && listed[n]) {
			r.located = true
		}
	}
}
