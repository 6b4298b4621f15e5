package model

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// The bounds of a play.
const (
	step    = 50 * time.Millisecond
	horizon = 4 * time.Second
	work    = 200 * time.Millisecond // of the one task
	hold    = time.Second            // longest lease
	pause   = 1500 * time.Millisecond
	soon    = 150 * time.Millisecond // a late order comes after so long,
	late    = 2 * time.Second        // or so long
	silent  = time.Second            // after which another VM takes over
	again   = 1300 * time.Millisecond
	left    = 3 * time.Second
	tries   = 2 // of a start, and of a stop
)

// Fault leaves out one clause of the product, to show that the exploration needs it.
type Fault int

// The clauses that can be left out.
const (
	None          Fault = iota
	RefusalProves       // a refusal after an unanswered start counts for both orders
	DoubtIsOver         // an unanswered start counts as one that never began
	SameFence           // the next owner takes the fence of the former
	SilenceIsEnd        // what runs on a silent endpoint counts as over at once
)

var errLost = errors.New("no answer")

// world is two VMs that own the same two endpoints one after the other, and a caller that
// submits a job of one task, and again elsewhere if its VM falls silent.
type world struct {
	*chooser
	fault  Fault
	now    time.Time
	ends   []*endpoint
	vms    []*vm
	later  []event
	broken []string
	trace  []string
	begun  [2]bool // of each submission
	done   bool    // a caller has its whole answer
}

// event is an order that is on its way.
type event struct {
	at time.Time
	do func()
}

// vm is an owner and its caller's job.
type vm struct {
	w      *world
	n      int
	book   *owner.Book
	fence  uint64
	until  time.Time // it pauses
	dead   bool
	asked  bool
	answer *job.Answer
}

var epoch = time.Unix(1_700_000_000, 0)

func newWorld(c *chooser, f Fault) *world {
	w := &world{chooser: c, fault: f, now: epoch}
	for i := range 2 {
		w.ends = append(w.ends, &endpoint{w: w, id: string(rune('a' + i)), past: map[string]int{}})
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		w.vms = append(w.vms, &vm{w: w, n: i, fence: 7 + uint64(i), book: owner.New(owner.Config{
			Limits: lease.Limits{Hold: hold, Stop: step}, Far: 2, Log: log,
		})})
	}
	if f == SameFence {
		w.vms[1].fence = w.vms[0].fence
	}
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(epoch) }

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%4d ms ", w.since().Milliseconds())+fmt.Sprintf(format, args...))
}

func (w *world) breaks(format string, args ...any) {
	w.note(format, args...)
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// began checks a run that begins for a submission.
func (w *world) began(e *endpoint, n lease.Name, of int) {
	w.note("endpoint %s begins run %d for VM %d", e.id, n.Num, of)
	w.begun[of] = true
	for _, o := range w.ends {
		if o != e && o.run != nil && o.run.Task == n.Task {
			w.breaks("two runs at the same time, on %s and %s", o.id, e.id)
		}
	}
	if w.done {
		w.breaks("a run begins after the job was done")
	}
	if a := w.vms[of].answer; a != nil && a.Outcome == job.Refused {
		w.breaks("a run begins after VM %d said that the job did not run", of)
	}
}

// play runs the world to its end.
func (w *world) play() {
	w.vms[0].own()
	for w.since() < horizon && len(w.broken) == 0 {
		w.tick()
		if w.settled() {
			return
		}
		w.now = w.now.Add(step)
	}
	for _, e := range w.ends {
		if e.run != nil && len(w.broken) == 0 {
			w.breaks("a run goes on for nobody on %s", e.id)
		}
	}
}

// settled reports whether nothing can happen any more.
func (w *world) settled() bool {
	return w.done && len(w.later) == 0 && w.ends[0].run == nil && w.ends[1].run == nil
}

func (w *world) tick() {
	due := w.later
	w.later = nil
	for _, x := range due {
		if w.now.Before(x.at) {
			w.later = append(w.later, x)
		} else {
			x.do()
		}
	}
	for _, e := range w.ends {
		e.live()
	}
	for _, v := range w.vms {
		v.tick()
	}
}

// quiet is how long a VM has been paused or dead.
func (v *vm) quiet() time.Duration {
	if v.dead {
		return v.w.now.Sub(v.until)
	}
	return v.w.now.Sub(v.until.Add(-pause))
}

func (v *vm) stands() bool { return v.dead || v.w.now.Before(v.until) }

func (v *vm) own() {
	for _, e := range v.w.ends {
		v.book.Own(lease.Info{ID: e.id, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, e.id[0]}), 80), Size: job.Size{Cores: 64}}, v.fence)
	}
}

// tick is what a VM does in a step: it renews, looks at deadlines, and carries out what
// follows.
func (v *vm) tick() {
	if v.n == 1 {
		v.follow(v.w.vms[0])
	}
	if v.stands() {
		return
	}
	if ep := v.book.Find("a"); v.n == 0 && !v.asked && ep != nil && ep.Known {
		v.submit()
	}
	for _, e := range v.w.ends {
		v.renew(e)
	}
	v.book.Tick(v.w.now)
	v.perform()
	if v.n == 0 && v.asked && v.answer == nil && v.until.IsZero() {
		v.stumble()
	}
}

// follow takes over from a VM that stands still, and gets its caller's job.
func (v *vm) follow(first *vm) {
	if !first.stands() {
		return
	}
	if first.quiet() == silent {
		v.w.note("VM %d takes over", v.n)
		v.own()
	}
	if first.quiet() == again && !v.asked {
		v.submit()
	}
}

