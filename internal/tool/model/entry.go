package model

import (
	"slices"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
)

// Bounds of a run with an entry VM. Only the first keepalives are subject to faults, since later ones are
// like those before.
const (
	longHorizon      = 6 * time.Second
	longWork         = 2 * time.Second // longer than the time to a second submission
	longDeadline     = 5 * time.Second
	freshDelay       = 400 * time.Millisecond // a job with this delay is still started
	staleDelay       = 700 * time.Millisecond // a job with this delay is refused as stale
	shortPause       = 600 * time.Millisecond // shorter than a lease
	silenceTimeout   = 700 * time.Millisecond // silence of the owner after which the caller gets an answer
	slowFactor       = 4                      // a message sent d after slowSince arrives slowFactor*d after it, plus its delay
	faultyKeepalives = 3                      // keepalives that are subject to faults
	ownerFaultEvery  = 2                      // the owner may fail at every second keepalive
)

// entry is a VM that answers the job's caller and has VM 0 run the job. VM 0 also runs a job of its own,
// whose renewals extend the lease of the endpoint.
type entry struct {
	w             *world
	sent          time.Time // when the job was forwarded
	jobLost       bool      // the job was lost on its way to VM 0
	ended         bool      // the VM is dead or has answered its caller
	resubmitAt    time.Time // when the caller submits the job to VM 1
	slowSince     time.Time // since when its link is slow
	cut           bool      // its link loses all messages
	lastKeepalive time.Time // send time of the last keepalive that VM 0 has read
}

// keepaliveInterval is the time between two keepalives.
var keepaliveInterval = (limits.Interval() + step - 1).Truncate(step)

// dueKeepalive returns the number of the keepalive that is due, or 0.
func (e *entry) dueKeepalive() int {
	if d := e.w.now.Sub(e.sent); !e.sent.IsZero() && d%keepaliveInterval == 0 {
		return int(d / keepaliveInterval)
	}
	return 0
}

func (e *entry) tick() {
	o := e.w.vms[0]
	switch {
	case e.sent.IsZero():
		if o.submitted {
			e.forwardJob()
			e.fail()
		}
	case e.ended:
	case o.isDown() && o.downTime() >= silenceTimeout:
		e.giveUp("VM 0 is silent")
	case e.dueKeepalive() > 0:
		e.sendKeepalive()
		if e.dueKeepalive() <= faultyKeepalives {
			e.fail()
		}
	}
	if e.resubmitAt.IsZero() || e.w.now.Before(e.resubmitAt) {
		return
	}
	if e.w.isRunning(0) {
		e.w.addViolation("a run goes on after its job was given up")
	}
	if v := e.w.vms[1]; !v.submitted {
		v.submit()
	}
}

// settled reports whether the first submission can cause no more events.
func (e *entry) settled() bool {
	o := e.w.vms[0]
	over := o.dead || (e.jobLost || o.answer != nil) && !o.isDown()
	if !over || e.w.isRunning(0) || slices.ContainsFunc(e.w.events, func(x event) bool { return x.receiver == nil }) {
		return false
	}
	if e.resubmitAt.IsZero() { // it waits for an answer that never comes, and the time of faults is over
		return !o.dead && e.w.now.Sub(e.sent) > faultyKeepalives*keepaliveInterval
	}
	return e.w.vms[1].submitted
}

// send sends a message to VM 0.
func (e *entry) send(delay time.Duration, do func()) {
	if e.cut {
		return
	}
	at := e.w.now.Add(delay)
	if !e.slowSince.IsZero() {
		at = at.Add((slowFactor - 1) * e.w.now.Sub(e.slowSince))
	}
	o := e.w.vms[0]
	read := func() {
		do()
		o.perform()
	}
	if at.After(e.w.now) || o.isDown() {
		e.w.events = append(e.w.events, event{at, o, read, nil})
		return
	}
	read()
}

// forwardJob sends the job to VM 0.
func (e *entry) forwardJob() {
	now := e.w.now
	e.sent = now
	e.w.record("the job is submitted to the entry VM")
	receive := func() { e.receiveJob(now) }
	switch e.w.pick(6) {
	case 0:
		e.send(0, receive)
	case 1:
		e.w.record("the job is lost on its way to VM 0")
		e.jobLost = true
	case 2:
		e.w.record("the job reaches VM 0 with a short delay")
		e.send(shortDelay, receive)
	case 3:
		e.w.record("the job reaches VM 0 just in time")
		e.send(freshDelay, receive)
	case 4:
		e.w.record("the job reaches VM 0 late")
		e.send(longDelay, receive)
	case 5:
		e.w.record("the job reaches VM 0 slightly too late")
		e.send(staleDelay, receive)
	}
}

// receiveJob submits the job to VM 0's owner, or refuses it if it is stale.
func (e *entry) receiveJob(sent time.Time) {
	o, now := e.w.vms[0], e.w.now
	e.lastKeepalive = sent
	switch e.w.mutation {
	case JobAgeFromRead:
		sent, e.lastKeepalive = now, now
	case StaleKeepaliveStarts: // treated as fresh here, while leases depend on its real age
		sent = now
	default:
	}
	if now.Sub(sent) > limits.Fresh() {
		o.sendAnswer(job.Answer{Outcome: job.Refused, Reason: job.Silent})
		return
	}
	o.owner.Submit(now, o.key(), &batch.Job{
		ID: theJob, Queue: "q", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, TimeLeft: longDeadline, AskedAt: sent,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 60}, Run: longWork}},
	})
}

