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
	"dahliawinch/internal/task/route"
)

const (
	// longest is how long a job may take whose caller names no deadline.
	longest = 30 * time.Second
	// leastRetry and mostRetry bound the time to come back after a refusal. Callers are
	// spread over it, so that they don't return together.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 5 * time.Second
	// ownerWait is how long a job waits while no owner is known, instead of being
	// refused: after a loss of all VMs the first claims follow the first callers by
	// about as much, and most jobs can still be answered in time to be of use.
	ownerWait = 600 * time.Millisecond
	// joinFor is how long after its start a VM may not know all owners yet. While some are
	// missing the refusal of those it knows says little.
	joinFor = 1500 * time.Millisecond
)

// call is a job on its way to its caller's answer.
type call struct {
	n     uint64
	job   *batch.Job
	cores float64
	came  time.Time
	due   time.Time
	// timeout is the queue's, if the caller says how long it waits.
	timeout time.Duration
	to      netip.AddrPort // the owner that has it
	former  netip.AddrPort // the owner of a former call of the same job, whose runs may go on
	handed  time.Time      // when it got it
	tried   []netip.AddrPort
	open    func() bool // reports whether the caller's connection is open; may be nil
	done    chan struct{}
	ended   bool
	a       job.Answer
}

// Submit implements Door.
func (d *Node) Submit(ctx context.Context, s Submission) job.Answer {
	now := d.now()
	j, timeout, refusal := d.ident(&s)
	if refusal != nil {
		d.log.Info("request refused", "host", s.Host, "path", s.Path, "reason", string(refusal.Reason), "detail", refusal.Detail)
		return *refusal
	}
	if ctx.Err() != nil {
		d.log.Info("request dropped", "job", j.ID, "queue", j.Queue, "why", "its caller has left")
		return callerLeft
	}
	c := &call{n: d.serial.Add(1), job: j, came: now, due: now.Add(j.Left), timeout: timeout, open: s.Open, done: make(chan struct{})}
	for i := range j.Steps {
		c.cores = max(c.cores, float64(j.Steps[i].Count)*j.Steps[i].Need.Cores)
	}
	d.log.Info("request", "job", j.ID, "queue", j.Queue, "tasks", j.Tasks(), "left", j.Left)
	now = d.lock()
	d.noteWait(c)
	if old := d.byID[j.ID]; old != nil {
		c.former = old.to
		d.drop(old, job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Detail: "the same job was submitted again"})
	}
	d.calls[c.n], d.byID[j.ID] = c, c
	if c.former.IsValid() {
		d.sendBack(now, c)
	} else {
		d.send(now, c)
	}
	d.perform()
	d.mu.Unlock()
	t := time.NewTimer(j.Left)
	defer t.Stop()
	select {
	case <-c.done:
	case <-ctx.Done():
		d.quit(c, callerLeft)
	case <-t.C:
		d.quit(c, job.Answer{Outcome: job.Unknown, Reason: job.Deadline, Detail: "its time ran out"})
	}
	d.log.Info("answer", "job", j.ID, "queue", j.Queue, "outcome", c.a.Outcome.String(), "reason", string(c.a.Reason), "owner", c.to, "tried", len(c.tried), "took", d.now().Sub(now).Round(time.Millisecond), "retry", c.a.Retry, "detail", c.a.Detail)
	d.parts.Meter.Answered(j.Queue, fmt.Sprint(j.Rank), &c.a, d.now().Sub(now), 0)
	return c.a
}

// callerLeft is the answer to a caller who is not there to read it.
var callerLeft = job.Answer{Outcome: job.Unknown, Reason: job.Canceled, Detail: "its caller left"}

// noteWait finds out whether a caller has waited elsewhere; the caller holds the lock. Whoever
// comes for the first time waits longer than a queue's declared time and a job's objective.
func (d *Node) noteWait(c *call) {
	if c.timeout <= 0 {
		return
	}
	work := c.job.Chain(func(s *batch.Step) time.Duration { return s.Run })
	c.job.Waited = d.waits.Note(c.job.Queue, c.timeout+c.job.Aim(work), c.job.Left)
	if c.job.Waited > 0 {
		d.log.Info("caller has waited elsewhere", "job", c.job.ID, "queue", c.job.Queue, "left", c.job.Left, "waited", c.job.Waited)
	}
}