// stumble lets a VM pause or die.
func (v *vm) stumble() {
	switch v.w.pick(3) {
	case 1:
		v.w.note("VM %d pauses", v.n)
		v.until = v.w.now.Add(pause)
	case 2:
		v.w.note("VM %d dies", v.n)
		v.dead, v.until = true, v.w.now
	}
}

func (v *vm) key() owner.Key {
	return owner.Key{VM: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(v.n)}), 1), Inc: 1, Call: 1}
}

func (v *vm) submit() {
	v.w.note("the job is submitted to VM %d", v.n)
	v.asked = true
	v.book.Submit(v.w.now, v.key(), &batch.Job{
		ID: "j", Queue: "q", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, Left: left,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 60}, Run: work}},
	})
	v.perform()
}

// order gives an order to an endpoint: it may be lost, its answer may be, and it may be
// carried out late.
func (v *vm) order(what string, do func() error) error {
	switch v.w.pick(6) {
	case 0:
		return do()
	case 1:
		v.w.note("VM %d's %s is lost", v.n, what)
	case 2:
		v.w.note("the answer to VM %d's %s is lost", v.n, what)
		_ = do()
	case 3:
		v.w.note("VM %d's %s comes soon", v.n, what)
		v.w.later = append(v.w.later, event{v.w.now.Add(soon), func() { _ = do() }})
	case 4:
		v.w.note("VM %d's %s comes late", v.n, what)
		v.w.later = append(v.w.later, event{v.w.now.Add(late), func() { _ = do() }})
	case 5:
		v.w.note("VM %d's %s is refused as ill", v.n, what)
		return &agent.RefusedError{Why: agent.Ill}
	}
	return errLost
}

func (v *vm) renew(e *endpoint) {
	ep := v.book.Find(e.id)
	if ep == nil || ep.Idle() {
		return
	}
	o := agent.Renew{Fence: ep.Fence, Cursor: ep.Cursor}
	if ep.Known && !ep.Silent && len(ep.Runs) > 0 {
		o.Until = ep.Until(v.w.now)
	}
	var r lease.Report
	err := v.order("renewal on "+e.id, func() (err error) {
		r, err = e.renew(o)
		return err
	})
	var refused *agent.RefusedError
	switch {
	case err == nil:
		v.book.Renewed(v.w.now, v.w.now.Add(-time.Millisecond), ep, r)
	case errors.As(err, &refused) && refused.Why == agent.Fenced:
		v.book.Lose(v.w.now, e.id, false, "fence")
	default:
		v.book.Quiet(v.w.now, ep, err)
		if v.w.fault == SilenceIsEnd && ep.Silent {
			v.book.Lose(v.w.now, e.id, true, "silent")
		}
	}
}

// perform carries out what the book decided.
func (v *vm) perform() {
	for {
		acts := v.book.Take()
		if len(acts.Starts)+len(acts.Stops)+len(acts.Tells) == 0 {
			return
		}
		for _, t := range acts.Tells {
			v.tell(t.Answer)
		}
		for _, s := range acts.Starts {
			v.start(s)
		}
		for _, s := range acts.Stops {
			v.stop(s)
		}
	}
}

func (v *vm) tell(a job.Answer) {
	v.w.note("VM %d answers %s", v.n, a.Outcome)
	v.answer = &a
	switch {
	case a.Outcome == job.Refused && v.w.begun[v.n]:
		v.w.breaks("VM %d says that the job did not run, and it did", v.n)
	case a.Outcome == job.Done:
		v.w.done = true
	}
}

func (v *vm) at(ep *lease.Endpoint) *endpoint {
	return v.w.ends[slices.IndexFunc(v.w.ends, func(e *endpoint) bool { return e.id == ep.ID })]
}

func (v *vm) start(s owner.Start) {
	e := v.at(s.At)
	o := agent.Start{Name: lease.Name{Task: s.Run.Name, Num: s.Run.Num}, Until: s.Until, Fence: s.Fence}
	silent, err := 0, error(nil)
	for silent < tries {
		err = v.order("start on "+e.id, func() error {
			return e.start(o, v.n)
		})
		if !agent.Unanswered(err) {
			break
		}
		silent++
	}
	switch {
	case v.w.fault == RefusalProves && silent > 0 && !agent.Unanswered(err) && err != nil:
		silent = 0
	case v.w.fault == DoubtIsOver && agent.Unanswered(err):
		silent, err = 0, &agent.RefusedError{Why: agent.NoRoom}
	}
	v.book.Ordered(v.w.now, s, silent, err)
}

func (v *vm) stop(s owner.Stop) {
	e := v.at(s.At)
	for range tries {
		err := v.order("stop on "+e.id, func() error { return e.stop(s.Name, s.Fence) })
		var refused *agent.RefusedError
		switch {
		case err == nil:
			v.book.Stopped(v.w.now, s.At, s.Name)
			return
		case errors.As(err, &refused) && refused.Why == agent.Fenced:
			v.book.Lose(v.w.now, s.At.ID, false, "fence")
			return
		}
	}
}

// Explore plays every sequence of at most so many faults, and returns how many there were
// and the trace of the shortest that broke a promise.
func Explore(faults int, f Fault) (plays int, trace []string) {
	for most := range faults + 1 { // fewer faults first, for the shortest trace
		c := &chooser{faults: most}
		for more := true; more; more = c.next() {
			w := newWorld(c, f)
			w.play()
			plays++
			if len(w.broken) > 0 && (trace == nil || len(w.trace) < len(trace)) {
				trace = w.trace
			}
		}
		if trace != nil {
			return plays, trace
		}
	}
	return plays, nil
}