// sendKeepalive tells VM 0 that the caller still waits for the job.
func (e *entry) sendKeepalive() {
	now, delay, n := e.w.now, time.Duration(0), 0
	if e.dueKeepalive() <= faultyKeepalives && e.slowSince.IsZero() && !e.cut {
		n = e.w.pick(6)
	}
	switch n {
	case 1:
		e.w.record("a keepalive is lost")
		return
	case 2:
		e.w.record("a keepalive arrives with a short delay")
		delay = shortDelay
	case 3:
		e.w.record("a keepalive arrives late")
		delay = longDelay
	case 4:
		e.w.record("the entry VM's link becomes slow")
		e.slowSince = now.Add(-keepaliveInterval)
	case 5:
		e.w.record("the entry VM's link is cut")
		e.cut = true
	}
	e.send(delay, func() {
		o, sent := e.w.vms[0], now
		if e.w.mutation == KeepaliveAgeFromRead {
			sent = e.w.now
		}
		e.lastKeepalive = timer.Later(e.lastKeepalive, sent)
		o.owner.Keepalive(e.w.now, o.key(), sent)
	})
}

// fail lets the entry VM die, or answer its caller before the owner has answered.
func (e *entry) fail() {
	switch e.w.pick(3) {
	case 1:
		e.w.record("the entry VM dies")
		e.stopWaiting(resubmitAfter)
	case 2:
		e.giveUp("its caller left")
	}
}

// giveUp answers that the outcome is unknown, and cancels the job at VM 0.
func (e *entry) giveUp(why string) {
	e.w.record("the entry VM answers unknown: %s", why)
	e.stopWaiting(resubmitAfter)
	cancel := func() {
		o := e.w.vms[0]
		o.owner.Cancel(e.w.now, o.key(), why)
	}
	switch e.w.pick(3) {
	case 0:
		e.send(0, cancel)
	case 1:
		e.w.record("the cancellation to VM 0 is lost")
	case 2:
		e.w.record("the cancellation reaches VM 0 late")
		e.send(longDelay, cancel)
	}
}

// stopWaiting ends the wait for VM 0. The caller submits the job again after the given time.
func (e *entry) stopWaiting(after time.Duration) {
	e.ended, e.resubmitAt = true, e.w.now.Add(after)
}

// receiveAnswer handles VM 0's answer.
func (e *entry) receiveAnswer(a job.Answer) {
	if e.ended {
		return
	}
	if e.w.pick(2) == 1 {
		e.w.record("the answer to the entry VM is lost")
		return
	}
	switch a.Outcome {
	case job.Done:
		e.ended, e.w.done = true, true
	case job.Refused: // nothing has started: another owner may run it at once
		e.stopWaiting(0)
	default:
		e.stopWaiting(resubmitAfter)
	}
}

// submitOwn submits a second job, whose caller is at the VM itself.
func (v *vm) submitOwn() {
	v.submitted = true
	v.owner.Submit(v.w.now, v.ownKey(), &batch.Job{
		ID: "k", Queue: "k", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, TimeLeft: 2 * longHorizon,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 4}, Run: longHorizon}},
	})
	v.perform()
}

// ownKey returns the key of the job that submitOwn submits.
func (v *vm) ownKey() owner.Key {
	k := v.key()
	k.Call = 2
	return k
}

// keepOwnAlive sends keepalives for the jobs whose callers are at the VM itself. It goes on if a caller has
// left, since the VM does not notice that unless endpoints restart.
func (v *vm) keepOwnAlive() {
	if v.w.restarts && v.n == 0 && v.w.vms[1].submitted {
		return
	}
	v.owner.Keepalive(v.w.now, v.ownKey(), v.w.now)
	if v.n == 1 || v.w.entry == nil {
		v.owner.Keepalive(v.w.now, v.key(), v.w.now)
	}
}

// leaseUntil returns the end of the lease to request.
func (v *vm) leaseUntil(ep *lease.Endpoint) int64 {
	switch v.w.mutation {
	case LeaseIgnoresKeepalive:
		jobs := map[*lease.Run]lease.Job{}
		for _, r := range ep.Runs {
			jobs[r], r.Job = r.Job, nil
		}
		until := ep.RenewUntil(v.w.now)
		for r, j := range jobs {
			r.Job = j
		}
		return until
	case StaleKeepaliveStarts:
		return min(ep.RenewUntil(v.w.now), v.strictLease(ep))
	default:
		return ep.RenewUntil(v.w.now)
	}
}

// strictLease returns the end of the lease that the unmutated rules allow.
func (v *vm) strictLease(ep *lease.Endpoint) int64 {
	x := lease.New(ep.Info, ep.Fence, limits)
	x.ApplyReport(v.w.now, v.w.now, lease.Report{Clock: v.endpointOf(ep).clock()})
	for n, r := range ep.Runs {
		c := &lease.Run{Name: r.Name}
		if r.Name == theTask && v.n == 0 {
			c.Job = keptAlive{v.w.entry.lastKeepalive}
		}
		x.Runs[n] = c
	}
	return x.RenewUntil(v.w.now)
}

// keptAlive is a job with the send time of its last keepalive.
type keptAlive struct{ sent time.Time }

// EndBy implements lease.Job.
func (k keptAlive) EndBy() time.Time { return k.sent.Add(limits.Outlive()) }
