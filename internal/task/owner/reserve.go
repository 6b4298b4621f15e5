package owner

import (
	"slices"
	"time"
)

// heldByLater returns the part of the cores that ranks after the given one hold or are about to by their shares.
func (sc *Scheduler) heldByLater(rank int) float64 {
	held, cores := 0.0, 0.0
	for _, g := range sc.shares.guarantees {
		if g.rank > rank && rank < rankCount {
			held += min(g.target(), g.used+g.waiting)
			cores = max(cores, g.cores)
		}
	}
	if cores == 0 {
		return 0
	}
	return min(maxHeld, held/cores)
}

// maxHeld is what the shares add up to at most; see serve.Options.
const maxHeld = 0.9

// withoutShares delays the places that later ranks with a share take before a job's tasks: while their work waits, they
// get those that lack to their share, and keep those in which their runs end.
func (sc *Scheduler) withoutShares(now time.Time, e *entry, places placeList) placeList {
	if len(sc.shares.guarantees) == 0 || e.late {
		return places
	}
	need := e.Steps[0].Need.Cores
	for _, g := range sc.shares.guarantees {
		if g.rank <= e.Rank || g.pool != e.Pool || need <= 0 {
			continue
		}
		sc.recount(g)
		tasks, run := sc.waitingFor(g)
		first, _ := slices.BinarySearchFunc(places, place{at: 1}, place.compare) // what is free now is too small for them, or they would have started
		var held []int
		for i := range min(tasks, g.lacking(need), len(places)-first) {
			held = append(held, first+i)
		}
		for _, at := range sc.kept(now, g, need, tasks-len(held)) {
			if i := slices.IndexFunc(places, func(p place) bool { return p.at == at }); i >= 0 && !slices.Contains(held, i) {
				held = append(held, i)
			}
		}
		for n, i := range held { // the waiting tasks run there one after the other
			places[i].at += run * time.Duration((tasks+len(held)-1-n)/len(held))
		}
		slices.SortFunc(places, place.compare)
	}
	return places
}

// waitingFor returns how many tasks of a rank wait in time, and how long the first of them is expected to run.
func (sc *Scheduler) waitingFor(g *guarantee) (tasks int, run time.Duration) {
	for _, e := range sc.queue {
		if !g.serves(e) {
			continue
		}
		for i := range e.steps {
			tasks += len(e.steps[i].waiting)
		}
		if run == 0 {
			run = sc.expect(e.Job, &e.Steps[0])
		}
	}
	return tasks, run
}

// kept lists when runs of a rank are expected to end whose places go to the rank again, up to a number of them. Those
// above what it is given go to others first.
func (sc *Scheduler) kept(now time.Time, g *guarantee, need float64, most int) (ends []time.Duration) {
	for _, s := range sc.order {
		if s.Pool != g.pool || s.lost || s.handingOver || !s.Open() {
			continue
		}
		for _, r := range s.Runs {
			if r.Job.(*entry).Rank == g.rank {
				ends = append(ends, sc.remaining(now, r))
			}
		}
	}
	slices.Sort(ends)
	excess := min(len(ends), max(0, int((g.used-g.target())/need+0.5)))
	ends = ends[excess:]
	return ends[:min(len(ends), max(0, most))]
}

// limitByShare returns how long a new job's tasks wait at most, if its rank has a share: they need not wait for earlier
// ranks in the places that the share gives them.
func (sc *Scheduler) limitByShare(now time.Time, e *entry, wait time.Duration) time.Duration {
	i := slices.IndexFunc(sc.shares.guarantees, func(g *guarantee) bool { return g.serves(e) })
	if i < 0 || wait <= 0 || len(e.Steps) > 1 {
		return wait
	}
	g := sc.shares.guarantees[i]
	need := e.Steps[0].Need
	sc.recount(g)
	places := sc.places(now, need, e)
	own := sc.kept(now, g, need.Cores, len(places))
	for _, p := range places[:min(len(places), g.lacking(need.Cores))] {
		own = append(own, p.at)
	}
	if len(own) == 0 {
		return wait
	}
	slices.Sort(own)
	take := func(d time.Duration) time.Duration {
		at := own[0]
		k, _ := slices.BinarySearch(own[1:], at+d)
		copy(own[:k], own[1:k+1])
		own[k] = at + d
		return at
	}
	for _, q := range sc.queue {
		if !g.serves(q) || before(e, q) {
			continue
		}
		for k := range q.steps {
			d := sc.expect(q.Job, &q.Steps[k])
			for range q.steps[k].waiting {
				take(d)
			}
		}
	}
	last, d := time.Duration(0), sc.expect(e.Job, &e.Steps[0])
	for range e.Steps[0].Count {
		last = max(last, take(d))
	}
	return min(wait, last)
}
