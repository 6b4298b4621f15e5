package fakes

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Work describes how a task runs on a leased endpoint.
type Work struct {
	Need job.Size
	Run  time.Duration
	Fail bool // it fails on every endpoint
	// Crash makes it crash every endpoint that starts it.
	Crash bool
	Gang  *Gang // shared by the tasks that it works with, nil if it works alone
}

// Observer is notified of the runs on leased endpoints; the checker implements it.
type Observer interface {
	// Work returns the description of a task.
	Work(task string) Work
	RunStarted(at time.Time, ep, task string, num int)
	RunEnded(at time.Time, ep, task string, num int, how lease.EndState)
}

// Behavior is how a leased endpoint behaves.
type Behavior struct {
	Slow   float64       // run times are multiplied by this factor; 0 means 1
	Fail   bool          // every run fails
	Hang   bool          // runs never finish
	Silent bool          // carries out requests without answering
	Late   float64       // share of requests that are carried out late and not answered
	Delay  time.Duration // how late those are carried out
	Ill    bool          // refuses requests as unhealthy
}

// Leased is a fake endpoint that runs tasks under leases.
type Leased struct {
	lease.Info
	observer Observer
	limits   lease.Limits
	// Crashed is called when a task crashes the endpoint, which answers no call from then on.
	Crashed func()
	// Speed is how fast tasks run here whatever Behavior says; 0 means 1. It is set before the first call.
	Speed float64

	mu         sync.Mutex
	behavior   Behavior
	dead       bool
	down       bool // its process has ended and starts again under the same ID
	afresh     int  // calls of RestartAfresh
	boot       time.Time
	skew       time.Duration
	fence      uint64
	until      time.Time    // end of the lease of all runs
	leaseEnd   atomic.Int64 // the same, Unix nanoseconds, read without the lock
	runs       map[lease.RunID]*running
	highestRun map[string]int // by task, the highest run that was stopped or ended
	ends       []lease.Ended
	serial     int64
	ended      chan struct{}
	r          *rand.Rand
}

type running struct {
	began    time.Time
	duration time.Duration
	need     job.Size
	how      lease.EndState
	timer    *time.Timer
	gang     *Gang
	try      *gangTry // of its gang
}

// NewLeased returns an idle endpoint; its clock differs from ours by skew.
func NewLeased(in lease.Info, limits lease.Limits, board Observer, skew time.Duration, seed uint64) *Leased {
	in.Born = time.Now().UnixMilli()
	return &Leased{
		Info: in, observer: board, limits: limits, boot: time.Now(), skew: skew, runs: map[lease.RunID]*running{},
		highestRun: map[string]int{}, ended: make(chan struct{}), r: rand.New(rand.NewPCG(seed, 5)),
	}
}

// Set changes the endpoint's behavior.
func (e *Leased) Set(m Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = m
}

// Resize changes the endpoint's capacity; current runs continue.
func (e *Leased) Resize(s job.Size) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Size = s
}

// CurrentInfo returns the endpoint's description with its current capacity.
func (e *Leased) CurrentInfo() lease.Info {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Info
}

// Dead reports whether the endpoint crashed.
func (e *Leased) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Used returns the resources of the current runs.
func (e *Leased) Used() (s job.Size) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used()
}

func (e *Leased) used() (s job.Size) {
	for _, r := range e.runs {
		s.Cores += r.need.Cores
		s.Memory += r.need.Memory
		s.Accels += r.need.Accels
	}
	return s
}

func (e *Leased) clock() int64 { return (time.Since(e.boot) + e.skew + time.Hour).Milliseconds() }

// errNoAnswer is returned for a call that gets no answer.
var errNoAnswer = errors.New("no answer")

// behave applies the endpoint's behavior before a request is carried out.
func (e *Leased) behave(ctx context.Context, late func()) error {
	e.mu.Lock()
	m, down := e.behavior, e.down
	lag := m.Late > 0 && e.r.Float64() < m.Late
	afresh := e.afresh
	e.mu.Unlock()
	switch {
	case down:
		return agent.ErrUnsent
	case m.Silent && e.Dead():
		<-ctx.Done()
		return errNoAnswer
	case m.Ill:
		return &agent.RefusedError{Why: agent.Unhealthy}
	case lag:
		time.AfterFunc(m.Delay, func() {
			e.mu.Lock()
			lost := e.afresh != afresh
			e.mu.Unlock()
			if !lost {
				late()
			}
		})
		<-ctx.Done()
		return errNoAnswer
	default:
		return nil
	}
}

func (e *Leased) answer(ctx context.Context) error {
	e.mu.Lock()
	mute := e.behavior.Silent
	e.mu.Unlock()
	if mute {
		<-ctx.Done()
		return errNoAnswer
	}
	return nil
}

