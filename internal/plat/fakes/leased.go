package fakes

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Work says how a task runs on a leased endpoint.
type Work struct {
	Need job.Size
	Run  time.Duration
	Fail bool // it fails on whatever endpoint
	// Crash says that it crashes whatever endpoint starts it.
	Crash bool
}

// Board sees what leased endpoints do; the checker implements it.
type Board interface {
	// Work tells what a task is.
	Work(task string) Work
	Began(at time.Time, ep, task string, num int)
	Over(at time.Time, ep, task string, num int, how lease.How)
}

// Manners are how a leased endpoint behaves.
type Manners struct {
	Slow  float64       // runs so many times longer; 0 for as usual
	Fail  bool          // fails all it starts
	Hang  bool          // what it starts stands still
	Mute  bool          // reads orders and answers nothing
	Late  float64       // share of orders that are carried out late and not answered
	Delay time.Duration // by how much
	Ill   bool          // refuses orders as unhealthy
}

// Leased is the stand-in for an endpoint that runs tasks under leases.
type Leased struct {
	lease.Info
	board  Board
	limits lease.Limits
	// Crashed is told when a task crashed the endpoint, which answers nothing from then on.
	Crashed func()

	mu      sync.Mutex
	manners Manners
	dead    bool
	boot    time.Time
	skew    time.Duration
	fence   uint64
	until   time.Time // of the lease of all that runs
	runs    map[lease.Name]*running
	past    map[string]int // highest run of a task that was stopped or ended
	ends    []lease.Ended
	serial  int64
	news    chan struct{}
	r       *rand.Rand
}

type running struct {
	began time.Time
	takes time.Duration
	need  job.Size
	how   lease.How
	timer *time.Timer
}

// NewLeased returns an idle endpoint; its clock differs from ours by skew.
func NewLeased(in lease.Info, limits lease.Limits, board Board, skew time.Duration, seed uint64) *Leased {
	return &Leased{
		Info: in, board: board, limits: limits, boot: time.Now(), skew: skew, runs: map[lease.Name]*running{},
		past: map[string]int{}, news: make(chan struct{}), r: rand.New(rand.NewPCG(seed, 5)),
	}
}

// Set changes the endpoint's manners.
func (e *Leased) Set(m Manners) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.manners = m
}

// Resize changes what the endpoint has room for; what runs goes on.
func (e *Leased) Resize(s job.Size) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Size = s
}

// Known is what the endpoint is known as, with the room that it has now.
func (e *Leased) Known() lease.Info {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Info
}

// Crash ends the endpoint and all that runs there; it reports false for one that had crashed before.
func (e *Leased) Crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return false
	}
	e.dead = true
	for n := range e.runs {
		e.end(n, lease.Gone)
	}
	return true
}

// fall ends the endpoint as a task that crashes it does: whoever asks hears nothing until another
// life answers at its address.
func (e *Leased) fall() {
	if !e.Crash() {
		return
	}
	e.mu.Lock()
	e.manners.Mute = true
	e.mu.Unlock()
	if e.Crashed != nil {
		e.Crashed()
	}
}

// Wake lets calls to a dead endpoint be answered by another life at its address.
func (e *Leased) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.manners.Mute = false
}

// Dead reports whether the endpoint crashed.
func (e *Leased) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Used is what runs here now.
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

// errMute stands for a call that gets no answer.
var errMute = errors.New("no answer")

// behave plays the endpoint's manners before an order is carried out.
func (e *Leased) behave(ctx context.Context, late func()) error {
	e.mu.Lock()
	m := e.manners
	lag := m.Late > 0 && e.r.Float64() < m.Late
	e.mu.Unlock()
	switch {
	case m.Mute && e.Dead():
		<-ctx.Done()
		return errMute
	case m.Ill:
		return &agent.RefusedError{Why: agent.Ill}
	case lag:
		time.AfterFunc(m.Delay, late)
		<-ctx.Done()
		return errMute
	default:
		return nil
	}
}

func (e *Leased) answer(ctx context.Context) error {
	e.mu.Lock()
	mute := e.manners.Mute
	e.mu.Unlock()
	if mute {
		<-ctx.Done()
		return errMute
	}
	return nil
}

