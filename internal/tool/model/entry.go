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

// The bounds of a play with an entry VM. Its faults strike at its first words only: a later word is like
// the ones before.
const (
	longHorizon = 6 * time.Second
	longWork    = 2 * time.Second // outlasts a second submission
	longLeft    = 5 * time.Second
	barely      = 400 * time.Millisecond // a job that is so late is still started,
	stale       = 700 * time.Millisecond // and one that is so late is not
	moment      = 600 * time.Millisecond // a pause that is shorter than a lease
	lostAfter   = 700 * time.Millisecond // an owner's silence after which the caller is answered
	slower      = 4                      // a slow link's messages take so many times their distance
	words       = 3                      // after the last of these the entry VM and its link are well
	sparse      = 2                      // the owner's own faults strike at every second word
)

// entry is a VM that answers the job's caller and has VM 0 run the job. VM 0 also runs a job of its own,
// whose renewals prolong the lease of the endpoint.
type entry struct {
	w     *world
	sent  time.Time // when it handed the job over
	lost  bool      // the job never came to VM 0
	ended bool      // it is dead, or its caller has an answer
	again time.Time // the caller submits the job to VM 1
	slow  time.Time // since when its link is
	cut   bool      // its link loses all
	read  time.Time // when the last word was sent that VM 0 has read
}

// tell is the pause between two words.
var tell = (limits.Interval() + step - 1).Truncate(step)

// due returns the number of the word that is due, 0 if none is.
func (e *entry) due() int {
	if d := e.w.now.Sub(e.sent); !e.sent.IsZero() && d%tell == 0 {
		return int(d / tell)
	}
	return 0
}

func (e *entry) tick() {
	o := e.w.vms[0]
	switch {
	case e.sent.IsZero():
		if o.asked {
			e.hand()
			e.stumble()
		}
	case e.ended:
	case o.stands() && o.quiet() >= lostAfter:
		e.giveUp("VM 0 is silent")
	case e.due() > 0:
		e.keep()
		if e.due() <= words {
			e.stumble()
		}
	}
	if e.again.IsZero() || e.w.now.Before(e.again) {
		return
	}
	if e.w.runs(0) {
		e.w.breaks("a run goes on for nobody")
	}
	if v := e.w.vms[1]; !v.asked {
		v.submit()
	}
}

// settled reports whether nothing of the first submission can happen any more.
func (e *entry) settled() bool {
	o := e.w.vms[0]
	over := o.dead || (e.lost || o.answer != nil) && !o.stands()
	if !over || e.w.runs(0) || slices.ContainsFunc(e.w.later, func(x event) bool { return x.to == nil }) {
		return false
	}
	if e.again.IsZero() { // it waits in vain, and its faults are past
		return !o.dead && e.w.now.Sub(e.sent) > words*tell
	}
	return e.w.vms[1].asked
}

// send sends a message to VM 0.
func (e *entry) send(delay time.Duration, do func()) {
	if e.cut {
		return
	}
	at := e.w.now.Add(delay)
	if !e.slow.IsZero() {
		at = at.Add((slower - 1) * e.w.now.Sub(e.slow))
	}
	o := e.w.vms[0]
	read := func() {
		do()
		o.perform()
	}
	if at.After(e.w.now) || o.stands() {
		e.w.later = append(e.w.later, event{at, o, read})
		return
	}
	read()
}

// hand gives the job to VM 0.
func (e *entry) hand() {
	now := e.w.now
	e.sent = now
	e.w.note("the job is submitted to the entry VM")
	take := func() { e.take(now) }
	switch e.w.pick(6) {
	case 0:
		e.send(0, take)
	case 1:
		e.w.note("the job is lost on its way to VM 0")
		e.lost = true
	case 2:
		e.w.note("the job comes to VM 0 soon")
		e.send(soon, take)
	case 3:
		e.w.note("the job comes to VM 0 barely in time")
		e.send(barely, take)
	case 4:
		e.w.note("the job comes to VM 0 late")
		e.send(late, take)
	case 5:
		e.w.note("the job comes to VM 0 too late by a little")
		e.send(stale, take)
	}
}

// take takes the job in at VM 0.
func (e *entry) take(asked time.Time) {
	o, now := e.w.vms[0], e.w.now
	e.read = asked
	switch e.w.fault {
	case HandReadNow:
		asked, e.read = now, now
	case AnyAge: // the book takes it for fresh, and the leases go by its age
		asked = now
	default:
	}
	if now.Sub(asked) > limits.Fresh() {
		o.tell(job.Answer{Outcome: job.Refused, Reason: job.Silent})
		return
	}
	o.book.Submit(now, o.key(), &batch.Job{
		ID: theJob, Queue: "q", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, Left: longLeft, Asked: asked,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 60}, Run: longWork}},
	})
}

