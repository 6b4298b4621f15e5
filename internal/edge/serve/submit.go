package serve

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/parts"
	"dahliawinch/internal/task/route"
)

const (
	// maxJobTime is the time limit of a job whose caller names no deadline.
	maxJobTime = 30 * time.Second
	// minRetry and maxRetry bound the time after which a refused caller should retry. Retries are spread over it, so that
	// callers don't return all at once.
	minRetry = 200 * time.Millisecond
	maxRetry = 5 * time.Second
	// ownerWait is how long a job waits while no owner is known, instead of being refused. After a loss of all VMs the first
	// claims come about that long after the first callers, and most jobs can still be answered in time.
	ownerWait = 600 * time.Millisecond
	// joinWindow is how long after its start a VM may not know all owners yet. Until then a refusal by those it knows is
	// not conclusive.
	joinWindow = 1500 * time.Millisecond
)

// call is a submitted job until its caller is answered.
type call struct {
	n        uint64
	job      *batch.Job
	cores    float64
	arrived  time.Time
	deadline time.Time
	// timeout is the queue's timeout; 0 unless the caller says how long it waits.
	timeout     time.Duration
	owner       netip.AddrPort // the VM to which the job was assigned
	formerOwner netip.AddrPort // the owner of an earlier call of the same job, whose runs may continue
	handedAt    time.Time      // when the owner got it
	tried       []netip.AddrPort
	parts       *parts.Gather // the parts of the job if it is split; then owner is invalid
	open        func() bool   // reports whether the caller's connection is open; may be nil
	done        chan struct{}
	refusals    int           // by owners that lacked room
	refusedWait time.Duration // shortest wait that they reported
	ended       bool
	answer      job.Answer
}

// Submit implements Dispatcher.
func (d *Node) Submit(ctx context.Context, s Submission) job.Answer {
	now := d.now()
	j, timeout, refusal := d.newJob(&s)
	if refusal != nil {
		d.log.Info("request refused", "host", s.Host, "path", s.Path, "reason", string(refusal.Reason), "detail", refusal.Detail)
		return *refusal
	}
	if ctx.Err() != nil {
		d.log.Info("request dropped", "job", j.ID, "queue", j.Queue, "why", "its caller has left")
		return callerLeft
	}
	c := &call{n: d.serial.Add(1), job: j, arrived: now, deadline: now.Add(j.TimeLeft), timeout: timeout, open: s.Open, done: make(chan struct{})}
	for i := range j.Steps {
		c.cores = max(c.cores, float64(j.Steps[i].Count)*j.Steps[i].Need.Cores)
	}
	d.log.Info("request", "job", j.ID, "queue", j.Queue, "tasks", j.Tasks(), "left", j.TimeLeft)
	now = d.lock()
	d.noteWait(c)
	old := d.byID[j.ID]
	wasSplit := old != nil && old.parts != nil
	switch {
	case wasSplit:
		d.cancelCall(old, d.resubmitted())
	case old != nil:
		c.formerOwner = old.owner // which learns that the earlier call is over when it gets this one
		d.finishCall(old, d.resubmitted())
	}
	d.recordDemand(now, c)
	d.calls[c.n], d.byID[j.ID] = c, c
	switch {
	case wasSplit: // its parts are being cancelled at several owners
		d.finishCall(c, d.mayStillRun(d.cfg.VM))
	case c.formerOwner.IsValid():
		d.assignFormer(now, c)
	default:
		d.assign(now, c)
	}
	d.perform()
	d.mu.Unlock()
	t := time.NewTimer(j.TimeLeft)
	defer t.Stop()
	select {
	case <-c.done:
	case <-ctx.Done():
		d.abandonCall(c, callerLeft)
	case <-t.C:
		d.abandonCall(c, job.Answer{Outcome: job.Unknown, Reason: job.Deadline, Detail: "its time ran out"})
	}
	d.log.Info("answer", "job", j.ID, "queue", j.Queue, "outcome", c.answer.Outcome.String(), "reason", string(c.answer.Reason), "owner", c.owner, "tried", len(c.tried), "took", d.now().Sub(now).Round(time.Millisecond), "retry", c.answer.Retry, "detail", c.answer.Detail)
	d.observeTries(c)
	d.deps.Meter.ObserveJob(j.Queue, fmt.Sprint(j.Rank), &c.answer, d.now().Sub(now), 0)
	return c.answer
}

// resubmitted returns the answer to a call whose job was submitted again.
func (d *Node) resubmitted() job.Answer {
	return job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Detail: "the same job was submitted again"}
}

// callerLeft is the answer for a caller that has left, which nobody reads.
var callerLeft = job.Answer{Outcome: job.Unknown, Reason: job.Canceled, Detail: "its caller left"}

// noteWait estimates how long a job's caller has already waited elsewhere; the caller of noteWait holds the lock. One
// that has not waited elsewhere will wait for longer than the queue's declared timeout plus the job's objective.
func (d *Node) noteWait(c *call) {
	if c.timeout <= 0 {
		return
	}
	work := c.job.CriticalPath(func(s *batch.Step) time.Duration { return s.Run })
	c.job.Waited = d.waits.Observe(c.job.Queue, c.timeout+c.job.Objective(work), c.job.TimeLeft)
	if c.job.Waited > 0 {
		d.log.Info("caller waited elsewhere", "job", c.job.ID, "queue", c.job.Queue, "left", c.job.TimeLeft, "waited", c.job.Waited)
	}
}

