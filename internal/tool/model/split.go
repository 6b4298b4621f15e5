package model

import (
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/parts"
)

// Mutations of a split job.
const (
	MoveOnSilence   Mutation = 100 + iota // a part of a silent owner moves instead of ending the job
	RefuseUnsettled                       // the job is refused before its cancelled parts were answered
	IgnoreListing                         // a job submitted again goes to an owner that does not have it
)

const (
	splitOwners    = 3 // the first two have a part each, the third is free
	splitTasks     = 2
	splitWork      = 1600 * time.Millisecond
	faultyBeats    = 2 // keepalives of each owner that are subject to faults
	unnoticedLeave = 400 * time.Millisecond
)

// splitWorld has a VM that gathers the parts of a job of two tasks, three owners with an endpoint each, and a caller that
// submits the job again to some owner: at once if it was refused, else after resubmitAfter.
type splitWorld struct {
	*world
	gather     *parts.Gather
	owners     []*splitOwner
	sentAt     time.Time
	gathererUp bool
	answer     *job.Answer
	resubmitAt time.Time
	unnoticed  bool // the caller has left and the gathering VM does not know
	again      bool // it was submitted again
	started    bool // some task of the first submission has started
	done       map[string]bool
	inbox      []inboxEvent
}

// splitOwner is an owner with one endpoint.
type splitOwner struct {
	w         *splitWorld
	n         int
	sched     *owner.Scheduler
	end       *endpoint
	dead      bool
	downUntil time.Time
	downSince time.Time
}

func (o *splitOwner) vm() netip.AddrPort { return splitVM(o.n) }

func splitVM(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 1)
}

func (o *splitOwner) isDown() bool { return o.dead || o.w.now.Before(o.downUntil) }

func newSplitWorld(c *chooser, m Mutation) *splitWorld {
	w := &splitWorld{world: &world{chooser: c, mutation: m, now: epoch, taskTime: splitWork}, gathererUp: true, done: map[string]bool{}}
	for i := range splitOwners {
		o := &splitOwner{w: w, n: i, end: &endpoint{w: w.world, id: string(rune('a' + i)), lastNum: map[string]int{}}}
		o.sched = owner.New(owner.Config{Limits: limits, RemoteFactor: 2, Log: slog.New(slog.DiscardHandler)})
		o.sched.Own(lease.Info{ID: o.end.id, Addr: splitVM(100 + i), Size: job.Size{Cores: 64}}, 7)
		w.owners = append(w.owners, o)
		w.endpoints = append(w.endpoints, o.end)
	}
	w.onStart = w.checkPartStart
	n := uint64(0)
	w.gather = parts.New([]parts.Share{{VM: splitVM(0), Count: 1}, {VM: splitVM(1), Count: 1}}, func() uint64 { n++; return n })
	return w
}

// checkPartStart records a run of one of the job's tasks and checks it.
func (w *splitWorld) checkPartStart(e *endpoint, n lease.RunID) {
	w.record("endpoint %s starts %s run %d", e.id, n.Task, n.Num)
	for _, o := range w.endpoints {
		if o != e && o.find(n.Task) != nil {
			w.addViolation("two runs of %s at the same time, on %s and %s", n.Task, o.id, e.id)
		}
	}
	if w.again {
		return
	}
	w.started = true
	if w.answer != nil && w.answer.Outcome == job.Refused {
		w.addViolation("%s starts after the job was refused", n.Task)
	}
}

func wholeJob(asked time.Time) *batch.Job {
	return &batch.Job{
		ID: theJob, Queue: "q", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, TimeLeft: longDeadline, AskedAt: asked,
		Steps: []batch.Step{{Count: splitTasks, Need: job.Size{Cores: 30}, Run: splitWork}},
	}
}

// later lets an owner, or the gathering VM if it is nil, read a message after a delay.
func (w *splitWorld) later(o *splitOwner, delay time.Duration, do func()) {
	w.inbox = append(w.inbox, inboxEvent{w.now.Add(delay), o, do})
}

// inboxEvent is a message in transit between VMs.
type inboxEvent struct {
	at time.Time
	to *splitOwner
	do func()
}

// transmit sends a message that may be lost or late.
func (w *splitWorld) transmit(what string, o *splitOwner, do func()) {
	switch w.pick(3) {
	case 0:
		w.later(o, 0, do)
	case 1:
		w.record("%s is lost", what)
	case 2:
		w.record("%s arrives late", what)
		w.later(o, staleDelay, do)
	}
}

// sendPart sends a part to an owner.
func (w *splitWorld) sendPart(p *parts.Part, o *splitOwner) {
	asked, j := w.now, wholeJob(w.now)
	part := j.Range(p.First, p.Count)
	part.Begun = len(p.Tried) > 0 && w.gather.MayHaveBegun()
	w.gather.Sent(w.now, p, o.vm())
	w.record("tasks from %d on are sent to owner %d", p.First, o.n)
	key := owner.Key{VM: splitVM(50), Inc: 1, Call: p.Call}
	read := func() {
		if w.now.Sub(asked) > limits.Fresh() {
			o.reply(key, job.Answer{Outcome: job.Refused, Reason: job.Silent})
			return
		}
		if w.pick(2) == 1 {
			w.record("owner %d has no room", o.n)
			o.reply(key, job.Answer{Outcome: job.Refused, Reason: job.Overload})
			return
		}
		o.sched.Submit(w.now, key, &part)
		o.perform()
	}
	w.transmit("the part", o, read)
}

