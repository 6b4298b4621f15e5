package owner

import (
	"slices"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// allowed is how many runs the endpoint's health allows at once.
func (b *Book) allowed(now time.Time, s *site) int {
	n := b.health.Limit(now, s.Addr)
	if n >= healthSlots {
		return 1 << 20 // healthy: its room decides
	}
	return n
}

// pump starts waiting tasks while there is room for them, in the queue's order. A job
// that doesn't fit lets smaller ones pass: what they use, it could not have used now.
func (b *Book) pump(now time.Time) {
	least := 0.0 // cores that no endpoint had in this round
	for _, e := range slices.Clone(b.queue) {
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
		s := b.pick(now, e, &e.Steps[i], i)
		if s == nil {
			return false
		}
		last := len(st.waiting) - 1
		k := st.waiting[last]
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
func (b *Book) pick(now time.Time, e *entry, st *batch.Step, i int) (best *site) {
	low := 0.0
	for _, s := range b.order {
		if !b.usable(now, s, e, st) || (st.Spread > 0 && count(e, s, i) >= st.Spread) {
			continue
		}
		c := s.Free().Cores - st.Need.Cores
		if st.Near != "" && !slices.Contains(s.Labels, st.Near) {
			c += s.Size.Cores * b.cfg.Far // runs longer there; better than waiting, worse than any near one
		}
		c *= float64(b.health.Slow(s.Addr)) / 100
		if best == nil || c < low {
			best, low = s, c
		}
	}
	return best
}

func (b *Book) usable(now time.Time, s *site, e *entry, st *batch.Step) bool {
	switch {
	case s.lost, !s.Open(), now.Before(s.full), s.giving && !e.begun:
		return false
	case !st.Need.Fits(s.Free()), !fitsLabel(s, st, e.Pool):
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

// forecast predicts how long a new job's tasks wait in all, from what runs and what
// goes before it. It plays the pool as places of the job's own need: each run holds one
// until its expected end, then the waiting tasks take the earliest.
func (b *Book) forecast(now time.Time, e *entry) (wait time.Duration) {
	need := e.Steps[0].Need
	places := b.places(now, need, e.Pool)
	if len(places) == 0 {
		return time.Hour
	}
	take := func(d time.Duration) time.Duration {
		at := places[0]
		i, _ := slices.BinarySearch(places[1:], at+d)
		copy(places[:i], places[1:i+1])
		places[i] = at + d
		return at
	}
	// What is free now is of no use to what waits, or it would have started: a small
	// task goes into a gap that the larger ones before it don't fit.
	first, d := 0, b.expect(e.Job, &e.Steps[0])
	for first < e.Steps[0].Count && places[0] == 0 {
		take(d)
		first++
	}
	for _, q := range b.queue {
		if before(e, q) {
			break
		}
		for i := range q.steps {
			d := b.expect(q.Job, &q.Steps[i])
			for range q.steps[i].waiting {
				take(d)
			}
		}
	}
	last := d
	for i := range e.Steps {
		d := b.expect(e.Job, &e.Steps[i])
		for k := range e.Steps[i].Count {
			if i > 0 || k >= first {
				last = max(last, take(d)+d)
			}
		}
	}
	wait = last - b.chain(e.Job)
	rank := e.Rank
	if e.late {
		rank = ranks
	}
	if rank > 0 && wait > 0 {
		// Work that goes first and comes meanwhile.
		wait = time.Duration(float64(wait) / max(leastShare, 1-b.pressure(now, rank)))
	}
	return wait
}

// leastShare is the smallest share of a pool that lower ranks are thought to get.
const leastShare = 0.25

// places lists when each place for a need comes free, the earliest first.
func (b *Book) places(now time.Time, need job.Size, pool string) (at []time.Duration) {
	for _, s := range b.order {
		if s.lost || s.giving || !s.Open() || s.Pool != pool || b.allowed(now, s) == 0 {
			continue
		}
		for range fits(s.Free(), need) {
			at = append(at, 0)
		}
		room := s.Free()
		room.Cores -= float64(fits(room, need)) * need.Cores
		runs := make([]*lease.Run, 0, len(s.Runs))
		for _, r := range s.Runs {
			runs = append(runs, r)
		}
		slices.SortFunc(runs, func(a, c *lease.Run) int { return int(b.rest(now, a) - b.rest(now, c)) })
		for _, r := range runs { // a place opens when enough has ended
			room.Cores += r.Need.Cores
			if need.Cores <= 0 || room.Cores >= need.Cores {
				room.Cores -= need.Cores
				at = append(at, b.rest(now, r))
			}
		}
	}
	slices.Sort(at)
	return at
}

// rest is how much longer a run is expected to take.
func (b *Book) rest(now time.Time, r *lease.Run) time.Duration {
	e := r.Job.(*entry)
	if r.Stage == lease.Stopping || e.told {
		return b.cfg.Limits.Stop
	}
	d := b.expect(e.Job, &e.Steps[r.Step])
	ran := now.Sub(r.At)
	return max(d-ran, d/5)
}