// newJob finds a submission's queue and makes a job of it. It returns the queue's timeout if the caller says how long
// it waits.
func (d *Node) newJob(s *Submission) (j *batch.Job, timeout time.Duration, refusal *job.Answer) {
	p := d.plan.Load()
	if p == nil {
		return nil, 0, job.Refuse(job.NoDocument, time.Second, "no configuration is known yet")
	}
	q := p.Find(s.Host, s.Path)
	if q == nil {
		return nil, 0, job.Refuse(job.NoQueue, 0, "%s%s is no queue of version %d", s.Host, s.Path, p.Version)
	}
	if s.Unsupported != "" {
		return nil, 0, job.Refuse(job.Unsupported, 0, "%s", s.Unsupported)
	}
	if q.Advised {
		return nil, 0, job.Refuse(job.Unsupported, 0, "queues with an adviser are not served yet")
	}
	j = &s.Job
	j.ID = s.Path[len(q.Prefix):]
	j.Queue, j.Pool, j.Rank, j.Attempts, j.Stretch, j.Slack = q.Name, q.Pool, q.Rank, q.Attempts, q.Stretch, q.Slack
	j.TimeLeft = maxJobTime
	if q.Timeout > 0 {
		j.TimeLeft = min(j.TimeLeft, q.Timeout)
	}
	if s.Left > 0 {
		j.TimeLeft = min(maxJobTime, s.Left)
		timeout = q.Timeout
	}
	if err := j.Check(); err != nil {
		return nil, 0, job.Refuse(job.BadRequest, 0, "%v", err)
	}
	return j, timeout, nil
}

// assign gives a call to the best owner that has not had it yet, parks it, or ends it; the caller holds the lock.
func (d *Node) assign(now time.Time, c *call) {
	if c.hasLeft() {
		d.finishCall(c, callerLeft)
		return
	}
	if len(c.tried) == 0 && (d.assignRunning(now, c) || d.splitCall(now, c)) {
		return
	}
	for len(c.tried) < route.MaxTries {
		vm := d.routes.Pick(now, c.job.Rank, c.cores, d.skipped(now, c), d.pace.MeanTime())
		if !vm.IsValid() {
			break
		}
		if vm != d.cfg.VM && d.strained && d.delay >= d.cfg.Limits.Fresh() {
			d.finishCall(c, job.Answer{Outcome: job.Refused, Reason: job.Silent, Retry: jitter(minRetry), Detail: fmt.Sprintf("this VM's messages come %s late", d.delay)})
			return
		}
		if err := d.assignTo(now, vm, c); err != nil {
			d.log.Info("owner unreachable", "job", c.job.ID, "owner", vm, "err", err)
			if !errors.Is(err, errUnheard) {
				d.routes.MarkUnreachable(vm, now)
			}
			continue
		}
		return
	}
	if d.refuseUntried(now, c) {
		return
	}
	a := c.answer
	if (len(c.tried) == 0 || d.ownersMissing(now)) && now.Sub(c.arrived) < ownerWait && !d.claims.Deferring() {
		c.tried, c.owner = c.tried[:0], netip.AddrPort{}
		d.parked = append(d.parked, c)
		return
	}
	if len(c.tried) == 0 {
		a = job.Answer{Outcome: job.Refused, Reason: job.NoEndpoint, Retry: time.Second, Detail: "no owner of endpoints is known"}
	}
	d.refuseTried(now, c, a)
}

// assignTo gives a call to an owner; the caller holds the lock.
func (d *Node) assignTo(now time.Time, vm netip.AddrPort, c *call) error {
	tried := slices.Clone(c.tried)
	c.tried = append(c.tried, vm)
	c.owner = vm
	j := *c.job // the call keeps the job as it arrived
	j.Age, j.TimeLeft = now.Sub(c.arrived), c.deadline.Sub(now)
	if vm == d.cfg.VM {
		d.scheduler.Submit(now, owner.Key{VM: vm, Inc: d.cfg.Inc, Call: c.n}, &j)
		return nil
	}
	if err := d.handOver(now, vm, c, &frame.RunJob{Job: j, Tried: tried}); err != nil {
		return fmt.Errorf("assign to owner: %w", err)
	}
	d.routes.RecordSent(vm, c.cores)
	return nil
}

// errUnheard is returned for an owner from which no heartbeat was read.
var errUnheard = errors.New("no heartbeat received yet")

// handOver sends a job to another owner; the caller holds the lock.
func (d *Node) handOver(now time.Time, vm netip.AddrPort, c *call, m *frame.RunJob) error {
	p := d.heardMember(vm)
	if p == nil {
		return fmt.Errorf("hand over to %s: %w", vm, errUnheard)
	}
	m.To, m.Call, m.Job.AskedAt, c.handedAt = p.Inc, c.n, p.Theirs(now), now
	if err := d.deps.Mesh.Send(vm, m); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return nil
}

