package owner

import (
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/speed"
)

const (
	// slowStreak is how many runs in a row must show that an endpoint has become slow. Of 100 tasks 3 take 7 times as
	// long as the others, so two in a row are seen every second at 1,000 starts a second, three once in half a minute.
	slowStreak = 3
	// minOwnRuns is the number of runs from which a factor counts as an endpoint's own rather than as that of its kind or
	// of a peer. If such a factor is 2.5 times too high, the endpoint looks faulty, and its runs must correct it.
	minOwnRuns = 20
	// speedLogChange is the relative change of an endpoint's factor that is logged.
	speedLogChange = 0.2
	// tightUse is the part of the time until a job's objective that a task may run on an endpoint, as far as there is a
	// faster one: run times are off by the rest.
	tightUse = 0.85
	// tightCost is what it costs, in whole endpoints, to use up the time until the objective beyond tightUse: more than
	// any gap.
	tightCost = 10
	// swapCost weighs, in whole endpoints, the time that a task would save on a faster endpoint against the room it
	// leaves unused: a task for which speed matters more than for the usual one goes to the faster of two like gaps.
	swapCost = 8
	// useGain is the weight of a started task in the usual use of time.
	useGain = 0.02
	// moveGain is the part of its remaining time that a run must save to be worth moving: its finished work is lost.
	moveGain = 0.2
)

// speedState is the scheduler's state for endpoints of different speeds; nil without the setting.
type speedState struct {
	*speed.Tracker
	usualUse float64            // mean part of the time until the objective that tasks take on a usual endpoint
	logged   map[string]float64 // factor last logged, by endpoint
}

// initSpeeds switches the estimates on.
func (sc *Scheduler) initSpeeds() {
	sc.speeds = &speedState{Tracker: speed.New(), usualUse: 0.5, logged: map[string]float64{}}
	sc.health.RequireStreak(slowStreak)
}

// addSpeed begins to estimate an endpoint's speed.
func (sc *Scheduler) addSpeed(s *endpoint) {
	s.speed = 1
	if sc.speeds == nil {
		return
	}
	source := sc.speeds.Add(s.ID, s.Kind())
	sc.setSpeed(s, source)
}

// removeSpeed stops estimating an endpoint's speed.
func (sc *Scheduler) removeSpeed(id string) {
	if sc.speeds != nil {
		sc.speeds.Remove(id)
		delete(sc.speeds.logged, id)
	}
}

// resetSpeed begins the estimate of an endpoint anew: a new process under the same ID may run on other hardware.
func (sc *Scheduler) resetSpeed(s *endpoint) {
	if sc.speeds != nil {
		sc.speeds.Forget(s.ID)
	}
	sc.addSpeed(s)
}

// setSpeed reads an endpoint's factor and logs larger changes.
func (sc *Scheduler) setSpeed(s *endpoint, source string) {
	s.speed = sc.speeds.Factor(s.ID)
	before, ok := sc.speeds.logged[s.ID]
	if !ok {
		before = 1
	}
	if math.Abs(math.Log(s.speed/before)) < math.Log1p(speedLogChange) {
		return
	}
	sc.speeds.logged[s.ID] = s.speed
	sc.cfg.Log.Info("endpoint speed", "endpoint", s.ID, "factor", round2(s.speed), "before", round2(before), "runs", sc.speeds.Runs(s.ID), "source", source, "kind", s.Kind())
}

// round2 rounds a figure for the log.
func round2(x float64) float64 { return math.Round(100*x) / 100 }

// recordSpeed updates an endpoint's estimate with a run that took, or will take, the given time. An endpoint that
// is slow against its own factor is faulty and says nothing about its usual speed, unless the factor may be wrong.
func (sc *Scheduler) recordSpeed(now time.Time, s *endpoint, ran, usual time.Duration) {
	if sc.speeds == nil || (sc.isSlow(s) && sc.speeds.Runs(s.ID) >= minOwnRuns) {
		return
	}
	sc.speeds.Record(now, s.ID, ran, usual)
	sc.setSpeed(s, "runs")
}

