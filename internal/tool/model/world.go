package model

import (
	"errors"
	"fmt"
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
	tries   = 2 // of a start, and of a stop
)

// The job and its one task.
const (
	theJob  = "j"
	theTask = theJob + ".0.0.0"
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
	HandReadNow         // a job counts as asked for when it is read
	WordReadNow         // a word counts as sent when it is read
	LeaseAnyway         // leases are asked for without regard to the words
	AnyAge              // tasks start on a word of any age
)

// Setup says which VM answers the job's caller.
type Setup int

// The setups.
const (
	Own   Setup = iota // the one that runs the job
	Other              // a third one, which asks for the job
)

var errLost = errors.New("no answer")

// world is two VMs that own the same two endpoints one after the other, and a caller that
// submits a job of one task, and again elsewhere if its VM falls silent. With an entry VM each
// of the two owns one endpoint to begin with, and the caller also submits again if the outcome
// is unknown.
type world struct {
	*chooser
	fault  Fault
	entry  *entry // nil if VM 0 answers the caller
	now    time.Time
	ends   []*endpoint
	vms    []*vm
	later  []event
	broken []string
	trace  []string
	begun  [2]bool // of each submission
	done   bool    // a caller has its whole answer
}

// event is an order or a message that is on its way.
type event struct {
	at time.Time
	to *vm // reads it, unless it stands still; nil for an endpoint
	do func()
}

// vm is an owner and its caller's job.
type vm struct {
	w      *world
	n      int
	book   *owner.Book
	fence  uint64
	still  time.Time // since when it pauses or is dead
	until  time.Time // it pauses
	dead   bool
	asked  bool
	stops  bool // it has ordered a stop
	deaf   bool // none of its stops arrives
	answer *job.Answer
}

var epoch = time.Unix(1_700_000_000, 0)

// limits are the endpoints' and the callers'.
var limits = lease.Limits{Hold: hold, Stop: step, Resend: again}

func newWorld(c *chooser, f Fault, s Setup) *world {
	w := &world{chooser: c, fault: f, now: epoch}
	for i := range 2 {
		w.ends = append(w.ends, &endpoint{w: w, id: string(rune('a' + i)), past: map[string]int{}})
		w.vms = append(w.vms, &vm{w: w, n: i, fence: 7 + uint64(i), book: owner.New(owner.Config{
			Limits: limits, Far: 2, Log: slog.New(slog.DiscardHandler),
		})})
	}
	if s == Other {
		w.entry = &entry{w: w}
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
		if o != e && o.find(n.Task) != nil {
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

// open gives the VMs their endpoints.
func (w *world) open() {
	if w.entry == nil {
		w.vms[0].own(w.ends...)
		return
	}
	for i, v := range w.vms {
		v.own(w.ends[i])
	}
}

func (w *world) horizon() time.Duration {
	if w.entry == nil {
		return horizon
	}
	return longHorizon
}

// takes is how long a task runs.
func (w *world) takes(task string) time.Duration {
	switch {
	case w.entry == nil:
		return work
	case task == theTask:
		return longWork
	default:
		return longHorizon
	}
}

// play runs the world to its end.
func (w *world) play() {
	w.open()
	for w.since() < w.horizon() && len(w.broken) == 0 {
		w.tick()
		if w.settled() {
			return
		}
		w.now = w.now.Add(step)
	}
	for _, e := range w.ends {
		if e.find(theTask) != nil && len(w.broken) == 0 {
			w.breaks("a run goes on for nobody on %s", e.id)
		}
	}
}

// settled reports whether nothing can happen any more.
func (w *world) settled() bool {
	if w.entry != nil && w.entry.settled() {
		return true
	}
	return w.done && len(w.later) == 0 && !w.runs(0) && !w.runs(1)
}

// runs reports whether the task runs for a submission.
func (w *world) runs(of int) bool {
	return slices.ContainsFunc(w.ends, func(e *endpoint) bool {
		r := e.find(theTask)
		return r != nil && r.of == of
	})
}

func (w *world) tick() {
	due := w.later
	w.later = nil
	for _, x := range due {
		if w.now.Before(x.at) || (x.to != nil && x.to.stands()) {
			w.later = append(w.later, x)
		} else {
			x.do()
		}
	}
	for _, e := range w.ends {
		e.live()
	}
	if w.entry != nil {
		w.entry.tick()
	}
	for _, v := range w.vms {
		v.tick()
	}
}

// quiet is how long a VM has been paused or dead.
func (v *vm) quiet() time.Duration { return v.w.now.Sub(v.still) }

func (v *vm) stands() bool { return v.dead || v.w.now.Before(v.until) }

func (v *vm) own(ends ...*endpoint) {
	for _, e := range ends {
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
		if v.w.entry == nil {
			v.submit()
		} else {
			v.occupy()
		}
	}
	v.keepOwn()
	for _, e := range v.w.ends {
		v.renew(e)
	}
	v.book.Tick(v.w.now)
	v.perform()
	if v.n == 0 && v.asked && v.until.IsZero() && v.strikes() && (v.answer == nil || v.w.entry != nil) {
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
		v.own(v.w.ends...)
	}
	if first.quiet() == again && !v.asked && v.w.entry == nil {
		v.submit()
	}
}

// strikes reports whether the VM may pause, die or lose a renewal now. With an entry VM only VM 0 may, at some
// of the entry VM's words.
func (v *vm) strikes() bool {
	e := v.w.entry
	if e == nil {
		return true
	}
	n := e.due()
	return v.n == 0 && n > 0 && n%sparse == 0 && v.w.now.Sub(e.sent) <= words*tell+again
}

// renewals is how many things may happen to a renewal now.
func (v *vm) renewals() int {
	switch {
	case v.w.entry == nil:
		return 6
	case v.strikes():
		return 3 // it or its answer is lost
	default:
		return 1
	}
}

// stumble lets a VM pause or die.
func (v *vm) stumble() {
	n := 3
	if v.w.entry != nil {
		n = 4
	}
	p := v.w.pick(n)
	if p == 0 {
		return
	}
	v.still, v.until = v.w.now, v.w.now
	switch p {
	case 1:
		v.w.note("VM %d pauses", v.n)
		v.until = v.w.now.Add(pause)
	case 2:
		v.w.note("VM %d dies", v.n)
		v.dead = true
	case 3:
		v.w.note("VM %d pauses for a moment", v.n)
		v.until = v.w.now.Add(moment)
	}
}

func (v *vm) key() owner.Key {
	return owner.Key{VM: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(v.n)}), 1), Inc: 1, Call: 1}
}

