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

// Bounds of a run.
const (
	step          = 50 * time.Millisecond
	horizon       = 4 * time.Second
	work          = 200 * time.Millisecond // run time of the task
	hold          = time.Second            // maximum lease
	longPause     = 1500 * time.Millisecond
	shortDelay    = 150 * time.Millisecond  // a late request is executed after this time,
	longDelay     = 2 * time.Second         // or after this
	takeoverAfter = time.Second             // after which the other VM takes over
	resubmitAfter = 1300 * time.Millisecond // after which the caller submits the job again
	maxAttempts   = 2                       // of a start or a stop request
	uptime        = time.Minute             // of the endpoints at first
	fenceGap      = 1000                    // between the fences of two claims, which leaves room for restarts
)

// The job and its one task.
const (
	theJob  = "j"
	theTask = theJob + ".0.0.0"
)

var errLost = errors.New("no answer")

// world has two VMs that own the same two endpoints one after the other, and a caller that
// submits a job of one task, and resubmits it to the other VM if its VM falls silent. With an entry
// VM each of the two owns one endpoint at first, and the caller also resubmits if the outcome is
// unknown.
type world struct {
	*chooser
	mutation   Mutation
	entry      *entry // nil if VM 0 answers the caller
	restarts   bool   // endpoints restart
	unseen     bool   // one restarts just before a request and is cut off after it
	cut        bool   // one was cut off
	now        time.Time
	endpoints  []*endpoint
	vms        []*vm
	events     []event
	violations []string
	trace      []string
	started    [2]bool                          // by submission
	done       bool                             // a caller has received the results
	taskTime   time.Duration                    // of all tasks, if not 0
	onStart    func(e *endpoint, n lease.RunID) // checks a start of a split job's task
}

// event is a request or a message in transit.
type event struct {
	at       time.Time
	receiver *vm // reads it unless it is down; nil for an endpoint
	run      func()
	to       *endpoint // nil for a VM
}

// vm is an owner of endpoints with its caller's job.
type vm struct {
	w           *world
	n           int
	owner       *owner.Scheduler
	fence       uint64
	downSince   time.Time // when it last paused or died
	pausedUntil time.Time // end of the pause
	dead        bool
	submitted   bool
	stopSent    bool // it has sent a stop
	stopsLost   bool // all its stops are lost
	answer      *job.Answer
}

var epoch = time.Unix(1_700_000_000, 0)

// limits holds the lease limits of the endpoints and the resend time of the callers.
var limits = lease.Limits{Hold: hold, Stop: step, Resend: resubmitAfter}

func newWorld(c *chooser, m Mutation, s Setup) *world {
	w := &world{chooser: c, mutation: m, now: epoch}
	for i := range 2 {
		w.endpoints = append(w.endpoints, &endpoint{w: w, id: string(rune('a' + i)), lastNum: map[string]int{}, boot: -uptime})
		w.vms = append(w.vms, &vm{w: w, n: i, fence: uint64(i+1) * fenceGap, owner: owner.New(owner.Config{
			Limits: limits, RemoteFactor: 2, Log: slog.New(slog.DiscardHandler),
		})})
	}
	w.restarts = s == Restarts
	w.unseen = s == UnseenRestarts || s == UnseenRestartsAtEntry
	if s == UnseenRestarts {
		w.taskTime = longWork
	}
	if s == CallerAtEntry || s == UnseenRestartsAtEntry {
		w.entry = &entry{w: w}
	}
	if m == SameFence {
		w.vms[1].fence = w.vms[0].fence
	}
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(epoch) }

func (w *world) record(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%4d ms ", w.since().Milliseconds())+fmt.Sprintf(format, args...))
}

