package owner

import (
	"slices"
	"time"

	"dahliawinch/internal/task/fill"
	"dahliawinch/internal/task/learn"
)

// candidate is a waiting task that could start in a room.
type candidate struct {
	*entry
	step int
}

// startFiller starts a task of a later job in the room on s that the next task of a step would take, if that leaves
// less of the room unused and the job can wait. It returns whether it did.
func (sc *Scheduler) startFiller(now time.Time, e *entry, i int, s *endpoint) bool {
	st := &e.Steps[i]
	if !unconstrained(st) || st.Near != "" || e.passed >= fill.MaxPassed || !sc.canWait(now, e, i) {
		return false
	}
	all, tasks := sc.fillCandidates(now, candidate{e, i}, s)
	n := fill.Choose(s.Free(), tasks)
	if n <= 0 {
		return false
	}
	chosen := all[n]
	room, left := s.Free().Cores, s.Free().Cores-tasks[n].Need.Cores
	for _, c := range all[:n] { // all candidates fit
		c.passed++
		sc.cfg.Log.Info("job passed over", "job", c.ID, "by", chosen.ID, "endpoint", s.ID, "room", round2(room), "left", round2(left), "times", c.passed,
			"until_objective", c.objective.Sub(now).Round(time.Millisecond))
	}
	waiting := &chosen.steps[chosen.step].waiting
	last := len(*waiting) - 1
	k := (*waiting)[last]
	*waiting = (*waiting)[:last]
	sc.start(now, chosen.entry, chosen.step, k, s)
	return true
}

// fillCandidates returns the first candidate and those behind it in the queue of the same rank and lateness whose next
// task could start on s, up to the first that nothing may pass over.
func (sc *Scheduler) fillCandidates(now time.Time, first candidate, s *endpoint) (all []candidate, tasks []fill.Task) {
	at := slices.Index(sc.queue, first.entry)
	if at < 0 {
		return nil, nil
	}
	for n, e := range sc.queue[at:min(len(sc.queue), at+fill.Window)] {
		if e.Rank != first.Rank || e.late != first.late {
			break
		}
		i := first.step
		if n > 0 {
			i = sc.fillStep(now, e, s)
		}
		if i < 0 {
			continue
		}
		t := fill.Task{Need: e.Steps[i].Need, Passed: e.passed, Urgent: !sc.canWait(now, e, i)}
		all, tasks = append(all, candidate{e, i}), append(tasks, t)
		if t.Urgent {
			break
		}
	}
	return all, tasks
}

// fillStep returns the step of a job whose next task could start on s out of turn; -1 if there is none. Tasks with rules
// of their own for where they start keep to the queue.
func (sc *Scheduler) fillStep(now time.Time, e *entry, s *endpoint) int {
	if !e.fresh(now) {
		return -1
	}
	for i := range e.steps {
		st := &e.steps[i]
		if len(st.waiting) == 0 || !e.ready(i) {
			continue
		}
		k := st.waiting[len(st.waiting)-1]
		if !unconstrained(&e.Steps[i]) || e.Steps[i].Near != "" || st.failures[k] > 0 || !sc.usable(now, s, e, &e.Steps[i]) {
			continue
		}
		if name := e.task(i, k).String(); sc.awaitsVerdict(name) || (sc.anySuspects() && !sc.mayShare(s, e, &e.Steps[i], name)) {
			continue
		}
		return i
	}
	return -1
}

// canWait reports whether a job still meets its objective if its tasks start one run of its kind later; one that is late
// anyway, whether its answer is then still of use.
func (sc *Scheduler) canWait(now time.Time, e *entry, i int) bool {
	run := sc.learn.Expect(learn.Key{Tenant: e.Pool, Kind: e.Queue}, e.Steps[i].Run).Mean
	if e.late {
		return sc.lateWaitBudget(e, now) >= run
	}
	return sc.waitBudget(e, now) >= run
}

// offered returns the free cores of an endpoint that count as room. A gap that is smaller than the tasks seen lately
// would attract jobs that can't use it.
func (sc *Scheduler) offered(s *endpoint) float64 {
	free := max(0, s.Free().Cores)
	if sc.cfg.Fill && free < sc.needs.least {
		return 0
	}
	return free
}

// Unused returns the cores that are free while jobs wait.
func (sc *Scheduler) Unused() float64 {
	if len(sc.queue) == 0 {
		return 0
	}
	return sc.freeCores()
}
