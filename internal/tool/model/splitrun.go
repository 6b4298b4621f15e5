package model

import (
	"time"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/parts"
)

// splitHorizon is how long a split job is explored: until the runs of its second submission have ended.
const splitHorizon = resubmitAfter + 2*splitWork + time.Second

// run simulates the world to its end.
func (w *splitWorld) run() {
	for w.since() < splitHorizon && len(w.violations) == 0 {
		w.tick()
		w.now = w.now.Add(step)
	}
	if w.answer == nil && w.gathererUp && len(w.violations) == 0 {
		w.addViolation("the caller gets no answer")
	}
}

func (w *splitWorld) tick() {
	due := w.inbox
	w.inbox = nil
	for _, x := range due {
		switch {
		case x.to != nil && x.to.dead:
		case w.now.Before(x.at) || (x.to != nil && x.to.isDown()):
			w.inbox = append(w.inbox, x)
		default:
			x.do()
		}
	}
	for _, o := range w.owners {
		o.end.endRuns()
	}
	w.tickGatherer()
	for _, o := range w.owners {
		o.tick()
	}
	w.resubmit()
}

// tickGatherer sends the parts and keepalives, and lets the gathering VM die or its caller leave.
func (w *splitWorld) tickGatherer() {
	if w.sentAt.IsZero() {
		if ep := w.owners[0].sched.Find("a"); ep == nil || !ep.Synced {
			return
		}
		w.sentAt = w.now
		for i, p := range w.gather.Parts() {
			w.sendPart(p, w.owners[i])
		}
	}
	if !w.gathererUp {
		return
	}
	for _, o := range w.owners {
		if o.isDown() && w.now.Sub(o.downSince) >= silenceTimeout {
			w.loseOwner(o)
		}
	}
	w.apply(w.gather.Expired(w.now))
	if w.now.Sub(w.sentAt) == longDeadline {
		w.apply(w.gather.End(job.Answer{Outcome: job.Unknown, Reason: job.Deadline}))
	}
	d := w.now.Sub(w.sentAt)
	if n := int(d / keepaliveInterval); d > 0 && d%keepaliveInterval == 0 {
		w.sendKeepalives(n)
		if n <= faultyBeats {
			w.failGatherer()
		}
	}
}

// loseOwner handles an owner that has been silent for too long.
func (w *splitWorld) loseOwner(o *splitOwner) {
	if w.mutation == MoveOnSilence {
		for _, p := range w.gather.Parts() {
			if p.State == parts.Placed && p.Owner == o.vm() {
				w.apply(w.gather.Answered(w.now, p.Call, o.vm(), job.Answer{Outcome: job.Refused}, true))
			}
		}
		return
	}
	w.apply(w.gather.Lost(o.vm(), job.Answer{Outcome: job.Unknown, Reason: job.Silent}))
}

// sendKeepalives tells the owners which parts the caller waits for.
func (w *splitWorld) sendKeepalives(n int) {
	if w.gather.Ending() {
		return
	}
	for _, p := range w.gather.Parts() {
		if p.State != parts.Placed {
			continue
		}
		o, key, sent := w.owners[w.ownerOf(p.Owner)], owner.Key{VM: splitVM(50), Inc: 1, Call: p.Call}, w.now
		read := func() { o.sched.Keepalive(w.now, key, sent) }
		if n <= faultyBeats {
			w.transmit("a keepalive", o, read)
		} else {
			w.later(o, 0, read)
		}
	}
}

// failGatherer lets the gathering VM die, or its caller leave.
func (w *splitWorld) failGatherer() {
	if w.answer != nil {
		return
	}
	switch w.pick(4) {
	case 1:
		w.record("the gathering VM dies")
		w.gathererUp, w.resubmitAt = false, w.now.Add(resubmitAfter)
	case 2:
		w.record("the caller leaves")
		w.apply(w.gather.End(job.Answer{Outcome: job.Unknown, Reason: job.Canceled}))
	case 3:
		w.record("the caller leaves unnoticed")
		w.unnoticed, w.resubmitAt = true, w.now.Add(unnoticedLeave)
	}
}

// tick runs one step of an owner.
func (o *splitOwner) tick() {
	if o.isDown() {
		return
	}
	o.renew()
	o.sched.Tick(o.w.now)
	o.perform()
	d := o.w.now.Sub(o.w.sentAt)
	if o.w.sentAt.IsZero() || o.n == splitOwners-1 || d%(2*keepaliveInterval) != 0 || d > 4*keepaliveInterval {
		return
	}
	switch o.w.pick(3) {
	case 1:
		o.w.record("owner %d pauses", o.n)
		o.downSince, o.downUntil = o.w.now, o.w.now.Add(longPause)
	case 2:
		o.w.record("owner %d dies", o.n)
		o.downSince, o.dead = o.w.now, true
	}
}

// resubmit submits the whole job to an owner once its caller may do so. A caller whose leave was not noticed comes to an
// owner that lists the job; others to the owner that had no part at first.
func (w *splitWorld) resubmit() {
	if w.again || w.resubmitAt.IsZero() || w.now.Before(w.resubmitAt) {
		return
	}
	to := w.owners[splitOwners-1]
	if w.unnoticed && w.mutation != IgnoreListing {
		to = w.listing()
		if to == nil {
			return
		}
	} else if !w.unnoticed && w.now.Sub(w.resubmitAt) == 0 && (w.answer == nil || w.answer.Outcome != job.Refused) {
		w.checkOutlived()
	}
	w.again = true
	if to.isDown() {
		return
	}
	w.record("the job is submitted again to owner %d", to.n)
	j := wholeJob(w.now)
	to.sched.Submit(w.now, owner.Key{VM: splitVM(51), Inc: 1, Call: 1}, j)
	to.perform()
}

// listing returns an owner that has a part of the job, or nil.
func (w *splitWorld) listing() *splitOwner {
	for _, o := range w.owners {
		if !o.isDown() && o.sched.Has(theJob) {
			return o
		}
	}
	return nil
}

// checkOutlived checks that nothing runs when an unknown job may be submitted again.
func (w *splitWorld) checkOutlived() {
	for _, e := range w.endpoints {
		if len(e.runs) > 0 {
			w.addViolation("a run on %s goes on after its job was given up", e.id)
		}
	}
}

// ExploreSplit is Explore for a job whose tasks are at two owners.
func ExploreSplit(faults int, m Mutation) (sequences int, trace []string) {
	for maxFaults := range faults + 1 {
		c := &chooser{maxFaults: maxFaults}
		for more := true; more; more = c.next() {
			w := newSplitWorld(c, m)
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