func (w *world) addViolation(format string, args ...any) {
	w.record(format, args...)
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// checkStart records a run that starts for a submission, and checks it.
func (w *world) checkStart(e *endpoint, n lease.RunID, submission int) {
	w.record("endpoint %s starts run %d for VM %d", e.id, n.Num, submission)
	w.started[submission] = true
	for _, o := range w.endpoints {
		if o != e && o.find(n.Task) != nil {
			w.addViolation("two runs at the same time, on %s and %s", o.id, e.id)
		}
	}
	if w.done {
		w.addViolation("a run starts after the job was done")
	}
	if a := w.vms[submission].answer; a != nil && a.Outcome == job.Refused {
		w.addViolation("a run starts after VM %d refused the job", submission)
	}
}

// assign gives the VMs their endpoints.
func (w *world) assign() {
	if w.entry == nil {
		w.vms[0].own(w.endpoints...)
		return
	}
	for i, v := range w.vms {
		v.own(w.endpoints[i])
	}
}

func (w *world) horizon() time.Duration {
	if w.entry == nil && !w.unseen {
		return horizon
	}
	return longHorizon
}

// runTime returns how long a task runs.
func (w *world) runTime(task string) time.Duration {
	switch {
	case w.taskTime > 0:
		return w.taskTime
	case w.entry == nil:
		return work
	case task == theTask:
		return longWork
	default:
		return longHorizon
	}
}

// run simulates the world to its end.
func (w *world) run() {
	w.assign()
	for w.since() < w.horizon() && len(w.violations) == 0 {
		w.tick()
		if w.settled() {
			return
		}
		w.now = w.now.Add(step)
	}
	for _, e := range w.endpoints {
		if e.find(theTask) != nil && len(w.violations) == 0 {
			w.addViolation("a run on %s goes on although its job is over", e.id)
		}
	}
}

// settled reports whether no more events can occur.
func (w *world) settled() bool {
	if w.entry != nil && w.entry.settled() {
		return true
	}
	return w.done && len(w.events) == 0 && !w.isRunning(0) && !w.isRunning(1)
}

// isRunning reports whether the task runs for a submission.
func (w *world) isRunning(submission int) bool {
	return slices.ContainsFunc(w.endpoints, func(e *endpoint) bool {
		r := e.find(theTask)
		return r != nil && r.submission == submission
	})
}

func (w *world) tick() {
	due := w.events
	w.events = nil
	for _, x := range due {
		if w.now.Before(x.at) || (x.receiver != nil && x.receiver.isDown()) {
			w.events = append(w.events, x)
		} else {
			x.run()
		}
	}
	for _, e := range w.endpoints {
		e.endRuns()
	}
	if w.entry != nil {
		w.entry.tick()
	}
	for _, v := range w.vms {
		v.tick()
	}
}

// downTime returns the time since the VM paused or died.
func (v *vm) downTime() time.Duration { return v.w.now.Sub(v.downSince) }

func (v *vm) isDown() bool { return v.dead || v.w.now.Before(v.pausedUntil) }

func (v *vm) own(ends ...*endpoint) {
	for _, e := range ends {
		v.owner.Own(lease.Info{ID: e.id, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, e.id[0]}), 80), Size: job.Size{Cores: 64}}, v.fence)
	}
}

// tick runs one step of a VM: it renews leases, checks deadlines and carries out the
// decisions.
func (v *vm) tick() {
	if v.n == 1 {
		v.takeOver(v.w.vms[0])
	}
	if v.isDown() {
		return
	}
	if ep := v.owner.Find("a"); v.n == 0 && !v.submitted && ep != nil && ep.Synced {
		if v.w.entry == nil {
			v.submit()
		} else {
			v.submitOwn()
		}
	}
	v.keepOwnAlive()
	for _, e := range v.w.endpoints {
		v.renew(e)
	}
	v.owner.Tick(v.w.now)
	v.perform()
	if v.n == 0 && v.submitted && v.pausedUntil.IsZero() && v.mayFail() && (v.answer == nil || v.w.entry != nil) {
		v.fail()
	}
}

// takeOver takes over the endpoints of a VM that is down, and later its caller's job.
func (v *vm) takeOver(first *vm) {
	if !first.isDown() {
		return
	}
	if first.downTime() == takeoverAfter {
		v.w.record("VM %d takes over", v.n)
		v.own(v.w.endpoints...)
	}
	if first.downTime() == resubmitAfter && !v.submitted && v.w.entry == nil {
		v.submit()
	}
}

// mayFail reports whether the VM may pause, die or lose a renewal now. With an entry VM only VM 0 may, at some
// of the entry VM's keepalives.
func (v *vm) mayFail() bool {
	e := v.w.entry
	if e == nil {
		return !v.w.unseen
	}
	n := e.dueKeepalive()
	return v.n == 0 && n > 0 && n%ownerFaultEvery == 0 && v.w.now.Sub(e.sent) <= faultyKeepalives*keepaliveInterval+resubmitAfter
}

// renewalChoices returns the number of choices for a renewal now.
func (v *vm) renewalChoices() int {
	switch {
	case v.w.entry == nil:
		return v.requestChoices()
	case v.mayFail():
		return 3 // delivered, lost, or its answer lost
	default:
		return 1
	}
}