func (e *Leased) checkFence(fence uint64) error {
	if fence < e.fence {
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.fence = fence
	return nil
}

// Start carries out a start request.
func (e *Leased) Start(ctx context.Context, id string, o agent.Start) error {
	if err := e.behave(ctx, func() { _ = e.start(id, o) }); err != nil {
		return err
	}
	if err := e.start(id, o); err != nil {
		return err
	}
	return e.answer(ctx)
}

func (e *Leased) start(id string, o agent.Start) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		return errNoAnswer
	case e.dead || id != e.ID:
		return &agent.RefusedError{Why: agent.WrongInstance}
	case e.checkFence(o.Fence) != nil:
		return &agent.RefusedError{Why: agent.Fenced}
	case o.Until <= e.clock():
		return &agent.RefusedError{Why: agent.LeaseExpired}
	}
	e.extend(o.Until)
	if e.runs[o.Name] != nil {
		return nil
	}
	if o.Name.Num <= e.highestRun[o.Name.Task] {
		return &agent.RefusedError{Why: agent.Superseded}
	}
	w := e.observer.Work(o.Name.Task)
	used := e.used()
	if !w.Need.Fits(job.Size{Cores: e.Size.Cores - used.Cores, Memory: e.Size.Memory - used.Memory, Accels: e.Size.Accels - used.Accels}) {
		return &agent.RefusedError{Why: agent.NoRoom}
	}
	e.begin(o.Name, w)
	return nil
}

func (e *Leased) begin(n lease.RunID, w Work) {
	r := &running{began: time.Now(), duration: w.Run, need: w.Need, how: lease.Done, gang: w.Gang}
	if e.behavior.Slow > 0 {
		r.duration = time.Duration(e.behavior.Slow * float64(r.duration))
	}
	if e.Speed > 0 {
		r.duration = time.Duration(float64(r.duration) / e.Speed)
	}
	if w.Fail || e.behavior.Fail {
		r.how = lease.Failed
		if r.gang == nil {
			r.duration /= 10
		}
	}
	if e.behavior.Hang {
		r.duration = time.Hour
	}
	e.runs[n] = r
	e.observer.RunStarted(r.began, e.ID, n.Task, n.Num)
	if w.Crash {
		time.AfterFunc(r.duration/2, e.crashSilently)
		r.duration = time.Hour
	}
	if r.gang != nil {
		r.timer = time.AfterFunc(time.Hour, func() {})
		r.gang.join(member{e, n, r})
		return
	}
	r.timer = time.AfterFunc(r.duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[n] == r {
			e.end(n, r.how)
		}
	})
}

// end ends a run; the caller holds the lock.
func (e *Leased) end(n lease.RunID, how lease.EndState) {
	r := e.runs[n]
	r.timer.Stop()
	delete(e.runs, n)
	if r.gang != nil {
		how = r.gang.leave(n, r, how)
	}
	e.highestRun[n.Task] = max(e.highestRun[n.Task], n.Num)
	e.serial++
	e.ends = append(e.ends, lease.Ended{Serial: e.serial, Name: n.Task, Num: n.Num, State: how})
	e.observer.RunEnded(time.Now(), e.ID, n.Task, n.Num, how)
	close(e.ended)
	e.ended = make(chan struct{})
}

// Stop carries out a stop request.
func (e *Leased) Stop(ctx context.Context, id string, n lease.RunID, fence uint64) error {
	if err := e.behave(ctx, func() { _ = e.stop(id, n, fence) }); err != nil {
		return err
	}
	if err := e.stop(id, n, fence); err != nil {
		return err
	}
	return e.answer(ctx)
}

func (e *Leased) stop(id string, n lease.RunID, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		return errNoAnswer
	case e.dead || id != e.ID:
		return &agent.RefusedError{Why: agent.WrongInstance}
	case e.checkFence(fence) != nil:
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.highestRun[n.Task] = max(e.highestRun[n.Task], n.Num)
	if r := e.runs[n]; r != nil {
		time.AfterFunc(e.limits.Stop/2, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[n] == r {
				e.end(n, lease.Gone)
			}
		})
	}
	return nil
}

// Renew carries out a renewal and waits up to o.Wait for an ended run.
func (e *Leased) Renew(ctx context.Context, id string, o agent.Renew) (lease.Report, error) {
	if err := e.behave(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.hold(id, o)
	}); err != nil {
		return lease.Report{}, err
	}
	until := time.Now().Add(o.Wait)
	for {
		e.mu.Lock()
		if err := e.hold(id, o); err != nil {
			e.mu.Unlock()
			return lease.Report{}, err
		}
		if len(e.ends) > 0 || !time.Now().Before(until) {
			r := e.report()
			e.mu.Unlock()
			return r, e.answer(ctx)
		}
		news := e.ended
		e.mu.Unlock()
		o.Until = 0
		t := time.NewTimer(time.Until(until))
		select {
		case <-news:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return lease.Report{}, errNoAnswer
		}
		t.Stop()
	}
}

func (e *Leased) hold(id string, o agent.Renew) error {
	switch {
	case e.down:
		return errNoAnswer
	case e.dead || id != e.ID:
		return &agent.RefusedError{Why: agent.WrongInstance}
	case e.checkFence(o.Fence) != nil:
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.ends = slices.DeleteFunc(e.ends, func(x lease.Ended) bool { return x.Serial <= o.Cursor })
	if o.Until > 0 {
		e.extend(o.Until)
	}
	return nil
}

func (e *Leased) report() lease.Report {
	r := lease.Report{Clock: e.clock(), Born: e.boot.UnixMilli(), Ended: slices.Clone(e.ends)}
	for n, x := range e.runs {
		done, since := 0, x.began
		if x.gang != nil {
			since = x.gang.worksSince(x)
		}
		if !e.behavior.Hang && !since.IsZero() {
			done = min(99, int(100*time.Since(since)/max(1, x.duration)))
		}
		r.Running = append(r.Running, lease.Listed{Name: n.Task, Num: n.Num, Percent: done})
	}
	return r
}