// apply carries out what follows for the gathering VM.
func (w *splitWorld) apply(s parts.Step) {
	for s.Move != nil {
		s = w.move(s.Move)
	}
	for _, p := range s.Cancel {
		o, key := w.owners[w.ownerOf(p.Owner)], owner.Key{VM: splitVM(50), Inc: 1, Call: p.Call}
		w.transmit("a cancel", o, func() {
			o.sched.Cancel(w.now, key, "its job ended")
			o.perform()
		})
	}
	if a := s.Answer; a != nil && w.answer == nil {
		w.finish(*a)
	}
}

func (w *splitWorld) ownerOf(vm netip.AddrPort) int {
	return slices.IndexFunc(w.owners, func(o *splitOwner) bool { return o.vm() == vm })
}

func (w *splitWorld) move(p *parts.Part) parts.Step {
	not := append(w.gather.Holders(p), p.Tried...)
	for _, o := range w.owners {
		if !slices.Contains(not, o.vm()) && !o.isDown() {
			w.sendPart(p, o)
			return parts.Step{}
		}
	}
	w.record("no owner is left for the tasks from %d on", p.First)
	s := w.gather.Stuck(w.now)
	if w.mutation == RefuseUnsettled && s.Answer == nil {
		cancel := s.Cancel
		s = w.gather.End(job.Answer{Outcome: job.Refused})
		s.Cancel = cancel
	}
	return s
}

// finish answers the caller.
func (w *splitWorld) finish(a job.Answer) {
	w.record("the caller gets %s", a.Outcome)
	w.answer = &a
	switch a.Outcome {
	case job.Done:
		if len(w.done) < splitTasks {
			w.addViolation("done with %d of %d tasks", len(w.done), splitTasks)
		}
	case job.Refused:
		if w.started {
			w.addViolation("the job is refused, but it has started")
		}
		w.comeBack(0)
	default:
		w.comeBack(resubmitAfter)
	}
}

// comeBack lets the caller submit the job again after a time, if it is still there.
func (w *splitWorld) comeBack(after time.Duration) {
	if !w.unnoticed {
		w.resubmitAt = w.now.Add(after)
	}
}

// reply sends an owner's answer to the gathering VM.
func (o *splitOwner) reply(key owner.Key, a job.Answer) {
	w := o.w
	if key.VM != splitVM(50) {
		return // the caller of the second submission
	}
	w.record("owner %d answers %s", o.n, a.Outcome)
	w.transmit("an answer", nil, func() {
		if w.gathererUp {
			w.apply(w.gather.Answered(w.now, key.Call, o.vm(), a, true))
		}
	})
}

// perform carries out an owner's decisions.
func (o *splitOwner) perform() {
	for {
		acts := o.sched.TakeActions()
		if len(acts.Starts)+len(acts.Stops)+len(acts.Replies) == 0 {
			return
		}
		for _, r := range acts.Replies {
			o.reply(r.Key, r.Answer)
		}
		for _, s := range acts.Starts {
			o.start(s)
		}
		for _, s := range acts.Stops {
			if err := o.order("a stop", func() error { return o.end.stop(s.Name, s.At.Fence) }); err == nil {
				o.sched.Stopped(o.w.now, s.At, s.Name)
			}
		}
	}
}

func (o *splitOwner) start(s owner.Start) {
	a := agent.Start{Name: lease.RunID{Task: s.Run.Name, Num: s.Run.Num}, Until: s.Until, Fence: s.Fence}
	unanswered, err := 0, error(nil)
	for unanswered < maxAttempts {
		if err = o.order("a start", func() error { return o.end.start(a, 0) }); !agent.Unanswered(err) {
			break
		}
		unanswered++
	}
	o.sched.StartResult(o.w.now, s, unanswered, err)
}

// order sends an order to the owner's endpoint: it or its answer may be lost, or it is refused.
func (o *splitOwner) order(what string, do func() error) error {
	switch o.w.pick(4) {
	case 1:
		o.w.record("owner %d: %s is lost", o.n, what)
		return errLost
	case 2:
		o.w.record("owner %d: the answer to %s is lost", o.n, what)
		_ = do()
		return errLost
	case 3:
		o.w.record("owner %d: %s is refused", o.n, what)
		return &agent.RefusedError{Why: agent.Unhealthy}
	}
	return do()
}

// renew renews the lease of the owner's endpoint and notes which tasks are done.
func (o *splitOwner) renew() {
	ep := o.sched.Find(o.end.id)
	if ep == nil || ep.Idle() {
		return
	}
	r := agent.Renew{Fence: ep.Fence, Cursor: ep.Ack()}
	if ep.Synced && !ep.Silent && len(ep.Runs) > 0 {
		r.Until = ep.RenewUntil(o.w.now)
	}
	report, err := o.end.renew(r)
	if err != nil {
		o.sched.RenewalFailed(o.w.now, ep, err)
		return
	}
	for _, x := range report.Ended {
		if x.State == lease.Done {
			o.w.done[x.Name] = true
		}
	}
	o.sched.Renewed(o.w.now, o.w.now.Add(-time.Millisecond), ep, report)
}
