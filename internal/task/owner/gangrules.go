package owner

import (
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// gangRules are those of the choice of a gang's places, the strictest first. The first that endpoints satisfy if nothing
// else runs there apply, as in the choice for a single task.
//
// A gang that needs an endpoint on trial is the trial: it would wait until its time runs out if nothing else runs there.
var gangRules = [...]rules{
	{avoidFailed: true},
	{avoidFailed: true, slow: true},
	{},
	{slow: true},
	{slow: true, trials: true},
}

// gangPlaces returns how many members could start if each were the only one. It spares the choice while there are too few.
func (sc *Scheduler) gangPlaces(now time.Time, e *entry, i int, by rules) (n int) {
	for _, s := range sc.order {
		if sc.excludesMembers(now, s, e, i, by) == "" {
			n += memberPlaces(s.Free(), &e.Steps[i])
		}
	}
	return n
}

// excludesMembers names what keeps all members of a gang from an endpoint; empty if nothing does.
func (sc *Scheduler) excludesMembers(now time.Time, s *endpoint, e *entry, i int, by rules) string {
	if by.avoidFailed && s.lastRunFailed() {
		return "failed"
	}
	return sc.excludes(now, s, e, &e.Steps[i], by)
}

// memberPlaces returns how many members of a gang fit into an endpoint's room.
func memberPlaces(room job.Size, st *batch.Step) int {
	n := fitCount(room, st.Need)
	if st.Spread > 0 {
		n = min(n, st.Spread)
	}
	return n
}

// maxAvoidance is how long a gang leaves out endpoints whose last run failed after a member has failed: it needs many places
// at a time, which the others may not have for long.
const maxAvoidance = 500 * time.Millisecond

// gangRulesFor returns the strictest rules by which all members of a gang have places if nothing else runs.
func (sc *Scheduler) gangRulesFor(now time.Time, e *entry, i int) (by rules, ok bool) {
	for _, by := range gangRules {
		if st := &e.steps[i]; by.avoidFailed && (st.failures[0] == 0 || now.Sub(st.gang.brokenAt) > maxAvoidance) {
			continue
		}
		places := 0
		for _, s := range sc.order {
			if sc.admitsMembers(now, s, e, i, by) {
				places += memberPlaces(s.Size, &e.Steps[i])
			}
		}
		if places >= e.Steps[i].Count {
			return by, true
		}
	}
	return rules{}, false
}

// admitsMembers reports whether members of a gang may start on an endpoint once it has room.
func (sc *Scheduler) admitsMembers(now time.Time, s *endpoint, e *entry, i int, by rules) bool {
	st := &e.Steps[i]
	switch {
	case s.lost, !s.Endpoint.Open(), s.handingOver && !e.begun, !sc.cordonAdmits(now, s, e), !matches(s, st, e.Pool):
		return false
	case by.avoidFailed && s.lastRunFailed(), !by.slow && sc.isTooSlow(now, e, st, s):
		return false
	case sc.health.OnTrial(s.Addr):
		return by.trials && sc.maxRuns(now, s) > 0
	}
	return true
}

// runsOnly reports whether all runs on an endpoint are of one job.
func (s *endpoint) runsOnly(e *entry) bool {
	for _, r := range s.Runs {
		if r.Job != lease.Job(e) {
			return false
		}
	}
	return true
}

// canHoldGang reports whether all members of a gang fit on the endpoints that admits accepts, if nothing else runs there.
// Those that leave or that are ejected beyond the deadline don't count.
func (sc *Scheduler) canHoldGang(st *batch.Step, deadline time.Time, admits func(*endpoint) bool) bool {
	places := 0
	for _, s := range sc.order {
		if !admits(s) || s.Drains || sc.health.RetryAt(s.Addr).After(deadline) {
			continue
		}
		places += memberPlaces(s.Size, st)
	}
	return places >= st.Count
}