// SpeedChanges returns at most n entries for the other VMs of the failure domain; see speed.Tracker.Changes.
func (sc *Scheduler) SpeedChanges(now time.Time, n int) []byte {
	if sc.speeds == nil {
		return nil
	}
	return sc.speeds.Changes(now, n)
}

// Speeds returns the entries of all endpoints whose speed is known here.
func (sc *Scheduler) Speeds(now time.Time) []byte {
	if sc.speeds == nil {
		return nil
	}
	return sc.speeds.All(now)
}

// MergeSpeeds applies another VM's entries.
func (sc *Scheduler) MergeSpeeds(now time.Time, entries []byte) {
	if sc.speeds == nil {
		return
	}
	sc.speeds.Merge(now, entries)
	for _, s := range sc.order {
		if sc.speeds.Runs(s.ID) == 0 {
			sc.setSpeed(s, "peer")
		}
	}
}

// SpeedSummary describes the estimates, for metrics.
func (sc *Scheduler) SpeedSummary() speed.Summary {
	if sc.speeds == nil {
		return speed.Summary{Least: 1, Most: 1}
	}
	return sc.speeds.Summary()
}

// on returns how long work takes on an endpoint that takes d on a usual one.
func (s *endpoint) on(d time.Duration) time.Duration {
	if s.speed == 1 || s.speed <= 0 {
		return d
	}
	return time.Duration(float64(d) / s.speed)
}

// usual returns how long a run that took d here takes on a usual endpoint.
func (s *endpoint) usual(d time.Duration) time.Duration {
	if s.speed == 1 || s.speed <= 0 {
		return d
	}
	return time.Duration(float64(d) * s.speed)
}

// speedOf returns an owned endpoint's factor, 1 if it is not owned.
func (sc *Scheduler) speedOf(id string) float64 {
	if s := sc.endpoints[id]; s != nil {
		return s.speed
	}
	return 1
}

// expectedHere returns how long a run takes in all on its endpoint, where a usual one takes d. Once it has made some
// progress, that says more than the estimate.
func (sc *Scheduler) expectedHere(ep *lease.Endpoint, d time.Duration, r *lease.Run) time.Duration {
	if ep != nil {
		if s := sc.endpoints[ep.ID]; s != nil {
			d = s.on(d)
		}
	}
	if seen := r.LastSeen.Sub(r.SentAt); r.Percent >= minKnownPercent && seen > 0 {
		return seen * 100 / time.Duration(r.Percent)
	}
	return d
}

// minKnownPercent is the progress from which a run's total time follows from it with an error of a tenth.
const minKnownPercent = 10

// use returns the part of the time until a job's objective that a task takes on a usual endpoint. Over 1, it is late.
func (sc *Scheduler) use(now time.Time, e *entry, work time.Duration) float64 {
	left := e.objective.Sub(now) - answerOverhead
	if left <= 0 {
		return math.Inf(1)
	}
	return float64(work) / float64(left)
}

// useToPick is use for the choice of an endpoint. A run is moved only because a fast endpoint ends it in time, so after a
// move speed counts even if the job's own objective has passed.
func (sc *Scheduler) useToPick(now time.Time, e *entry, st *batch.Step) float64 {
	use := sc.use(now, e, sc.expect(e.Job, st))
	if e.moves > 0 && math.IsInf(use, 1) {
		return 1
	}
	return use
}

// speedCost returns what it costs, in whole endpoints, to start a task on an endpoint because of its speed: a lot
// if the objective would be missed, else little, and less than nothing for the slow ones if the task can afford them.
//
// It keeps the fast endpoints for the tasks that need them. A task that takes 0.76 s has 1.28 s until its objective and
// needs 1.09 s of it on an endpoint of speed 0.7, while one of 51 ms needs 73 of 141 ms.
func (sc *Scheduler) speedCost(use float64, s *endpoint) float64 {
	if math.IsInf(use, 1) { // late on any endpoint
		return 0
	}
	cost := swapCost * (use - sc.speeds.usualUse) * (1/s.speed - 1)
	if over := use/s.speed - tightUse; over > 0 {
		cost += tightCost * over
	}
	return cost
}

