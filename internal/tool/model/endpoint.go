package model

import (
	"slices"
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

// endpoint has one lease for all its runs, of which one at a time is of the job, and a slow clock.
type endpoint struct {
	w      *world
	id     string
	fence  uint64
	until  int64 // of the lease, on its own clock
	runs   []*running
	past   map[string]int
	ends   []lease.Ended
	serial int64
}

type running struct {
	lease.Name
	of    int // the submission
	began time.Time
	due   time.Time
}

// find returns the run of a task, or nil.
func (e *endpoint) find(task string) *running {
	for _, r := range e.runs {
		if r.Task == task {
			return r
		}
	}
	return nil
}

// percent is how much of its work a run has done.
func (r *running) percent(now time.Time) int { return int(100 * now.Sub(r.began) / r.due.Sub(r.began)) }

// slowClock is the part of the time that an endpoint's clock counts.
const slowClock = 0.98

func (e *endpoint) clock() int64 { return 1000 + int64(slowClock*float64(e.w.since().Milliseconds())) }

func (e *endpoint) obey(fence uint64) error {
	if fence < e.fence {
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.fence = fence
	return nil
}

func (e *endpoint) start(s agent.Start, of int) error {
	if err := e.obey(s.Fence); err != nil {
		return err
	}
	if s.Until <= e.clock() {
		return &agent.RefusedError{Why: agent.Late}
	}
	e.extend(s.Until)
	r := e.find(s.Name.Task)
	switch {
	case r != nil && r.Name == s.Name:
		return nil
	case s.Name.Num <= e.past[s.Name.Task]:
		return &agent.RefusedError{Why: agent.Old}
	case r != nil:
		return &agent.RefusedError{Why: agent.NoRoom}
	}
	e.runs = append(e.runs, &running{s.Name, of, e.w.now, e.w.now.Add(e.w.takes(s.Name.Task))})
	if s.Name.Task == theTask {
		e.w.began(e, s.Name, of)
	}
	return nil
}

func (e *endpoint) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+hold.Milliseconds()))
}

func (e *endpoint) stop(n lease.Name, fence uint64) error {
	if err := e.obey(fence); err != nil {
		return err
	}
	e.past[n.Task] = max(e.past[n.Task], n.Num)
	if r := e.find(n.Task); r != nil && r.Name == n {
		e.over(r, lease.Gone)
	}
	return nil
}

func (e *endpoint) over(r *running, how lease.How) {
	e.serial++
	e.ends = append(e.ends, lease.Ended{Serial: e.serial, Name: r.Task, Num: r.Num, How: how})
	e.past[r.Task] = max(e.past[r.Task], r.Num)
	e.runs = slices.DeleteFunc(e.runs, func(x *running) bool { return x == r })
}

// live ends what is done and what has lost its lease.
func (e *endpoint) live() {
	for _, r := range slices.Clone(e.runs) {
		switch {
		case e.clock() >= e.until:
			e.over(r, lease.Gone)
		case !e.w.now.Before(r.due):
			e.over(r, lease.Done)
		}
	}
}

func (e *endpoint) renew(o agent.Renew) (lease.Report, error) {
	if err := e.obey(o.Fence); err != nil {
		return lease.Report{}, err
	}
	for len(e.ends) > 0 && e.ends[0].Serial <= o.Cursor {
		e.ends = e.ends[1:]
	}
	if o.Until > 0 {
		e.extend(o.Until)
	}
	r := lease.Report{Clock: e.clock(), Ended: append([]lease.Ended(nil), e.ends...)}
	for _, x := range e.runs {
		r.Running = append(r.Running, lease.Listed{Name: x.Task, Num: x.Num, Percent: x.percent(e.w.now)})
	}
	return r, nil
}