func (e *Leased) obey(fence uint64) error {
	if fence < e.fence {
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.fence = fence
	return nil
}

// Start carries out a start.
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
	case e.dead || id != e.ID:
		return &agent.RefusedError{Why: agent.Dead}
	case e.obey(o.Fence) != nil:
		return &agent.RefusedError{Why: agent.Fenced}
	case o.Until <= e.clock():
		return &agent.RefusedError{Why: agent.Late}
	}
	e.extend(o.Until)
	if e.runs[o.Name] != nil {
		return nil
	}
	if o.Name.Num <= e.past[o.Name.Task] {
		return &agent.RefusedError{Why: agent.Old}
	}
	w := e.board.Work(o.Name.Task)
	used := e.used()
	if !w.Need.Fits(job.Size{Cores: e.Size.Cores - used.Cores, Memory: e.Size.Memory - used.Memory, Accels: e.Size.Accels - used.Accels}) {
		return &agent.RefusedError{Why: agent.NoRoom}
	}
	e.begin(o.Name, w)
	return nil
}

func (e *Leased) begin(n lease.Name, w Work) {
	r := &running{began: time.Now(), takes: w.Run, need: w.Need, how: lease.Done}
	if e.manners.Slow > 0 {
		r.takes = time.Duration(e.manners.Slow * float64(r.takes))
	}
	if w.Fail || e.manners.Fail {
		r.how, r.takes = lease.Failed, r.takes/10
	}
	if e.manners.Hang {
		r.takes = time.Hour
	}
	e.runs[n] = r
	e.board.Began(r.began, e.ID, n.Task, n.Num)
	if w.Crash {
		time.AfterFunc(r.takes/2, e.fall)
		r.takes = time.Hour
	}
	r.timer = time.AfterFunc(r.takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[n] == r {
			e.end(n, r.how)
		}
	})
}

// end takes a run off; the caller holds the lock.
func (e *Leased) end(n lease.Name, how lease.How) {
	r := e.runs[n]
	r.timer.Stop()
	delete(e.runs, n)
	e.past[n.Task] = max(e.past[n.Task], n.Num)
	e.serial++
	e.ends = append(e.ends, lease.Ended{Serial: e.serial, Name: n.Task, Num: n.Num, How: how})
	e.board.Over(time.Now(), e.ID, n.Task, n.Num, how)
	close(e.news)
	e.news = make(chan struct{})
}

// extend renews the lease, which is at most the longest and never gets shorter.
func (e *Leased) extend(until int64) {
	left := min(time.Duration(until-e.clock())*time.Millisecond, e.limits.Hold)
	if at := time.Now().Add(left); at.After(e.until) {
		e.until = at
	}
	time.AfterFunc(time.Until(e.until)+time.Millisecond, e.lapse)
}

func (e *Leased) lapse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.until) {
		return
	}
	for n := range e.runs {
		e.end(n, lease.Gone)
	}
}

// Stop carries out a stop.
func (e *Leased) Stop(ctx context.Context, id string, n lease.Name, fence uint64) error {
	if err := e.behave(ctx, func() { _ = e.stop(id, n, fence) }); err != nil {
		return err
	}
	if err := e.stop(id, n, fence); err != nil {
		return err
	}
	return e.answer(ctx)
}

func (e *Leased) stop(id string, n lease.Name, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.dead || id != e.ID:
		return &agent.RefusedError{Why: agent.Dead}
	case e.obey(fence) != nil:
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.past[n.Task] = max(e.past[n.Task], n.Num)
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

// Renew answers a renewal, waiting for an end if asked to.
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
		news := e.news
		e.mu.Unlock()
		o.Until = 0
		t := time.NewTimer(time.Until(until))
		select {
		case <-news:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return lease.Report{}, errMute
		}
		t.Stop()
	}
}

func (e *Leased) hold(id string, o agent.Renew) error {
	switch {
	case e.dead || id != e.ID:
		return &agent.RefusedError{Why: agent.Dead}
	case e.obey(o.Fence) != nil:
		return &agent.RefusedError{Why: agent.Fenced}
	}
	e.ends = slices.DeleteFunc(e.ends, func(x lease.Ended) bool { return x.Serial <= o.Cursor })
	if o.Until > 0 {
		e.extend(o.Until)
	}
	return nil
}

func (e *Leased) report() lease.Report {
	r := lease.Report{Clock: e.clock(), Ended: slices.Clone(e.ends)}
	for n, x := range e.runs {
		done := 0
		if !e.manners.Hang {
			done = min(99, int(100*time.Since(x.began)/max(1, x.takes)))
		}
		r.Running = append(r.Running, lease.Listed{Name: n.Task, Num: n.Num, Percent: done})
	}
	return r
}