// ownersMissing reports whether more owners may appear: this VM has just started, and some group has no owner or some
// owner has not sent its load. Otherwise a job that the known owners refused must not wait. The caller holds the lock.
func (d *Node) ownersMissing(now time.Time) bool {
	return now.Sub(d.began) < joinWindow && (d.hasUnowned || d.routes.Known(now) < d.ownerCount)
}

// unpark assigns the calls that waited for an owner; the caller holds the lock.
func (d *Node) unpark(now time.Time) {
	if len(d.parked) == 0 {
		return
	}
	parked := d.parked
	d.parked = nil
	// Callers that have not waited elsewhere go first: the others miss their objectives anyway.
	slices.SortStableFunc(parked, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.job.Waited, b.job.Waited), cmp.Compare(a.job.Rank, b.job.Rank))
	})
	for _, c := range parked {
		if !c.ended {
			d.assign(now, c)
		}
	}
}

// jitter spreads the retries of callers that are refused together.
func jitter(d time.Duration) time.Duration {
	d = min(max(d, minRetry), maxRetry)
	return d + rand.N(d)
}

// receiveAnswer handles an owner's answer; the caller holds the lock.
func (d *Node) receiveAnswer(now time.Time, from netip.AddrPort, n uint64, a job.Answer) {
	if c := d.partCalls[n]; c != nil {
		d.receivePartAnswer(now, from, n, c, a)
		return
	}
	c := d.calls[n]
	if c == nil || c.ended || c.owner != from {
		return
	}
	if a.Outcome == job.Refused && retryable(a.Reason) {
		if c.formerOwner == from && a.Reason == job.Silent { // it did not check what still runs
			d.finishCall(c, d.mayStillRun(c.formerOwner))
			return
		}
		c.answer, c.formerOwner = a, netip.AddrPort{}
		d.recordRefusal(now, c, a.Reason)
		d.assign(now, c)
		d.perform()
		return
	}
	d.finishCall(c, a)
}

// retryable reports whether another owner may run a job that one refused: that one had no room, gave up its endpoints, or
// got the job too late to begin it, as after a pause.
func retryable(r job.Reason) bool {
	return r == job.Overload || r == job.NoEndpoint || r == job.Leaving || r == job.Silent
}

// finishCall sets a call's answer; the caller holds the lock.
func (d *Node) finishCall(c *call, a job.Answer) {
	if c.ended {
		return
	}
	c.answer, c.ended = a, true
	delete(d.calls, c.n)
	d.forgetParts(c)
	if d.byID[c.job.ID] == c {
		delete(d.byID, c.job.ID)
	}
	close(c.done)
}

// abandonCall ends a call that is no longer wanted.
func (d *Node) abandonCall(c *call, a job.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelCall(c, a)
	d.perform()
}

func (d *Node) cancelCall(c *call, a job.Answer) {
	if c.ended {
		return
	}
	if c.parts != nil {
		d.applyStep(d.now(), c, c.parts.End(a))
		return
	}
	d.finishCall(c, a)
	if c.owner == d.cfg.VM {
		d.scheduler.Cancel(d.now(), owner.Key{VM: c.owner, Inc: d.cfg.Inc, Call: c.n}, a.Detail)
		return
	}
	if c.owner.IsValid() {
		if err := d.deps.Mesh.Send(c.owner, &frame.CancelJob{At: d.now(), Call: c.n}); err != nil {
			d.log.Info("cancel not sent to owner", "job", c.job.ID, "owner", c.owner, "err", err) // the owner ends the job once keepalives stop
		}
	}
}

// loseOwner answers the calls that a lost owner had as unknown. Runs that it started may continue until their leases
// end, so the callers must not learn that the jobs did not run.
func (d *Node) loseOwner(vm netip.AddrPort, why string) {
	d.losePartOwner(vm, why)
	for _, c := range d.calls {
		if c.owner != vm || c.ended {
			continue
		}
		a := job.Answer{Outcome: job.Unknown, Reason: job.Silent, Retry: jitter(d.cfg.Limits.Outlive()), Detail: why}
		if c.formerOwner == vm {
			a = d.mayStillRun(vm)
		}
		d.cancelCall(c, a)
	}
}

// Cancel implements Dispatcher.
func (d *Node) Cancel(host, path string) (bool, job.Answer) {
	p := d.plan.Load()
	if p == nil {
		return false, *job.Refuse(job.NoDocument, time.Second, "no configuration is known yet")
	}
	q := p.Find(host, path)
	if q == nil {
		return false, *job.Refuse(job.NoQueue, 0, "%s%s is no queue of version %d", host, path, p.Version)
	}
	id := path[len(q.Prefix):]
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.byID[id]
	if c != nil {
		d.cancelCall(c, job.Answer{Outcome: job.Unknown, Reason: job.Canceled, Detail: "cancelled by its caller"})
		d.perform()
	}
	d.log.Info("cancel requested", "job", id, "known", c != nil)
	return c != nil, job.Answer{Outcome: job.Done}
}
