package model

import (
	"slices"
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

// endpoint has a slow clock and one lease for all its runs. At most one run belongs to the job.
type endpoint struct {
	w       *world
	id      string
	fence   uint64
	until   int64 // end of the lease by the endpoint's clock
	runs    []*activeRun
	lastNum map[string]int // task -> highest run number that ended or was stopped
	ended   []lease.Ended  // not acknowledged yet
	serial  int64
	boot    time.Duration // when its process started
	cutTill time.Time     // until when no VM reaches it
}

type activeRun struct {
	lease.RunID
	submission int // number of the VM that runs its job
	started    time.Time
	due        time.Time
}

// find returns the run of a task, or nil.
func (e *endpoint) find(task string) *activeRun {
	for _, r := range e.runs {
		if r.Task == task {
			return r
		}
	}
	return nil
}

// percent returns a run's progress.
func (r *activeRun) percent(now time.Time) int {
	return int(100 * now.Sub(r.started) / r.due.Sub(r.started))
}

// clockRate is the speed of an endpoint's clock relative to real time.
const clockRate = 0.98

func (e *endpoint) clock() int64 {
	return 1000 + int64(clockRate*float64((e.w.since()-e.boot).Milliseconds()))
}

// restart starts the endpoint anew under its ID.
func (e *endpoint) restart() {
	e.w.record("endpoint %s restarts", e.id)
	e.boot = e.w.since()
	e.fence, e.until, e.serial, e.runs, e.ended, e.lastNum = 0, 0, 0, nil, nil, map[string]int{}
}

// cutOff cuts the endpoint off from the VMs for longer than a lease. Orders under way are lost: one from before its
// restart that arrives after it can't be refused.
func (e *endpoint) cutOff() {
	e.w.record("endpoint %s is cut off", e.id)
	e.w.events = slices.DeleteFunc(e.w.events, func(x event) bool { return x.to == e })
	e.w.cut = true
	e.cutTill = e.w.now.Add(longPause)
}

func (e *endpoint) isCutOff() bool { return e.w.now.Before(e.cutTill) }

func (e *endpoint) checkFence(fence uint64) error {
	if fence < e.fence {
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.fence = fence
	return nil
}

func (e *endpoint) start(s agent.Start, submission int) error {
	if err := e.checkFence(s.Fence); err != nil {
		return err
	}
	if s.Until <= e.clock() {
		return &agent.RefusedError{Why: agent.LeaseExpired}
	}
	e.extend(s.Until)
	r := e.find(s.Name.Task)
	switch {
	case r != nil && r.RunID == s.Name:
		return nil
	case s.Name.Num <= e.lastNum[s.Name.Task]:
		return &agent.RefusedError{Why: agent.Superseded}
	case r != nil:
		return &agent.RefusedError{Why: agent.NoRoom}
	}
	e.runs = append(e.runs, &activeRun{s.Name, submission, e.w.now, e.w.now.Add(e.w.runTime(s.Name.Task))})
	switch {
	case e.w.onStart != nil:
		e.w.onStart(e, s.Name)
	case s.Name.Task == theTask:
		e.w.checkStart(e, s.Name, submission)
	}
	return nil
}

func (e *endpoint) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+hold.Milliseconds()))
}

func (e *endpoint) stop(n lease.RunID, fence uint64) error {
	if err := e.checkFence(fence); err != nil {
		return err
	}
	e.lastNum[n.Task] = max(e.lastNum[n.Task], n.Num)
	if r := e.find(n.Task); r != nil && r.RunID == n {
		e.endRun(r, lease.Gone)
	}
	return nil
}

func (e *endpoint) endRun(r *activeRun, how lease.EndState) {
	e.serial++
	e.ended = append(e.ended, lease.Ended{Serial: e.serial, Name: r.Task, Num: r.Num, State: how})
	e.lastNum[r.Task] = max(e.lastNum[r.Task], r.Num)
	e.runs = slices.DeleteFunc(e.runs, func(x *activeRun) bool { return x == r })
}

// endRuns ends runs that are done or whose lease has expired.
func (e *endpoint) endRuns() {
	for _, r := range slices.Clone(e.runs) {
		switch {
		case e.clock() >= e.until:
			e.endRun(r, lease.Gone)
		case !e.w.now.Before(r.due):
			e.endRun(r, lease.Done)
		}
	}
}

func (e *endpoint) renew(o agent.Renew) (lease.Report, error) {
	if err := e.checkFence(o.Fence); err != nil {
		return lease.Report{}, err
	}
	for len(e.ended) > 0 && e.ended[0].Serial <= o.Cursor {
		e.ended = e.ended[1:]
	}
	if o.Until > 0 {
		e.extend(o.Until)
	}
	r := lease.Report{Clock: e.clock(), Born: epoch.Add(e.boot).UnixMilli(), Ended: append([]lease.Ended(nil), e.ended...)}
	for _, x := range e.runs {
		r.Running = append(r.Running, lease.Listed{Name: x.Task, Num: x.Num, Percent: x.percent(e.w.now)})
	}
	return r, nil
}
