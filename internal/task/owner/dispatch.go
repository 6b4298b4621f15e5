package owner

import (
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// maxRuns returns how many runs the endpoint's health allows at once.
func (sc *Scheduler) maxRuns(now time.Time, s *endpoint) int {
	n := sc.health.Limit(now, s.Addr)
	if n >= s.slots {
		return 1 << 20 // healthy: only its room is a limit
	}
	return n
}

// dispatch starts waiting tasks in queue order while there is room. Smaller jobs may pass one that
// doesn't fit, as it couldn't use that room now.
func (sc *Scheduler) dispatch(now time.Time) {
	sc.releaseHolds()
	sc.dispatchShares(now)
	minUnfit := 0.0   // smallest need in cores that found no room in this pass
	var unfit []*unit // gangs that found no places
	for _, e := range slices.Clone(sc.queue) {
		if !e.fresh(now) {
			continue
		}
		for i := range e.steps {
			if !e.ready(i) {
				continue
			}
			if e.Steps[i].Gang {
				unfit = sc.dispatchGang(now, e, i, unfit)
				continue
			}
			if c := e.Steps[i].Need.Cores; minUnfit > 0 && c >= minUnfit {
				continue
			}
			if !sc.startStep(now, e, i, math.MaxInt) && unconstrained(&e.Steps[i]) && !sc.avoidsRoom(now, e, &e.Steps[i]) {
				minUnfit = e.Steps[i].Need.Cores
			}
		}
		if !e.hasWaiting() {
			sc.queue = slices.DeleteFunc(sc.queue, func(x *entry) bool { return x == e })
		}
	}
}

// unconstrained reports whether a step's tasks may run on any endpoint with room.
func unconstrained(s *batch.Step) bool { return s.Label == "" && s.Spread == 0 && !s.Gang }

// startStep starts the tasks of a step that fit, up to a number of them; it returns false if one didn't fit.
func (sc *Scheduler) startStep(now time.Time, e *entry, i, most int) bool {
	if e.Steps[i].Gang {
		return sc.isGangReady(now, e, i) && sc.startGang(now, e, i)
	}
	st := &e.steps[i]
	for ; len(st.waiting) > 0 && most > 0; most-- {
		last := len(st.waiting) - 1
		k := st.waiting[last]
		if len(sc.pending) > 0 && sc.awaitsVerdict(e.task(i, k).String()) {
			return true // those before it in the list are suspected as well
		}
		s := sc.pick(now, e, &e.Steps[i], e.task(i, k), sc.rulesFor(e, &e.Steps[i], e.task(i, k)))
		if s == nil {
			return false
		}
		if sc.cfg.Fill && st.failures[k] == 0 && sc.startFiller(now, e, i, s) {
			continue
		}
		st.waiting = st.waiting[:last]
		sc.start(now, e, i, k, s)
	}
	return true
}

func (sc *Scheduler) start(now time.Time, e *entry, i, k int, s *endpoint) {
	st := &e.steps[i]
	if st.runNums[k] == 0 {
		st.runNums[k] = sc.runNums[e.ID]
	}
	st.runNums[k]++
	sc.send(now, e, s, sc.addRun(now, e, i, k, s))
}

// addRun adds the next run of a task to an endpoint, where it takes up room.
func (sc *Scheduler) addRun(now time.Time, e *entry, i, k int, s *endpoint) *lease.Run {
	r := s.Start(now, e.task(i, k), e.steps[i].runNums[k], e.Steps[i].Need)
	r.Job = e
	e.runs[r] = s.Endpoint
	return r
}

// send orders a run that was added to an endpoint.
func (sc *Scheduler) send(now time.Time, e *entry, s *endpoint, r *lease.Run) {
	s.lastStart = now
	sc.noteUse(now, e, sc.expect(e.Job, &e.Steps[r.Step]))
	e.starts++
	if e.late { // begun jobs go first: their finished work is lost if the rest waits too long
		e.late = false
		sc.queue = slices.DeleteFunc(sc.queue, func(x *entry) bool { return x == e })
		sc.enqueue(e)
	}
	sc.actions.Starts = append(sc.actions.Starts, Start{At: s.Endpoint, Run: r, Spec: e.Spec, Until: s.RenewUntil(now), Fence: s.Fence})
	sc.renew(s)
}

// pick returns the endpoint on which a task leaves the least room unused, to keep large gaps for large
// tasks; nil if none has room.
func (sc *Scheduler) pick(now time.Time, e *entry, st *batch.Step, t batch.Task, by rules) (best *endpoint) {
	lowest, name := 0.0, ""
	if sc.anySuspects() {
		name = t.String()
	}
	use := 0.0
	if sc.speeds != nil {
		use = sc.useToPick(now, e, st)
	}
	for _, s := range sc.order {
		if by.avoidFailed && (s.lastRunFailed() || sc.awaitsSuccess(now, e, s, t)) {
			continue
		}
		if sc.excludes(now, s, e, st, by) != "" || (st.Spread > 0 && countRuns(e, s, t.Step) >= st.Spread) || !sc.mayShare(s, e, st, name) {
			continue
		}
		c := s.Free().Cores - st.Need.Cores
		if st.Near != "" && !slices.Contains(s.Labels, st.Near) {
			c += s.Size.Cores * sc.cfg.RemoteFactor // slower: better than waiting, worse than any near endpoint
		}
		c *= float64(sc.health.Slowness(s.Addr)) / 100
		if sc.speeds != nil {
			c += s.Size.Cores * sc.speedCost(use, s)
		}
		if by.avoidFailed { // prefer the endpoint with the latest success
			c = float64(now.Sub(s.lastSuccess))
		}
		if best == nil || c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// rules are those of the choice of an endpoint that depend on the task.
type rules struct {
	avoidFailed bool // leaves out endpoints whose last run failed
	slow        bool // allows endpoints that are too slow
	trials      bool // allows endpoints on trial, for gangs alone
}

// rulesFor returns the rules for a task that starts by itself.
func (sc *Scheduler) rulesFor(e *entry, st *batch.Step, t batch.Task) rules {
	return rules{avoidFailed: e.steps[t.Step].failures[e.slot(t)] > 0 && sc.hasGoodEndpoint(e, st)}
}

// lastRunFailed reports whether, of the runs that ended on their own, the latest one to start failed.
// The order of the ends proves less: a successful run may have started before the endpoint broke.
func (s *endpoint) lastRunFailed() bool {
	return !s.lastFailure.IsZero() && !s.lastSuccess.After(s.lastFailure)
}

// hasGoodEndpoint reports whether an endpoint whose last run didn't fail has or will have room for a task.
//
// Endpoints that fail everything are free most often, so that a failed task would be retried on the
// next such endpoint until its attempts are used up: jobs fail within a second after several endpoints
// broke.
func (sc *Scheduler) hasGoodEndpoint(e *entry, st *batch.Step) bool {
	return slices.ContainsFunc(sc.order, func(s *endpoint) bool {
		return !s.lastRunFailed() && !s.lost && !s.handingOver && s.Open() && st.Need.Fits(s.Size) && matches(s, st, e.Pool)
	})
}

// successWait is how long the last attempt of a task waits for an endpoint with a successful run that
// started after the task first failed: as long as two or three of the shortest runs take. Failed attempts
// follow each other within milliseconds, before it is known which endpoints are broken.
const successWait = 200 * time.Millisecond

// awaitsSuccess reports whether a task's last attempt should not be made on an endpoint yet.
func (sc *Scheduler) awaitsSuccess(now time.Time, e *entry, s *endpoint, t batch.Task) bool {
	st, k := &e.steps[t.Step], e.slot(t)
	since := st.firstFailed[k]
	return st.failures[k] >= e.Attempts-1 && !s.lastSuccess.After(since) && now.Sub(since) < successWait
}

// isTooSlow reports whether a job should leave an endpoint alone that is slower than others.
func (sc *Scheduler) isTooSlow(now time.Time, e *entry, st *batch.Step, s *endpoint) bool {
	if !e.late && sc.isSlow(s) && (st.Gang || now.Sub(s.lastStart) < slowTrialInterval) {
		return true
	}
	return sc.tooSlow(now, e, st, s)
}

// isHealthyFor reports whether an endpoint's health lets another task start there. Reduced limits don't bind gangs: they
// rise with runs that succeed, and members can't run one by one.
func (sc *Scheduler) isHealthyFor(now time.Time, e *entry, st *batch.Step, s *endpoint, by rules) bool {
	limit := sc.maxRuns(now, s)
	switch {
	case !st.Gang:
		return len(s.Runs) < limit
	case limit == 0:
		return false
	case sc.health.OnTrial(s.Addr): // its trial is the whole gang, alone
		return by.trials && s.runsOnly(e)
	default:
		return true
	}
}

// usable reports whether a task of a step may start on an endpoint.
func (sc *Scheduler) usable(now time.Time, s *endpoint, e *entry, st *batch.Step) bool {
	return sc.excludes(now, s, e, st, rules{}) == ""
}

// excludes names what keeps tasks of a step from starting on an endpoint; empty if nothing does.
func (sc *Scheduler) excludes(now time.Time, s *endpoint, e *entry, st *batch.Step, by rules) string {
	switch { // room first: most endpoints have none, and Leasable reads all runs
	case !st.Need.Fits(s.Free()):
		return "room"
	case !matches(s, st, e.Pool):
		return "label"
	case st.Label != "" && !s.Described(): // its labels may be those of a former process
		return "restart"
	case s.lost, !s.Endpoint.Open():
		return "closed"
	case !s.Leasable(now, e):
		return "lease"
	case now.Before(s.fullUntil):
		return "full"
	case s.handingOver && !e.begun:
		return "handover"
	case !sc.cordonAdmits(now, s, e):
		return "cordon"
	case !by.slow && sc.isTooSlow(now, e, st, s):
		return "slow"
	case !sc.isHealthyFor(now, e, st, s, by):
		return "health"
	case sc.isHeld(now, e, st, s):
		return "held"
	}
	return ""
}

// countRuns returns how many runs of a step an endpoint has.
func countRuns(e *entry, s *endpoint, i int) (n int) {
	for r, ep := range e.runs {
		if ep == s.Endpoint && r.Task.Step == i {
			n++
		}
	}
	return n
}

// fitCount returns how many tasks of a need fit into a room.
func fitCount(room, need job.Size) int {
	n := float64(maxFit)
	if need.Cores > 0 {
		n = min(n, room.Cores/need.Cores)
	}
	if need.Memory > 0 {
		n = min(n, room.Memory/need.Memory)
	}
	if need.Accels > 0 {
		n = min(n, room.Accels/need.Accels)
	}
	return int(max(0, n+roundingError)) // a larger quotient would convert to a number that depends on the processor
}

// roundingError bounds that of a quotient of sizes: 0.3 cores hold three tasks of 0.1.
const roundingError = 1e-9

// maxFit bounds the number of tasks that count as fitting into a room.
const maxFit = 1 << 10