// fail lets a VM pause or die.
func (v *vm) fail() {
	n := 3
	if v.w.entry != nil {
		n = 4
	}
	p := v.w.pick(n)
	if p == 0 {
		return
	}
	v.downSince, v.pausedUntil = v.w.now, v.w.now
	switch p {
	case 1:
		v.w.record("VM %d pauses", v.n)
		v.pausedUntil = v.w.now.Add(longPause)
	case 2:
		v.w.record("VM %d dies", v.n)
		v.dead = true
	case 3:
		v.w.record("VM %d pauses briefly", v.n)
		v.pausedUntil = v.w.now.Add(shortPause)
	}
}

func (v *vm) key() owner.Key {
	return owner.Key{VM: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(v.n)}), 1), Inc: 1, Call: 1}
}

func (v *vm) submit() {
	v.w.record("the job is submitted to VM %d", v.n)
	v.submitted = true
	v.owner.Submit(v.w.now, v.key(), &batch.Job{
		ID: theJob, Queue: "q", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, TimeLeft: v.w.horizon() - time.Second,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 60}, Run: v.w.runTime(theTask)}},
	})
	v.perform()
}

func (v *vm) renew(e *endpoint) {
	ep := v.owner.Find(e.id)
	if ep == nil || ep.Idle() {
		return
	}
	o := agent.Renew{Fence: v.fenceOf(ep), Cursor: ep.Ack()}
	if ep.Synced && !ep.Silent && len(ep.Runs) > 0 {
		o.Until = v.leaseUntil(ep)
	}
	var r lease.Report
	renew := func() (err error) {
		r, err = e.renew(o)
		return err
	}
	err := v.requestWith(v.renewalChoices(), e, "renewal on "+e.id, renew)
	var refused *agent.RefusedError
	switch {
	case err == nil:
		v.owner.Renewed(v.w.now, v.w.now.Add(-time.Millisecond), ep, r)
	case errors.As(err, &refused) && refused.Why == agent.Fenced:
		if o.Fence == ep.Fence {
			v.owner.Lose(v.w.now, e.id, false, "fence")
		}
	default:
		v.owner.RenewalFailed(v.w.now, ep, err)
		if v.w.mutation == SilenceEndsRuns && ep.Silent {
			v.owner.Lose(v.w.now, e.id, true, "silent")
		}
	}
}

// fenceOf returns the fence of orders to an endpoint.
func (v *vm) fenceOf(ep *lease.Endpoint) uint64 {
	if v.w.mutation == RestartKeepsFence {
		return ep.Claim
	}
	return ep.Fence
}

// perform carries out the owner's decisions.
func (v *vm) perform() {
	for {
		decisions := v.owner.TakeActions()
		if len(decisions.Starts)+len(decisions.Stops)+len(decisions.Replies) == 0 {
			return
		}
		for _, t := range decisions.Replies {
			if t.Key == v.key() {
				v.sendAnswer(t.Answer)
			}
		}
		for _, s := range decisions.Starts {
			v.start(s)
		}
		for _, s := range decisions.Stops {
			v.stop(s)
		}
	}
}

func (v *vm) sendAnswer(a job.Answer) {
	v.w.record("VM %d answers %s", v.n, a.Outcome)
	v.answer = &a
	switch {
	case a.Outcome == job.Refused && v.w.started[v.n]:
		v.w.addViolation("VM %d refused the job, but it has started", v.n)
	case v.n == 0 && v.w.entry != nil:
		v.w.entry.receiveAnswer(a)
	case a.Outcome == job.Done:
		v.w.done = true
	}
}

func (v *vm) endpointOf(ep *lease.Endpoint) *endpoint {
	return v.w.endpoints[slices.IndexFunc(v.w.endpoints, func(e *endpoint) bool { return e.id == ep.ID })]
}

// Explore runs every sequence of at most the given number of faults. It returns the number of sequences that ran,
// and the shortest trace that violates a guarantee.
func Explore(faults int, m Mutation, s Setup) (sequences int, trace []string) {
	for maxFaults := range faults + 1 { // fewer faults first, for the shortest trace
		c := &chooser{maxFaults: maxFaults}
		for more := true; more; more = c.next() {
			w := newWorld(c, m, s)
			w.run()
			sequences++
			if len(w.violations) > 0 && (trace == nil || len(w.trace) < len(trace)) {
				trace = w.trace
			}
		}
		if trace != nil {
			return sequences, trace
		}
	}
	return sequences, nil
}