// ident finds a submission's queue and turns it into a job. It returns the queue's timeout if
// the caller says how long it waits.
func (d *Node) ident(s *Submission) (j *batch.Job, timeout time.Duration, refusal *job.Answer) {
	p := d.plan.Load()
	if p == nil {
		return nil, 0, job.Refuse(job.NoDocument, time.Second, "no configuration is known yet")
	}
	q := p.Find(s.Host, s.Path)
	if q == nil {
		return nil, 0, job.Refuse(job.NoQueue, 0, "%s%s is no queue of version %d", s.Host, s.Path, p.Version)
	}
	if s.Refused != "" {
		return nil, 0, job.Refuse(job.Unsupported, 0, "%s", s.Refused)
	}
	if q.Advised {
		return nil, 0, job.Refuse(job.Unsupported, 0, "queues with an adviser are not served yet")
	}
	j = &s.Job
	j.ID = s.Path[len(q.Prefix):]
	j.Queue, j.Pool, j.Rank, j.Attempts, j.Stretch, j.Slack = q.Name, q.Pool, q.Rank, q.Attempts, q.Stretch, q.Slack
	j.Left = longest
	if q.Timeout > 0 {
		j.Left = min(j.Left, q.Timeout)
	}
	if s.Left > 0 {
		j.Left = min(longest, s.Left)
		timeout = q.Timeout
	}
	if err := j.Check(); err != nil {
		return nil, 0, job.Refuse(job.BadRequest, 0, "%v", err)
	}
	return j, timeout, nil
}

// send gives a call to the best owner that it was not given to yet, or ends it. The
// caller holds the lock.
func (d *Node) send(now time.Time, c *call) {
	if c.left() {
		d.end(c, callerLeft)
		return
	}
	for len(c.tried) < route.Tries {
		vm := d.table.Pick(now, c.job.Rank, c.cores, c.tried, d.pace.Usual())
		if !vm.IsValid() {
			break
		}
		if vm != d.cfg.VM && d.strained && d.delay >= d.cfg.Limits.Fresh() {
			d.end(c, job.Answer{Outcome: job.Refused, Reason: job.Silent, Retry: spread(leastRetry), Detail: fmt.Sprintf("this VM's messages come %s late", d.delay)})
			return
		}
		if err := d.give(now, vm, c); err != nil {
			d.log.Info("owner unreachable", "job", c.job.ID, "owner", vm, "err", err)
			if !errors.Is(err, errUnheard) {
				d.table.Down(vm, now)
			}
			continue
		}
		return
	}
	a := c.a
	if (len(c.tried) == 0 || d.missing(now)) && now.Sub(c.came) < ownerWait && !d.claims.Defers() {
		c.tried, c.to = c.tried[:0], netip.AddrPort{}
		d.parked = append(d.parked, c)
		return
	}
	if len(c.tried) == 0 {
		a = job.Answer{Outcome: job.Refused, Reason: job.NoEndpoint, Retry: time.Second, Detail: "no owner of endpoints is known"}
	}
	a.Retry = spread(a.Retry)
	d.end(c, a)
}

// sendBack gives a call to the owner of a former call of the same job, which alone knows whether runs of it go on.
// The caller holds the lock.
func (d *Node) sendBack(now time.Time, c *call) {
	if err := d.give(now, c.former, c); err != nil {
		d.log.Info("former owner unreachable", "job", c.job.ID, "owner", c.former, "err", err)
		d.end(c, d.mayRun(c))
	}
}

// mayRun is the answer to a call whose job may still run for a former one. Not a refusal: that would say that it
// never runs.
func (d *Node) mayRun(c *call) job.Answer {
	return job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Retry: spread(d.cfg.Limits.Outlive()), Detail: fmt.Sprintf("the same job may still run at %s", c.former)}
}

// give gives a call to an owner; the caller holds the lock.
func (d *Node) give(now time.Time, vm netip.AddrPort, c *call) error {
	c.tried = append(c.tried, vm)
	c.to = vm
	j := *c.job // the call's own stays as it came
	j.Age, j.Left = now.Sub(c.came), c.due.Sub(now)
	if vm == d.cfg.VM {
		d.book.Submit(now, owner.Key{VM: vm, Inc: d.cfg.Inc, Call: c.n}, &j)
		return nil
	}
	if err := d.hand(now, vm, c, &j); err != nil {
		return fmt.Errorf("give to an owner: %w", err)
	}
	d.table.Sent(vm, c.cores)
	return nil
}

// errUnheard is returned for an owner none of whose heartbeats was read.
var errUnheard = errors.New("not heard yet")

// hand gives a job to another owner; the caller holds the lock.
func (d *Node) hand(now time.Time, vm netip.AddrPort, c *call, j *batch.Job) error {
	p := d.heardOf(vm)
	if p == nil {
		return fmt.Errorf("hand over to %s: %w", vm, errUnheard)
	}
	j.Asked, c.handed = p.Theirs(now), now
	if err := d.parts.Mesh.Cast(vm, &frame.Hand{To: p.Inc, Call: c.n, Job: *j}); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return nil
}

