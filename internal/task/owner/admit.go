package owner

import (
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/demand"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

const (
	// workDiscount reduces the expected work wherever the objective is proportional to it: a job that
	// turns out shorter than expected has less time to wait. The estimate, combined from the kind's
	// mean and the declared run time, is off by a factor of 1.3 (e^0.28).
	workDiscount = 0.8
	// overhead is the time to send, start, collect and answer a job on a VM with time and bandwidth to
	// spare. answerOverhead is the part of it that isn't spent on sending orders.
	overhead       = 12 * time.Millisecond
	answerOverhead = 8 * time.Millisecond
)

// jobOverhead returns the time that a job takes besides its work and its wait for room.
//
// It depends on the VM's link: at 400 orders a second, a job of sixteen tasks takes 40 ms to start.
// With one constant for all VMs it would be accepted though it can't meet its objective, and its
// orders would delay those behind it: jobs are late while endpoints have room.
func (sc *Scheduler) jobOverhead(e *entry) time.Duration {
	if sc.cfg.OrderDelay == nil {
		return overhead
	}
	return max(overhead, answerOverhead+sc.cfg.OrderDelay(e.Tasks()))
}

// waitBudget returns how long a job's tasks may wait in total for the job to meet its objective.
func (sc *Scheduler) waitBudget(e *entry, now time.Time) time.Duration {
	work := sc.chain(e.Job)
	return time.Duration((e.Stretch-1)*workDiscount*float64(work)) + e.Slack - sc.jobOverhead(e) - e.Waited - now.Sub(e.arrived)
}

// lateWaitBudget returns how long the tasks of a job that will miss its objective may wait and its
// answer still be of use. It leaves most of the caller's time, so that the caller can try another VM
// if the job is refused in the end. Time waited before the job arrived here doesn't count: as long as
// there is room, even a late answer is given.
func (sc *Scheduler) lateWaitBudget(e *entry, now time.Time) time.Duration {
	work := sc.chain(e.Job)
	objective := time.Duration(e.Stretch*workDiscount*float64(work)) + e.Slack
	useful := min(maxLateFactor*objective, time.Duration(maxWaitPart*float64(e.deadline.Sub(e.arrived))))
	return useful - work - sc.jobOverhead(e) - now.Sub(e.arrived)
}

// maxLateFactor is how many times its objective a job may take for its answer to be of use.
const maxLateFactor = 3

// maxWaitPart is the part of a caller's time that a job may wait and then be refused.
const maxWaitPart = 0.35

// rankCount is the number of ranks, from 0, whose pressure is measured apart; later ones count as the last.
const rankCount = 4

// workRate is a running mean of the core-seconds of work that arrive per second.
type workRate struct {
	rate float64
	at   time.Time
}

// inflowWindow is the time over which arriving work is averaged: short enough to follow a burst,
// long enough to include several jobs of each rank.
const inflowWindow = 500 * time.Millisecond

// recordArrival counts an arriving job, whether it is accepted or not.
func (sc *Scheduler) recordArrival(now time.Time, e *entry) {
	work := 0.0
	for i := range e.Steps {
		st := &e.Steps[i]
		work += float64(st.Count) * st.Need.Cores * sc.expect(e.Job, st).Seconds()
	}
	sc.needs.add(e.Job)
	sc.usual[min(e.Rank, len(sc.usual)-1)].add(e.Job)
	if sc.needs.changed() {
		sc.updateSlots()
	}
	f := &sc.inflow[min(e.Rank, rankCount-1)]
	f.rate = f.decayed(now) + work/inflowWindow.Seconds()
	f.at = now
}

func (f *workRate) decayed(now time.Time) float64 {
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/inflowWindow.Seconds())
}

// pressure returns the part of the pool that arriving work of ranks before the given one will occupy.
func (sc *Scheduler) pressure(now time.Time, rank int) float64 {
	if sc.isShared() {
		return sc.cfg.Pressure(now, rank)
	}
	total, incoming := sc.usableCores(), 0.0
	for r := range min(rank, rankCount) {
		incoming += sc.inflow[r].decayed(now)
	}
	if total == 0 {
		return 0
	}
	return incoming / (total * (1 - sc.heldByLater(rank)))
}

// usableCores returns how many cores tasks can fill.
func (sc *Scheduler) usableCores() (total float64) {
	for _, s := range sc.order {
		if !s.lost && !s.handingOver && s.Open() && !sc.isSlow(s) {
			total += sc.needs.fill(s.Size) * s.speed
		}
	}
	return total
}

