package owner

import (
	"math"
	"time"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/demand"
	"dahliawinch/internal/task/job"
)

// usualJob is the running mean of a rank's jobs. Its wait is reported to other VMs, which can't see the queue and the
// runs here.
type usualJob struct {
	last  batch.Job // for the queue, pool and objective
	need  job.Size
	tasks float64
	run   float64 // declared seconds
	seen  bool
}

// usualGain is the weight of a new job in the mean: the widths of a queue's jobs vary by a factor of 1.5.
const usualGain = 0.05

func (u *usualJob) add(j *batch.Job) {
	st, tasks := &j.Steps[0], float64(j.Tasks())
	gain := usualGain
	if !u.seen {
		gain, u.seen = 1, true
	}
	u.last = *j
	u.tasks += gain * (tasks - u.tasks)
	u.run += gain * (st.Run.Seconds() - u.run)
	u.need.Cores += gain * (st.Need.Cores - u.need.Cores)
	u.need.Memory += gain * (st.Need.Memory - u.need.Memory)
	u.need.Accels += gain * (st.Need.Accels - u.need.Accels)
}

// job returns a job of mean size.
func (u *usualJob) job() *batch.Job {
	j := u.last
	j.ID, j.Waited, j.Age, j.AskedAt = "", 0, 0, time.Time{}
	j.Steps = []batch.Step{{Count: max(1, int(math.Round(u.tasks))), Need: u.need, Run: time.Duration(u.run * float64(time.Second))}}
	return &j
}

// Room returns how much work the endpoints can take, by rank.
func (sc *Scheduler) Room(now time.Time) (r demand.Room) {
	r.Cores = sc.usableCores()
	for i := range sc.usual {
		u := &sc.usual[i]
		if !u.seen || r.Cores == 0 {
			continue
		}
		e := newEntry(now, Key{}, u.job(), 0, sc.cfg.Limits)
		r.Places[i] = sc.wholePlaces(now, e)
		r.Wait[i] = max(0, sc.forecast(now, e))
	}
	return r
}

// wholePlaces returns how many tasks of a job's first step could start now. A gap that no whole task fits counts for
// nothing, while Load counts it as free cores.
func (sc *Scheduler) wholePlaces(now time.Time, e *entry) (n int) {
	for _, s := range sc.order {
		if sc.usable(now, s, e, &e.Steps[0]) {
			n += fitCount(s.Free(), e.Steps[0].Need)
		}
	}
	return n
}

// Work returns a job's expected work in core-seconds.
func (sc *Scheduler) Work(j *batch.Job) (work float64) {
	for i := range j.Steps {
		st := &j.Steps[i]
		work += float64(st.Count) * st.Need.Cores * sc.expect(j, st).Seconds()
	}
	return work
}

// Budget returns how long the tasks of a job that arrives now may wait for it to meet its objective, and how long for
// its answer to be of use.
func (sc *Scheduler) Budget(now time.Time, j *batch.Job) (inTime, late time.Duration) {
	e := newEntry(now, Key{}, j, sc.chain(j), sc.cfg.Limits)
	return sc.waitBudget(e, now), sc.lateWaitBudget(e, now)
}

// isShared reports whether the pressure comes from the view that all VMs share.
func (sc *Scheduler) isShared() bool { return sc.cfg.Pressure != nil }

// takeTurn reports whether a job whose caller was refused elsewhere is served although it will miss its objective. It
// then goes before later jobs of its rank.
func (sc *Scheduler) takeTurn(now time.Time, e *entry) bool {
	if !sc.isShared() || e.Waited <= 0 {
		return false
	}
	e.late = false
	if sc.forecast(now, e) <= sc.lateWaitBudget(e, now) && sc.turns[min(e.Rank, demand.Ranks-1)].Take(now, e.arrived.Add(-e.Waited)) {
		e.turn = true
		return true
	}
	e.late = true
	return false
}

// countTurn counts an accepted job for the turns of its rank.
func (sc *Scheduler) countTurn(e *entry) {
	if sc.isShared() && !e.turn {
		sc.turns[min(e.Rank, demand.Ranks-1)].Admit()
	}
}