// missing reports whether owners may yet come up: this VM has just started, and some groups
// have no owner, or an owner has not told its load yet. Once all have, a job that they
// refuse must not wait for more; the caller holds the lock.
func (d *Node) missing(now time.Time) bool {
	return now.Sub(d.began) < joinFor && (d.unowned || d.table.Known(now) < d.owners)
}

// unpark sends the calls that waited for an owner; the caller holds the lock.
func (d *Node) unpark(now time.Time) {
	if len(d.parked) == 0 {
		return
	}
	wait := d.parked
	d.parked = nil
	// Whoever has not waited elsewhere goes first: the others miss their objectives anyway.
	slices.SortStableFunc(wait, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.job.Waited, b.job.Waited), cmp.Compare(a.job.Rank, b.job.Rank))
	})
	for _, c := range wait {
		if !c.ended {
			d.send(now, c)
		}
	}
}

// spread makes callers that are refused together return apart.
func spread(d time.Duration) time.Duration {
	d = min(max(d, leastRetry), mostRetry)
	return d + rand.N(d)
}

// resolve takes in an owner's answer; the caller holds the lock.
func (d *Node) resolve(now time.Time, from netip.AddrPort, n uint64, a job.Answer) {
	c := d.calls[n]
	if c == nil || c.ended || c.to != from {
		return
	}
	if a.Outcome == job.Refused && again(a.Reason) {
		if c.former == from && a.Reason == job.Silent { // it did not look what still runs
			d.end(c, d.mayRun(c))
			return
		}
		c.a, c.former = a, netip.AddrPort{}
		d.send(now, c)
		d.perform()
		return
	}
	d.end(c, a)
}

// again reports whether another owner may do what one refused: it had no room, it gave its
// endpoints up, or it had been paused and got the job too late to begin it.
func again(r job.Reason) bool {
	return r == job.Overload || r == job.NoEndpoint || r == job.Leaving || r == job.Silent
}

// end fixes a call's answer; the caller holds the lock.
func (d *Node) end(c *call, a job.Answer) {
	if c.ended {
		return
	}
	c.a, c.ended = a, true
	delete(d.calls, c.n)
	if d.byID[c.job.ID] == c {
		delete(d.byID, c.job.ID)
	}
	close(c.done)
}

// quit ends a call that is not wanted any more.
func (d *Node) quit(c *call, a job.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(c, a)
	d.perform()
}

func (d *Node) drop(c *call, a job.Answer) {
	if c.ended {
		return
	}
	d.end(c, a)
	if c.to == d.cfg.VM {
		d.book.Cancel(d.now(), owner.Key{VM: c.to, Inc: d.cfg.Inc, Call: c.n}, a.Detail)
		return
	}
	if c.to.IsValid() {
		if err := d.parts.Mesh.Cast(c.to, &frame.Drop{At: d.now(), Call: c.n}); err != nil {
			d.log.Info("owner not told", "job", c.job.ID, "owner", c.to, "err", err) // it ends the job without keepalives
		}
	}
}

// loseOwner answers the calls that an owner had which is gone. What it started may
// still run until its leases end, so nobody may be told that it did not.
func (d *Node) loseOwner(vm netip.AddrPort, why string) {
	for _, c := range d.calls {
		if c.to == vm && !c.ended {
			d.drop(c, job.Answer{Outcome: job.Unknown, Reason: job.Silent, Detail: why})
		}
	}
}

// Cancel implements Door.
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
		d.drop(c, job.Answer{Outcome: job.Unknown, Reason: job.Canceled, Detail: "cancelled by its caller"})
		d.perform()
	}
	d.log.Info("cancel", "job", id, "known", c != nil)
	return c != nil, job.Answer{Outcome: job.Done}
}

// Waiting implements Door.
func (d *Node) Waiting(host, path string) (int, job.Answer) {
	p := d.plan.Load()
	if p == nil {
		return 0, *job.Refuse(job.NoDocument, time.Second, "no configuration is known yet")
	}
	q := p.Find(host, path)
	if q == nil {
		return 0, *job.Refuse(job.NoQueue, 0, "%s%s is no queue of version %d", host, path, p.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Waiting(q.Name), job.Answer{Outcome: job.Done}
}

// Leaving implements Door.
func (d *Node) Leaving() bool { return d.leaving.Load() }

// Limits implements Door.
func (d *Node) Limits() (header, body int, idle time.Duration) {
	p := d.plan.Load()
	if p == nil {
		return 0, 0, 0
	}
	return p.Header, p.Body, p.Idle
}
