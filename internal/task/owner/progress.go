package owner

import (
	"time"

	"dahliawinch/internal/task/health"
	"dahliawinch/internal/task/lease"
)

const (
	// judgeAfterPart is the part of its expected time after which a run's progress is judged: by then most
	// runs have done more than half of their work, while a run on an endpoint that has become three times
	// slower has done less than a quarter.
	judgeAfterPart = 0.7
	// slowPercent is the run time, in percent of the usual one, from which an endpoint counts as slow: no
	// job meets its objective there that would meet it elsewhere. Endpoints differ by a factor of 1.6, and
	// a run away from its data takes twice as long.
	slowPercent = 250
	// slowTrialInterval is how often a job that is in time may start a task on a slow endpoint, to detect
	// its recovery. Late jobs may use it at any time.
	slowTrialInterval = 2 * time.Second
	// moveFactor is how many times its usual time a run must still need to be worth restarting elsewhere,
	// and moveCost the time that a move takes: a stop and two orders.
	moveFactor = 1.5
	moveCost   = 60 * time.Millisecond
	// minPercent is the progress assumed for a run that shows none.
	minPercent = 5
)

// isSlow reports whether an endpoint is far slower than the others.
func (sc *Scheduler) isSlow(s *endpoint) bool { return sc.health.Slowness(s.Addr) >= slowPercent }

// judgeProgress updates an endpoint's health from the progress of the runs that it has just listed.
//
// Ended runs show too late that an endpoint has become slow: runs take longest there, and it gets more
// work meanwhile. The symptom is late jobs whose slowest runs are all on one endpoint. Progress shows the
// speed early: while eight of 48 endpoints take 6.5 times as long, 0.96 of the jobs' worth is earned
// instead of 0.91 (TestSlowEndpointsAreKnownByRunsThatGoOn).
func (sc *Scheduler) judgeProgress(now time.Time, s *endpoint) {
	for _, r := range s.Runs {
		e := r.Job.(*entry)
		if e.answered || r.Stage != lease.Running || !r.LastSeen.Equal(now) || e.Steps[r.Step].Gang { // a gang is as fast as its slowest member
			continue
		}
		usual := sc.expect(e.Job, &e.Steps[r.Step])
		ran, here := now.Sub(r.SentAt), s.on(usual)
		if ran < time.Duration(judgeAfterPart*float64(here)) {
			continue
		}
		estimate := ran * 100 / time.Duration(max(minPercent, r.Percent))
		if !r.SpeedRecorded {
			r.SpeedRecorded = true
			sc.reportHealth(now, health.Report{Addr: s.Addr, Kind: e.Pool + "/" + e.Queue, End: health.Going, Ran: estimate, Expected: here}, s.ID)
			sc.recordSpeed(now, s, estimate, usual)
		}
		if sc.speeds != nil {
			sc.moveIfLate(now, e, s, r, estimate)
		} else if sc.isSlow(s) && estimate-ran > time.Duration(moveFactor*float64(usual))+moveCost {
			sc.move(now, e, s, r)
		}
	}
}

// move stops a run on a slow endpoint if its task would end sooner on another one that has room now.
// A job is moved at most as many times as it has tasks.
func (sc *Scheduler) move(now time.Time, e *entry, s *endpoint, r *lease.Run) {
	st := &e.Steps[r.Step]
	if e.moves >= e.Tasks() || st.Gang {
		return
	}
	if to := sc.pick(now, e, st, r.Task, sc.rulesFor(e, st, r.Task)); to == nil || sc.isSlow(to) {
		return
	}
	sc.stopToMove(now, e, s, r)
}

// moveIfLate stops a run that misses its objective on this endpoint if its task would end sooner on the fastest one
// that has room now.
func (sc *Scheduler) moveIfLate(now time.Time, e *entry, s *endpoint, r *lease.Run, total time.Duration) {
	st := &e.Steps[r.Step]
	if e.moves >= e.Tasks() || st.Gang {
		return
	}
	if to := sc.fastest(now, e, st, r.Task); to != nil && sc.shouldMove(now, e, s, r, total, to) {
		sc.stopToMove(now, e, s, r)
	}
}

func (sc *Scheduler) stopToMove(now time.Time, e *entry, s *endpoint, r *lease.Run) {
	e.moves++
	sc.cfg.Log.Info("run moved", "job", e.ID, "task", r.Name, "run", r.Num, "endpoint", s.ID, "percent", r.Percent, "after", now.Sub(r.SentAt).Round(time.Millisecond),
		"slow_percent", sc.health.Slowness(s.Addr), "factor", round2(s.speed))
	sc.stop(s.Endpoint, r)
}
