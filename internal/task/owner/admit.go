package owner

import (
	"math"
	"slices"
	"time"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

const (
	// careful lowers the expected work when the objective grows with it: a job that is
	// shorter than expected has less time to wait. Work is off by a factor of e^0.28
	// after the kind's mean and the declaration are combined.
	careful = 0.8
	// overhead is what sending, starting, collecting and answering take on a VM with time and
	// bandwidth to spare, and answering the part of it that is not the orders'.
	overhead  = 12 * time.Millisecond
	answering = 8 * time.Millisecond
)

// costs is what a job takes beside its work and its wait for room.
//
// What goes wrong with one figure for all VMs: where a link carries 400 orders a second, a job of
// sixteen tasks takes 40 ms to start. It is taken in though its objective can't be met, and its
// orders make those behind it late too. One notices late jobs while endpoints have room.
func (b *Book) costs(e *entry) time.Duration {
	if b.cfg.Orders == nil {
		return overhead
	}
	return max(overhead, answering+b.cfg.Orders(e.Tasks()))
}

// patience is how long a job's tasks may wait in all for it to meet its objective.
func (b *Book) patience(e *entry, now time.Time) time.Duration {
	work := b.chain(e.Job)
	return time.Duration((e.Stretch-1)*careful*float64(work)) + e.Slack - b.costs(e) - e.Waited - now.Sub(e.came)
}

// lastChance is how long the tasks of a job that will miss its objective may wait for
// its answer to be of some use. Most of the time that the caller has is kept: one that is
// refused in the end must still be able to go elsewhere. What it has waited before it came
// does not count: while there is room its answer is given, also late.
func (b *Book) lastChance(e *entry, now time.Time) time.Duration {
	work := b.chain(e.Job)
	aim := time.Duration(e.Stretch*careful*float64(work)) + e.Slack
	useful := min(lateFor*aim, time.Duration(holdPart*float64(e.due.Sub(e.came))))
	return useful - work - b.costs(e) - now.Sub(e.came)
}

// lateFor is up to how many times its objective an answer is of some use.
const lateFor = 3

// holdPart is the part of a caller's time that a job may wait and then be refused.
const holdPart = 0.35

// ranks are told apart when the pressure of more urgent work is measured.
const ranks = 4

// flow is the core-seconds that come per second, as a running mean.
type flow struct {
	rate float64
	at   time.Time
}

// inflowSpan is the time over which arriving work is averaged: short enough to follow
// a burst, long enough to hold several jobs of each rank.
const inflowSpan = 500 * time.Millisecond

// note counts an arriving job, taken or not.
func (b *Book) note(now time.Time, e *entry) {
	work := 0.0
	for i := range e.Steps {
		st := &e.Steps[i]
		work += float64(st.Count) * st.Need.Cores * b.expect(e.Job, st).Seconds()
	}
	b.needs.note(e.Job)
	if b.needs.moved() {
		b.keep()
	}
	f := &b.inflow[min(e.Rank, ranks-1)]
	f.rate = f.decayed(now) + work/inflowSpan.Seconds()
	f.at = now
}

func (f *flow) decayed(now time.Time) float64 {
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/inflowSpan.Seconds())
}

// pressure is the part of the pool that work of higher ranks is about to take.
func (b *Book) pressure(now time.Time, rank int) float64 {
	total, come := 0.0, 0.0
	for _, s := range b.order {
		if !s.lost && !s.giving && s.Open() && !b.crawls(s) {
			total += b.needs.fill(s.Size)
		}
	}
	for r := range min(rank, ranks) {
		come += b.inflow[r].decayed(now)
	}
	if total == 0 {
		return 0
	}
	return come / total
}

// forecast predicts how long a new job's tasks wait in all, from what runs and what
// goes before it. It plays the pool as places of the job's own need: each run holds one
// until its expected end, then the waiting tasks take the earliest.
func (b *Book) forecast(now time.Time, e *entry) (wait time.Duration) {
	need := e.Steps[0].Need
	places := b.places(now, need, e)
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

// places lists when each place for a need of a job comes free, the earliest first.
func (b *Book) places(now time.Time, need job.Size, e *entry) (at []time.Duration) {
	for _, s := range b.order {
		if s.lost || s.giving || !s.Open() || s.Pool != e.Pool || b.allowed(now, s) == 0 || (!e.late && b.crawls(s)) {
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

// crowded reports whether more work comes than the pool can do while jobs in time wait. Then
// a job that will miss its objective is not begun: what is late is worth little, and the
// places that it holds make others late that would be in time. It is refused as soon as
// that is known.
func (b *Book) crowded(now time.Time) bool {
	return b.pressure(now, ranks) >= full && slices.ContainsFunc(b.queue, func(e *entry) bool { return !e.late })
}

// full is the part of the pool from which on late jobs are refused: 0.70 earned in a burst of
// 2.5 times, and 0.66 if they wait for what stays idle.
const full = 1.0