// keep says that the job is waited for.
func (e *entry) keep() {
	now, delay, n := e.w.now, time.Duration(0), 0
	if e.due() <= words && e.slow.IsZero() && !e.cut {
		n = e.w.pick(6)
	}
	switch n {
	case 1:
		e.w.note("a word is lost")
		return
	case 2:
		e.w.note("a word comes soon")
		delay = soon
	case 3:
		e.w.note("a word comes late")
		delay = late
	case 4:
		e.w.note("the entry VM's link turns slow")
		e.slow = now.Add(-tell)
	case 5:
		e.w.note("the entry VM's link is cut")
		e.cut = true
	}
	e.send(delay, func() {
		o, asked := e.w.vms[0], now
		if e.w.fault == WordReadNow {
			asked = e.w.now
		}
		e.read = timer.Later(e.read, asked)
		o.book.Keepalive(e.w.now, o.key(), asked)
	})
}

// stumble lets the entry VM die, or answer its caller before the owner did.
func (e *entry) stumble() {
	switch e.w.pick(3) {
	case 1:
		e.w.note("the entry VM dies")
		e.leave(again)
	case 2:
		e.giveUp("its caller left")
	}
}

// giveUp answers that the outcome is unknown, and tells VM 0 that the job is not wanted.
func (e *entry) giveUp(why string) {
	e.w.note("the entry VM answers unknown: %s", why)
	e.leave(again)
	drop := func() {
		o := e.w.vms[0]
		o.book.Cancel(e.w.now, o.key(), why)
	}
	switch e.w.pick(3) {
	case 0:
		e.send(0, drop)
	case 1:
		e.w.note("VM 0 is not told")
	case 2:
		e.w.note("VM 0 is told late")
		e.send(late, drop)
	}
}

// leave ends the wait for VM 0; the caller submits the job again after a time.
func (e *entry) leave(after time.Duration) {
	e.ended, e.again = true, e.w.now.Add(after)
}

// hear takes in VM 0's answer.
func (e *entry) hear(a job.Answer) {
	if e.ended {
		return
	}
	if e.w.pick(2) == 1 {
		e.w.note("the entry VM does not hear it")
		return
	}
	switch a.Outcome {
	case job.Done:
		e.ended, e.w.done = true, true
	case job.Refused: // nothing began: another owner may run it at once
		e.leave(0)
	default:
		e.leave(again)
	}
}

// occupy has a VM run a job of its own.
func (v *vm) occupy() {
	v.asked = true
	v.book.Submit(v.w.now, v.ownKey(), &batch.Job{
		ID: "k", Queue: "k", Attempts: 3, Stretch: 1.6, Slack: 2 * time.Second, Left: 2 * longHorizon,
		Steps: []batch.Step{{Count: 1, Need: job.Size{Cores: 4}, Run: longHorizon}},
	})
	v.perform()
}

// ownKey is that of a job of a VM's own.
func (v *vm) ownKey() owner.Key {
	k := v.key()
	k.Call = 2
	return k
}

// keepOwn asks for the jobs whose callers are at the VM itself, and also for one whose caller has left unnoticed.
func (v *vm) keepOwn() {
	v.book.Keepalive(v.w.now, v.ownKey(), v.w.now)
	if v.n == 1 || v.w.entry == nil {
		v.book.Keepalive(v.w.now, v.key(), v.w.now)
	}
}

// lease is the lease to ask for.
func (v *vm) lease(ep *lease.Endpoint) int64 {
	switch v.w.fault {
	case LeaseAnyway:
		jobs := map[*lease.Run]lease.Job{}
		for _, r := range ep.Runs {
			jobs[r], r.Job = r.Job, nil
		}
		until := ep.Until(v.w.now)
		for r, j := range jobs {
			r.Job = j
		}
		return until
	case AnyAge:
		return min(ep.Until(v.w.now), v.within(ep))
	default:
		return ep.Until(v.w.now)
	}
}

// within is the lease that the right limits allow.
func (v *vm) within(ep *lease.Endpoint) int64 {
	x := lease.New(ep.Info, ep.Fence, limits)
	x.Take(v.w.now, v.w.now, lease.Report{Clock: v.at(ep).clock()})
	for n, r := range ep.Runs {
		c := &lease.Run{Name: r.Name}
		if r.Name == theTask && v.n == 0 {
			c.Job = word{v.w.entry.read}
		}
		x.Runs[n] = c
	}
	return x.Until(v.w.now)
}

// word is a job that was last asked for at a time.
type word struct{ asked time.Time }

// By implements lease.Job.
func (w word) By() time.Time { return w.asked.Add(limits.Outlive()) }
