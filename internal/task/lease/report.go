package lease

import (
	"time"

	"dahliawinch/internal/base/timer"
)

// ApplyReport applies the answer to a renewal that was sent at the given time. It returns
// the runs that are over and those to stop: orphans, and own ones whose stop was lost.
func (e *Endpoint) ApplyReport(now, sent time.Time, r Report) (over []Finished, stops []RunID) {
	if r.Born > 0 && r.Born < e.process.born { // an answer of a former process that one of the present has overtaken
		return nil, nil
	}
	if e.Restarts(r) {
		e.restart(now)
	}
	e.process.read(now, sent, r)
	e.Silent, e.Missed, e.renewalDue = false, 0, false
	e.unackedEnds = len(r.Ended) > 0
	e.TakenOver = e.TakenOver || (!e.Synced && e.Settled() && len(r.Running)+len(r.Ended) > 0)
	over = append(over, e.applyEnds(r.Ended)...)
	listed, stops := e.applyRunning(now, r.Running)
	e.locate(sent, listed)
	for n := range e.orphans {
		if !listed[n] {
			delete(e.orphans, n)
		}
	}
	if !e.Settled() {
		// A late order may have begun another run of a task here before the fence was raised.
		if !sent.After(e.restartedAt) || len(e.orphans) > 0 {
			return over, stops
		}
		over = append(over, e.settle(now, listed)...)
	}
	// Renewing for new runs would also keep a former owner's runs alive, while their tasks
	// are started again once that owner's lease must have expired. So nothing starts until they are gone.
	e.Synced = e.Synced || len(e.orphans) == 0
	ended, lost := e.checkRuns(now, sent, listed)
	return append(over, ended...), append(stops, lost...)
}

// checkRuns ends the runs that are over without a listed end, and returns those whose stop must be ordered again.
func (e *Endpoint) checkRuns(now, sent time.Time, listed map[RunID]bool) (over []Finished, stops []RunID) {
	for n, run := range e.Runs {
		if !listed[n] && e.endedUnlisted(run, sent) {
			e.end(run)
			over = append(over, Finished{run, Gone})
			continue
		}
		if run.Stage == Stopping && run.stopLost(now, listed[n]) {
			stops = append(stops, n)
		}
	}
	return over, stops
}

// stopLost reports whether a run's stop must be ordered again: it was not confirmed in time, or the run goes on.
//
// Otherwise a run whose stop got no answer, as on an endpoint that was away for a moment, would hold its task and its room
// for as long as renewals for other runs keep the lease.
func (r *Run) stopLost(now time.Time, listed bool) bool {
	confirmed := !r.stoppedAt.IsZero() && (!listed || now.Sub(r.stoppedAt) < stopRetry)
	switch {
	case confirmed, !r.stopDue && !r.stopCheckedAt.IsZero() && now.Sub(r.stopCheckedAt) < stopRetry:
		return false
	case !r.stopDue && r.stopCheckedAt.IsZero(): // the first order may be under way
		r.stopCheckedAt = now
		return false
	}
	r.stopDue, r.stopCheckedAt = false, now
	return true
}

// applyEnds applies the listed ends that are new.
func (e *Endpoint) applyEnds(ends []Ended) (over []Finished) {
	for _, x := range ends {
		if x.Serial <= e.Cursor {
			continue // already applied from a later answer
		}
		e.Cursor = x.Serial
		n := RunID{x.Name, x.Num}
		delete(e.orphans, n)
		if run := e.Runs[n]; run != nil {
			e.end(run)
			over = append(over, Finished{run, x.State})
		}
	}
	return over
}

// applyRunning applies the list of what runs, and returns it with the orphans to stop.
func (e *Endpoint) applyRunning(now time.Time, running []Listed) (listed map[RunID]bool, orphans []RunID) {
	listed = make(map[RunID]bool, len(running))
	for _, x := range running {
		n := RunID{x.Name, x.Num}
		listed[n] = true
		if run := e.Runs[n]; run != nil {
			if x.Percent > run.Percent {
				run.Advanced = now
			}
			run.Percent, run.LastSeen = x.Percent, now
			if run.Stage == Sent {
				run.Stage = Running
			}
			continue
		}
		if at, ok := e.orphans[n]; !ok || now.Sub(at) >= stopRetry {
			e.orphans[n] = now
			orphans = append(orphans, n)
		}
	}
	return listed, orphans
}

// restart applies that the endpoint has started again under its ID. It runs nothing of before, obeys any fence, and the
// serials of its ends begin again: with the former cursor, its owner would acknowledge ends that it has not seen.
//
// The answer that says so may be older than starts that the new process has confirmed, and orders from before may still
// arrive. So all runs stay open until the new process has answered a renewal with a higher fence: after that it carries
// out no earlier order, and runs only what it lists.
func (e *Endpoint) restart(now time.Time) {
	e.Cursor = 0
	clear(e.orphans)
	e.Fence++
	e.Synced, e.restartedAt = false, now
	e.leaseEnd = timer.Later(e.leaseEnd, e.otherEnd) // of what the new process has granted while it was not known
	for _, r := range e.Runs {
		r.located = false
	}
}

// Settled reports whether the present process has answered a renewal that was sent after its start was noticed.
func (e *Endpoint) Settled() bool { return e.restartedAt.IsZero() }

// settle ends the runs from before a restart that the new process does not list. A stop of one that it lists was
// confirmed by the former process.
func (e *Endpoint) settle(now time.Time, listed map[RunID]bool) (over []Finished) {
	e.restartedAt = time.Time{}
	for n, run := range e.Runs {
		if listed[n] {
			run.stoppedAt, run.stopDue = time.Time{}, run.Stage == Stopping
			continue
		}
		over = append(over, e.endLost(run))
	}
	if len(e.Runs) > 0 { // started with an end on the former process's clock, so perhaps for the longest lease
		e.leaseEnd = timer.Later(e.leaseEnd, now.Add(e.limits.Longest()))
	}
	return over
}

// Restarts reports whether a report is that of a newer process than the last one.
func (e *Endpoint) Restarts(r Report) bool { return e.process.born > 0 && r.Born > e.process.born }

// endedUnlisted reports whether a run that an answer doesn't list is certainly over: the run
// or its stop had been confirmed before the renewal was sent.
func (e *Endpoint) endedUnlisted(r *Run, sent time.Time) bool {
	switch r.Stage {
	case Running:
		return r.LastSeen.Before(sent)
	case Stopping:
		return !r.stoppedAt.IsZero() && r.stoppedAt.Before(sent)
	default:
		return false
	}
}