// noteUse updates the usual use of time with a task that starts.
func (sc *Scheduler) noteUse(now time.Time, e *entry, work time.Duration) {
	if sc.speeds == nil {
		return
	}
	if use := sc.use(now, e, work); use < 1 {
		sc.speeds.usualUse += useGain * (use - sc.speeds.usualUse)
	}
}

// tooSlow reports whether a task would miss its job's objective on an endpoint, while there is a faster one on which it
// can still meet it after a wait for room.
func (sc *Scheduler) tooSlow(now time.Time, e *entry, st *batch.Step, s *endpoint) bool {
	if sc.speeds == nil || e.late || s.speed >= 1 {
		return false
	}
	work := sc.expect(e.Job, st)
	left := e.objective.Sub(now) - answerOverhead
	if s.on(work) <= left {
		return false
	}
	for _, o := range sc.order {
		if o.speed > s.speed && o.on(work)+roomWait <= left && !o.lost && !o.handingOver && o.Open() && !sc.isSlow(o) && st.Need.Fits(o.Size) && matches(o, st, e.Pool) &&
			sc.maxRuns(now, o) > 0 && sc.cordonAdmits(now, o, e) {
			return true
		}
	}
	return false
}

// avoidsRoom reports whether a task fits into room that is free, but only on endpoints that are too slow for it. Tasks
// behind it in the queue may be in time there.
func (sc *Scheduler) avoidsRoom(now time.Time, e *entry, st *batch.Step) bool {
	return slices.ContainsFunc(sc.order, func(s *endpoint) bool {
		return st.Need.Fits(s.Free()) && matches(s, st, e.Pool) && sc.tooSlow(now, e, st, s)
	})
}

// roomWait is how long it takes until a place on a faster endpoint of a full pool comes free: of 32 endpoints with two
// places each, a third of them fast, one ends a run of 200 ms every 10 ms.
const roomWait = 10 * time.Millisecond

// shouldMove reports whether a run should start again on a faster endpoint: it will miss the objective where it is,
// and it ends sooner there. total is how long it takes here by its progress. A healthy endpoint makes long runs
// because the task is long: then the objective is later, too, and another endpoint takes as long.
func (sc *Scheduler) shouldMove(now time.Time, e *entry, s *endpoint, r *lease.Run, total time.Duration, to *endpoint) bool {
	work := s.usual(total)
	faulty := sc.isSlow(s)
	if faulty {
		work = sc.expect(e.Job, &e.Steps[r.Step])
	}
	objective := e.objective
	if own := e.arrived.Add(e.Objective(work) - e.Waited); own.After(objective) {
		objective = own
	}
	endHere, endThere := r.SentAt.Add(total), now.Add(to.on(work)+moveCost)
	if !endHere.After(objective) || (!faulty && endThere.After(objective)) {
		return false
	}
	return float64(endHere.Sub(endThere)) > moveGain*float64(endHere.Sub(now))
}

// fastest returns the fastest endpoint on which a task can start now, or nil.
func (sc *Scheduler) fastest(now time.Time, e *entry, st *batch.Step, t batch.Task) (best *endpoint) {
	name := ""
	if sc.anySuspects() {
		name = t.String()
	}
	for _, s := range sc.order {
		if !sc.usable(now, s, e, st) || sc.isSlow(s) || (st.Spread > 0 && countRuns(e, s, t.Step) >= st.Spread) || !sc.mayShare(s, e, st, name) {
			continue
		}
		if best == nil || s.speed > best.speed {
			best = s
		}
	}
	return best
}

// stalled reports whether a run makes no progress, as its endpoint's reports show.
func (sc *Scheduler) stalled(e *entry, r *lease.Run) bool {
	limit := max(minStuckTime, time.Duration(stallPart*float64(sc.expect(e.Job, &e.Steps[r.Step]))))
	return r.Percent < almostDone && r.LastSeen.Sub(r.Advanced) > limit
}

// stallPart is the part of its expected time that a run may take without progress. Endpoints report whole percents, and
// 3 of 100 tasks take 7 times as long as expected.
const stallPart = 0.08

// almostDone is the progress from which an end may be listed before any further progress.
const almostDone = 99