// forecast predicts how long a new job's tasks wait in total, from what runs and what is queued
// before it. It simulates the pool as places of the job's own need: each run occupies one until its
// expected end, then the waiting tasks take the earliest.
func (sc *Scheduler) forecast(now time.Time, e *entry) (wait time.Duration) {
	if e.Steps[0].Gang {
		return sc.underPressure(now, e, sc.forecastGang(now, e))
	}
	need := e.Steps[0].Need
	places := sc.places(now, need, e)
	if len(places) == 0 {
		return time.Hour
	}
	places = sc.withoutShares(now, e, places)
	// Waiting tasks can't use the room that is free now, or they would have started: a small
	// task fits into a gap that is too small for the larger ones before it.
	first, d := 0, sc.expect(e.Job, &e.Steps[0])
	last := d
	for first < e.Steps[0].Count && places[0].at == 0 {
		last = max(last, places.occupySoonest(d))
		first++
	}
	for _, q := range sc.queue {
		if before(e, q) {
			break
		}
		for i := range q.steps {
			d := sc.expect(q.Job, &q.Steps[i])
			for range q.steps[i].waiting {
				places.occupyFirst(d)
			}
		}
	}
	for i := range e.Steps {
		d := sc.expect(e.Job, &e.Steps[i])
		for k := range e.Steps[i].Count {
			if i > 0 || k >= first {
				last = max(last, places.occupySoonest(d))
			}
		}
	}
	return sc.limitByShare(now, e, sc.underPressure(now, e, last-sc.chain(e.Job)))
}

// underPressure adds to a job's wait that work of earlier ranks which arrives in the meantime goes first.
func (sc *Scheduler) underPressure(now time.Time, e *entry, wait time.Duration) time.Duration {
	rank := e.Rank
	if e.late {
		rank = rankCount
	}
	if rank > 0 && wait > 0 {
		wait = time.Duration(float64(wait) / max(minShare, 1-sc.reserve()*sc.pressure(now, rank)))
	}
	return wait
}

// sharedReserve is how many times the pressure that all VMs share counts in a forecast. Jobs arrive at random, and those
// of the same rank with earlier objectives pass too. With 1, more jobs are late under heavy load than without the view (293
// and 263 of 9,541), and with 2 fewer are in time (7,242; 7,395 with 1.5). Between 1.2 and 1.5 more worth is earned with
// more and more jobs are in time with less (15 VMs, 175 endpoints, one seed: 0.617 and 3,913 to 0.623 and 3,775 of 5,649).
const sharedReserve = 1.35

// reserve is how many times the pressure counts in a forecast. A pressure that is counted at this owner alone reads too
// high under overload, since each owner that refuses a job counts it.
func (sc *Scheduler) reserve() float64 {
	if sc.isShared() {
		return sharedReserve
	}
	return 1
}

// minShare is the smallest share of a pool that later ranks are assumed to get.
const minShare = 0.25

// places lists when each place for a task of this need becomes free, the earliest first.
func (sc *Scheduler) places(now time.Time, need job.Size, e *entry) (all placeList) {
	for _, s := range sc.order {
		if s.lost || s.handingOver || !s.Open() || s.Pool != e.Pool || sc.maxRuns(now, s) == 0 || (!e.late && sc.isSlow(s)) {
			continue
		}
		for range fitCount(s.Free(), need) {
			all = append(all, place{0, s.speed})
		}
		room := s.Free()
		room.Cores -= float64(fitCount(room, need)) * need.Cores
		runs := make([]*lease.Run, 0, len(s.Runs))
		for _, r := range s.Runs {
			runs = append(runs, r)
		}
		slices.SortFunc(runs, func(a, c *lease.Run) int { return int(sc.remaining(now, a) - sc.remaining(now, c)) })
		for _, r := range runs { // a place becomes free when enough runs have ended
			room.Cores += r.Need.Cores
			if need.Cores <= 0 || room.Cores >= need.Cores {
				room.Cores -= need.Cores
				all = append(all, place{sc.remaining(now, r), s.speed})
			}
		}
	}
	slices.SortFunc(all, place.compare)
	return all
}

// remaining returns how much longer a run is expected to take.
func (sc *Scheduler) remaining(now time.Time, r *lease.Run) time.Duration {
	e := r.Job.(*entry)
	if r.Stage == lease.Stopping || e.answered {
		return sc.cfg.Limits.Stop
	}
	d := sc.expect(e.Job, &e.Steps[r.Step])
	if sc.speeds != nil {
		d = sc.expectedHere(e.runs[r], d, r)
	}
	ran := now.Sub(r.SentAt)
	return max(d-ran, d/5)
}

// overloaded reports whether more work arrives than the pool can do while jobs that can still meet
// their objective wait. A job that will miss its objective is then refused as soon as this is known:
// its late answer is worth little, and the places it would occupy would make other jobs late.
func (sc *Scheduler) overloaded(now time.Time) bool {
	limit := overloadPart
	if sc.isShared() {
		limit = demand.Overload
	}
	return sc.pressure(now, rankCount) >= limit && slices.ContainsFunc(sc.queue, func(e *entry) bool { return !e.late })
}

// overloadPart is the pressure, as a part of the pool, from which late jobs are refused. In a 2.5-fold
// burst, 0.70 of the jobs' worth is earned; if late jobs wait for idle room instead, 0.66.
const overloadPart = 1.0
