package owner

import (
	"time"

	"dahliawinch/internal/task/batch"
)

// hold keeps later jobs from an endpoint on which members of a gang will have room. A task that is expected to end before
// all of them have may still start there (EASY backfilling).
//
// Each room that comes free would go to smaller jobs behind the gang otherwise, so that the room for all of its members is
// never free at a time.
type hold struct {
	by    *entry
	until time.Time // when all members are expected to have places
}

// maxHolding gangs hold places at a time.
const maxHolding = 4

// releaseHolds ends all holds before the queue is gone through again.
func (sc *Scheduler) releaseHolds() {
	if sc.holding == 0 {
		return
	}
	sc.holding = 0
	for _, s := range sc.order {
		s.hold = hold{}
	}
}

// isHeld reports whether a task would take a place that is held for a gang before its job.
func (sc *Scheduler) isHeld(now time.Time, e *entry, st *batch.Step, s *endpoint) bool {
	return s.hold.by != nil && s.hold.by != e && !before(e, s.hold.by) && now.Add(s.on(sc.expect(e.Job, st))).After(s.hold.until)
}

// holdPlaces holds the endpoints on which all members of a gang will have places first.
func (sc *Scheduler) holdPlaces(now time.Time, e *entry, i int, by rules) {
	if sc.holding >= maxHolding {
		return
	}
	wait, at := sc.gangWait(now, e, i, by)
	if at == nil || (wait == 0 && !sc.anySuspects()) { // a suspected gang needs endpoints where nothing runs
		return
	}
	sc.holding++
	for _, s := range at {
		s.hold = hold{e, now.Add(wait)}
	}
}
