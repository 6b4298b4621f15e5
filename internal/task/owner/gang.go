package owner

import (
	"slices"
	"time"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// gang is the state of a step whose tasks, its members, work only together. A try is one start of all members under one
// run number; the next one begins after all runs of the last are over.
type gang struct {
	done     bool      // a member of it ended as done, which stands for all
	failed   bool      // it is counted as a failed attempt
	brokenAt time.Time // when its first run ended otherwise, zero if none has
	// unstarted is how many tries in a row never were complete; the next one waits until retryAt.
	unstarted int
	retryAt   time.Time

	waitsSince time.Time // since when it waits for places, zero if it doesn't
	waitsFor   string    // what the log said last of why it waits
	loggedAt   time.Time // when
}

const (
	// gangLogInterval bounds how often a gang that goes on waiting is logged when the reason changes.
	gangLogInterval = 500 * time.Millisecond
	// maxGangPause is the longest pause between two tries that never were complete.
	maxGangPause = 800 * time.Millisecond
	// breakTime is how long endpoints get to end the other members after one has ended.
	breakTime = 100 * time.Millisecond
)

// unit is a gang's step, for comparing it with others.
type unit struct {
	*entry
	step int
}

// needsMore reports whether a gang finds no places where another has found none.
func (u *unit) needsMore(o *unit) bool {
	a, c := &u.Steps[u.step], &o.Steps[o.step]
	return u.Pool == o.Pool && u.late == o.late && u.begun == o.begun && a.Label == c.Label && a.Count >= c.Count && c.Need.Fits(a.Need) &&
		(c.Spread == 0 || (a.Spread > 0 && a.Spread <= c.Spread)) && o.steps[o.step].failures[0] == 0
}

// dispatchGang starts a gang if it finds places, and adds it to those that didn't. It need not look where a gang before it
// has found none, unless that is suspected and has to be alone.
func (sc *Scheduler) dispatchGang(now time.Time, e *entry, i int, unfit []*unit) []*unit {
	u := &unit{e, i}
	if !sc.isGangReady(now, e, i) || slices.ContainsFunc(unfit, u.needsMore) || sc.startGang(now, e, i) || sc.anySuspects() {
		return unfit
	}
	return append(unfit, u)
}

// isGangReady reports whether all members of a gang may start if they find places.
func (sc *Scheduler) isGangReady(now time.Time, e *entry, i int) bool {
	st := &e.steps[i]
	switch {
	case len(st.waiting) == 0:
		return false
	case len(st.waiting) < e.Steps[i].Count:
		sc.logGangWaits(now, e, i, 0, "runs of its last try", nil)
	case now.Before(st.gang.retryAt):
		sc.logGangWaits(now, e, i, 0, "pause after its last try", nil)
	case len(sc.pending) > 0 && slices.ContainsFunc(st.waiting, func(k int) bool { return sc.awaitsVerdict(e.task(i, k).String()) }):
		sc.logGangWaits(now, e, i, 0, "verdict on its lost runs", nil)
	default:
		return true
	}
	return false
}

// startGang starts all members of a gang that is ready or none, and returns false if they found no places.
func (sc *Scheduler) startGang(now time.Time, e *entry, i int) bool {
	st, g := &e.steps[i], &e.steps[i].gang
	by, ok := sc.gangRulesFor(now, e, i)
	if !ok {
		sc.logGangWaits(now, e, i, 0, "endpoints", &gangRules[len(gangRules)-1])
		return false
	}
	runs, found := sc.placeGang(now, e, i, by)
	if runs == nil {
		sc.logGangWaits(now, e, i, found, "places", &by)
		sc.holdPlaces(now, e, i, by)
		return false
	}
	sc.logGangStarts(now, e, i, by, runs)
	g.failed, g.brokenAt = false, time.Time{}
	st.waiting = st.waiting[:0]
	for _, r := range runs {
		sc.send(now, e, sc.endpoints[e.runs[r].ID], r)
	}
	return true
}

// placeGang adds a run of each member to the endpoint that is chosen for it by the rules of single starts. If one finds no
// place it adds none and returns nil and how many did.
func (sc *Scheduler) placeGang(now time.Time, e *entry, i int, by rules) (runs []*lease.Run, found int) {
	if places := sc.gangPlaces(now, e, i, by); places < e.Steps[i].Count {
		return nil, places
	}
	st := &e.steps[i]
	before, nums := map[*endpoint]job.Size{}, slices.Clone(st.runNums)
	sc.nextTry(e, i)
	for n := len(st.waiting) - 1; n >= 0; n-- {
		k := st.waiting[n]
		s := sc.pick(now, e, &e.Steps[i], e.task(i, k), by)
		if s == nil {
			break
		}
		if _, ok := before[s]; !ok {
			before[s] = s.Used
		}
		runs = append(runs, sc.addRun(now, e, i, k, s))
	}
	if len(runs) == len(st.waiting) {
		return runs, len(runs)
	}
	for _, r := range runs {
		ep := e.runs[r]
		delete(e.runs, r)
		ep.Reject(r)
	}
	for s, used := range before {
		s.Used = used // without the rounding errors of adding and subtracting
	}
	st.runNums = nums
	return nil, len(runs)
}

// nextTry gives all members of a gang the run number of its next try, above those of any member's earlier runs.
func (sc *Scheduler) nextTry(e *entry, i int) {
	nums := e.steps[i].runNums
	num := max(sc.runNums[e.ID], slices.Max(nums)) + 1
	for k := range nums {
		nums[k] = num
	}
}
