package owner

import (
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// allowed is how many runs the endpoint's health allows at once.
func (b *Book) allowed(now time.Time, s *site) int {
	n := b.health.Limit(now, s.Addr)
	if n >= s.slots {
		return 1 << 20 // healthy: its room decides
	}
	return n
}

// pump starts waiting tasks while there is room for them, in the queue's order. A job
// that doesn't fit lets smaller ones pass: what they use, it could not have used now.
func (b *Book) pump(now time.Time) {
	least := 0.0 // cores that no endpoint had in this round
	for _, e := range slices.Clone(b.queue) {
		if !e.fresh(now) {
			continue
		}
		for i := range e.steps {
			if !e.ready(i) {
				continue
			}
			if c := e.Steps[i].Need.Cores; least > 0 && c >= least {
				continue
			}
			if !b.startStep(now, e, i) && plain(&e.Steps[i]) {
				least = e.Steps[i].Need.Cores
			}
		}
		if !e.waits() {
			b.queue = slices.DeleteFunc(b.queue, func(x *entry) bool { return x == e })
		}
	}
}

// plain reports whether any endpoint with room will do.
func plain(s *batch.Step) bool { return s.Label == "" && s.Spread == 0 && !s.Gang }

// startStep starts what fits of a step; false if something didn't.
func (b *Book) startStep(now time.Time, e *entry, i int) bool {
	st := &e.steps[i]
	if e.Steps[i].Gang && !b.gangFits(now, e, i) {
		return len(st.waiting) == 0
	}
	for len(st.waiting) > 0 {
		last := len(st.waiting) - 1
		k := st.waiting[last]
		if len(b.charged) > 0 && b.held(batch.Task{Job: e.ID, Step: i, Index: k}.String()) {
			return true // those before it are suspects as well
		}
		s := b.pick(now, e, &e.Steps[i], batch.Task{Job: e.ID, Step: i, Index: k})
		if s == nil {
			return false
		}
		st.waiting = st.waiting[:last]
		b.start(now, e, i, k, s)
	}
	return true
}

func (b *Book) start(now time.Time, e *entry, i, k int, s *site) {
	st := &e.steps[i]
	if st.nums[k] == 0 {
		st.nums[k] = b.nums[e.ID]
	}
	st.nums[k]++
	r := s.Start(now, batch.Task{Job: e.ID, Step: i, Index: k}, st.nums[k], e.Steps[i].Need)
	r.Job = e
	s.tried = now
	e.runs[r] = s.Endpoint
	e.starts++
	if e.late { // begun work is finished first: it is lost if the rest waits in vain
		e.late = false
		b.queue = slices.DeleteFunc(b.queue, func(x *entry) bool { return x == e })
		b.enqueue(e)
	}
	b.acts.Starts = append(b.acts.Starts, Start{At: s.Endpoint, Run: r, Spec: e.Spec, Until: s.Until(now), Fence: s.Fence})
	b.wake(s)
}

// pick returns the endpoint where a task leaves the least room unused, so that wide
// holes stay for large tasks; nil if none has room.
func (b *Book) pick(now time.Time, e *entry, st *batch.Step, t batch.Task) (best *site) {
	low, name := 0.0, ""
	if b.suspicious() {
		name = t.String()
	}
	again := e.steps[t.Step].fails[t.Index] > 0 && b.good(e, st)
	for _, s := range b.order {
		if again && (s.bad() || b.unproven(now, e, s, t)) {
			continue
		}
		if !b.usable(now, s, e, st) || (st.Spread > 0 && count(e, s, t.Step) >= st.Spread) || !b.apart(s, name) {
			continue
		}
		c := s.Free().Cores - st.Need.Cores
		if st.Near != "" && !slices.Contains(s.Labels, st.Near) {
			c += s.Size.Cores * b.cfg.Far // runs longer there; better than waiting, worse than any near one
		}
		c *= float64(b.health.Slow(s.Addr)) / 100
		if again { // what was done last is surest
			c = float64(now.Sub(s.proven))
		}
		if best == nil || c < low {
			best, low = s, c
		}
	}
	return best
}

// bad reports whether the last run to begin here, of those that ended by themselves, failed. The order of
// the ends says less: a run that is done may have begun before the endpoint turned bad.
func (s *site) bad() bool { return !s.failed.IsZero() && !s.proven.After(s.failed) }

// good reports whether a task could run where the last run did not fail, now or once there is room.
//
// What goes wrong without it: endpoints that fail everything are free most often, so that a task
// which has failed is tried at the next such one until its job is over. One notices jobs that failed
// too often within a second in which several endpoints turned bad.
func (b *Book) good(e *entry, st *batch.Step) bool {
	return slices.ContainsFunc(b.order, func(s *site) bool {
		return !s.bad() && !s.lost && !s.giving && s.Open() && st.Need.Fits(s.Size) && fitsLabel(s, st, e.Pool)
	})
}

// proofWait is how long the last attempt of a task waits for an endpoint where something was done
// that began since the task first failed: two or three of the shortest runs. Failed attempts follow each other
// within milliseconds, sooner than it is known which endpoints have turned bad.
const proofWait = 200 * time.Millisecond

// unproven reports whether a task's last attempt should not be made at an endpoint yet.
func (b *Book) unproven(now time.Time, e *entry, s *site, t batch.Task) bool {
	st := &e.steps[t.Step]
	since := st.failed[t.Index]
	return st.fails[t.Index] >= e.Attempts-1 && !s.proven.After(since) && now.Sub(since) < proofWait
}

func (b *Book) usable(now time.Time, s *site, e *entry, st *batch.Step) bool {
	switch {
	case s.lost, !s.Endpoint.Open(), !s.Leasable(now, e), now.Before(s.full), s.giving && !e.begun, !b.admits(now, s, e):
		return false
	case !st.Need.Fits(s.Free()), !fitsLabel(s, st, e.Pool):
		return false
	}
	if !e.late && b.crawls(s) && now.Sub(s.tried) < trialEvery {
		return false
	}
	return len(s.Runs) < b.allowed(now, s)
}

// count is how many runs of a step an endpoint has.
func count(e *entry, s *site, i int) (n int) {
	for r, ep := range e.runs {
		if ep == s.Endpoint && r.Task.Step == i {
			n++
		}
	}
	return n
}

// gangFits reports whether all tasks of a step could start now; some alone would only
// hold room while they wait for the others.
func (b *Book) gangFits(now time.Time, e *entry, i int) bool {
	st := &e.Steps[i]
	if len(e.steps[i].waiting) < st.Count {
		return false // the others must end first
	}
	places := 0
	for _, s := range b.order {
		if !b.usable(now, s, e, st) {
			continue
		}
		n := fits(s.Free(), st.Need)
		if st.Spread > 0 {
			n = min(n, st.Spread)
		}
		places += n
	}
	return places >= st.Count
}

// fits is how many tasks of a need go into a room.
func fits(room, need job.Size) int {
	n := 1 << 10
	if need.Cores > 0 {
		n = min(n, int(room.Cores/need.Cores))
	}
	if need.Memory > 0 {
		n = min(n, int(room.Memory/need.Memory))
	}
	if need.Accels > 0 {
		n = min(n, int(room.Accels/need.Accels))
	}
	return max(0, n)
}
