package model

import (
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

// endpoint runs one task at a time under a lease, on a clock that is slow.
type endpoint struct {
	w      *world
	id     string
	fence  uint64
	until  int64 // of the lease, on its own clock
	run    *running
	past   map[string]int
	ends   []lease.Ended
	serial int64
}

type running struct {
	lease.Name
	due time.Time
}

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
	switch {
	case e.run != nil && e.run.Name == s.Name:
		return nil
	case s.Name.Num <= e.past[s.Name.Task]:
		return &agent.RefusedError{Why: agent.Old}
	case e.run != nil:
		return &agent.RefusedError{Why: agent.NoRoom}
	}
	e.run = &running{s.Name, e.w.now.Add(work)}
	e.w.began(e, s.Name, of)
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
	if e.run != nil && e.run.Name == n {
		e.over(lease.Gone)
	}
	return nil
}

func (e *endpoint) over(how lease.How) {
	e.serial++
	e.ends = append(e.ends, lease.Ended{Serial: e.serial, Name: e.run.Task, Num: e.run.Num, How: how})
	e.past[e.run.Task] = max(e.past[e.run.Task], e.run.Num)
	e.run = nil
}

// live ends what is done and what has lost its lease.
func (e *endpoint) live() {
	switch {
	case e.run == nil:
	case e.clock() >= e.until:
		e.over(lease.Gone)
	case !e.w.now.Before(e.run.due):
		e.over(lease.Done)
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
	if e.run != nil {
		r.Running = []lease.Listed{{Name: e.run.Task, Num: e.run.Num, Percent: 50}}
	}
	return r, nil
}