func (v *vm) submit() {
	v.w.note("the job is submitted to VM %d", v.n)
	v.asked = true
	v.book.Submit(v.w.now, v.key(), &batch.Job{
		ID: theJob, Queue: "q", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, Left: v.w.horizon() - time.Second,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 60}, Run: v.w.takes(theTask)}},
	})
	v.perform()
}

// order gives an order to an endpoint: it may be lost, its answer may be, and it may be
// carried out late.
func (v *vm) order(what string, do func() error) error { return v.orderWith(6, what, do) }

// orderWith lets fewer things go wrong.
func (v *vm) orderWith(n int, what string, do func() error) error {
	if v.w.entry != nil && v.n > 0 {
		return do()
	}
	switch v.w.pick(n) {
	case 0:
		return do()
	case 1:
		v.w.note("VM %d's %s is lost", v.n, what)
	case 2:
		v.w.note("the answer to VM %d's %s is lost", v.n, what)
		_ = do()
	case 3:
		v.w.note("VM %d's %s comes soon", v.n, what)
		v.w.later = append(v.w.later, event{v.w.now.Add(soon), nil, func() { _ = do() }})
	case 4:
		v.w.note("VM %d's %s comes late", v.n, what)
		v.w.later = append(v.w.later, event{v.w.now.Add(late), nil, func() { _ = do() }})
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
		o.Until = v.lease(ep)
	}
	var r lease.Report
	renew := func() (err error) {
		r, err = e.renew(o)
		return err
	}
	err := v.orderWith(v.renewals(), "renewal on "+e.id, renew)
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
			if t.Key == v.key() {
				v.tell(t.Answer)
			}
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
	case v.n == 0 && v.w.entry != nil:
		v.w.entry.hear(a)
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
	if v.w.fault == AnyAge {
		o.Until = min(o.Until, v.within(s.At))
	}
	silent, err := 0, error(nil)
	for silent < tries {
		start := func() error { return e.start(o, v.n) }
		if s.Run.Name == theTask {
			err = v.order("start on "+e.id, start)
		} else {
			err = start()
		}
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
	if v.muted() {
		return
	}
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

// muted reports whether the VM's stops are lost, from the first one on or not at all.
func (v *vm) muted() bool {
	if v.w.entry == nil || v.n > 0 {
		return false
	}
	if !v.stops {
		v.stops = true
		if v.deaf = v.w.pick(2) == 1; v.deaf {
			v.w.note("VM %d's stops are all lost", v.n)
		}
	}
	return v.deaf
}

// Explore plays every sequence of at most so many faults, and returns how many there were
// and the trace of the shortest that broke a promise.
func Explore(faults int, f Fault, s Setup) (plays int, trace []string) {
	for most := range faults + 1 { // fewer faults first, for the shortest trace
		c := &chooser{faults: most}
		for more := true; more; more = c.next() {
			w := newWorld(c, f, s)
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
