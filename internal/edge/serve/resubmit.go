package serve

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

// advertiseLead is how long before a job may be submitted again its owner begins to advertise it, so that two heartbeats
// reach the VMs of other failure domains by then.
const advertiseLead = 2*view.RemoteFactor*view.Period + tickEvery

// advertiseAge returns the age from which an owner advertises a job, and false if callers never submit a job again.
func (d *Node) advertiseAge() (age time.Duration, ok bool) {
	resend := d.cfg.Limits.Resend
	return max(0, resend-advertiseLead), resend > 0
}

// advertised returns the jobs to list in a heartbeat; the caller holds the lock.
func (d *Node) advertised(now time.Time) []uint64 {
	age, ok := d.advertiseAge()
	if !ok {
		return nil
	}
	return append(d.scheduler.Advertised(now, age), d.advertisedSplit(now, age)...)
}

// findOwner returns the VM, other than those in except, that has a job for an earlier submission; the caller holds the lock.
//
// The end of a caller's connection may take seconds to reach the VM that serves it. Until then that VM asks for the job,
// while the caller submits it again elsewhere.
func (d *Node) findOwner(now time.Time, id string, except ...netip.AddrPort) (view.Advertiser, bool) {
	if d.scheduler.Has(id) {
		return view.Advertiser{VM: d.cfg.VM, Heard: now}, true
	}
	return d.view.FindJob(now, batch.HashID(id), d.cfg.Limits.Outlive(), except...)
}

// assignRunning gives a call to the VM that has its job for an earlier submission, and reports whether there is one; the
// caller holds the lock.
func (d *Node) assignRunning(now time.Time, c *call) bool {
	a, ok := d.findOwner(now, c.job.ID)
	if !ok {
		return false
	}
	d.log.Info("job was submitted before", "job", c.job.ID, "owner", a.VM, "heard", now.Sub(a.Heard).Round(time.Millisecond), "restarted", a.Restarted)
	c.formerOwner = a.VM
	if a.Restarted {
		d.finishCall(c, d.mayStillRun(a.VM))
		return true
	}
	d.assignFormer(now, c)
	return true
}

// assignFormer gives a call to the owner of an earlier call of the same job, which alone knows whether its runs
// continue; the caller holds the lock.
func (d *Node) assignFormer(now time.Time, c *call) {
	if d.sendDelay(c.formerOwner) >= d.cfg.Limits.Fresh() {
		d.finishCall(c, d.mayStillRun(c.formerOwner))
		return
	}
	if err := d.assignTo(now, c.formerOwner, c); err != nil {
		d.log.Info("former owner unreachable", "job", c.job.ID, "owner", c.formerOwner, "err", err)
		d.finishCall(c, d.mayStillRun(c.formerOwner))
	}
}

// endUnreachable answers the calls whose former owner does not hear this VM, and so would have ended their jobs; the
// caller holds the lock.
func (d *Node) endUnreachable() {
	for _, c := range d.calls {
		if c.formerOwner.IsValid() && c.formerOwner == c.owner && d.sendDelay(c.owner) >= d.cfg.Limits.Expiry() {
			d.cancelCall(c, d.mayStillRun(c.owner))
		}
	}
}

// sendDelay returns how late this VM's messages reach another VM, by what most VMs and that VM say; the caller holds the
// lock.
func (d *Node) sendDelay(vm netip.AddrPort) time.Duration {
	delay := time.Duration(0)
	if vm != d.cfg.VM && d.strained {
		delay = d.delay
	}
	if m := d.heardMember(vm); m != nil {
		delay = max(delay, m.Reported(d.cfg.VM))
	}
	return delay
}

// mayStillRun returns the answer to a call whose job may still run at an owner for an earlier call. It is not a refusal,
// which would say that the job never runs.
func (d *Node) mayStillRun(vm netip.AddrPort) job.Answer {
	return job.Answer{Outcome: job.Unknown, Reason: job.StillRuns, Retry: jitter(d.cfg.Limits.Outlive()), Detail: fmt.Sprintf("the same job may still run at %s", vm)}
}

// runsElsewhere reports whether another owner has a job that was handed over by a VM that does not know so: not all VMs
// hear each other. The caller holds the lock.
func (d *Node) runsElsewhere(now time.Time, m *frame.RunJob) (netip.AddrPort, bool) {
	var except []netip.AddrPort
	if m.Job.Part() { // Tried are also the owners of the other parts and the VM that gathers them, which advertise the job
		except = m.Tried
	}
	a, ok := d.findOwner(now, m.Job.ID, except...)
	return a.VM, ok && a.VM != d.cfg.VM && !slices.Contains(m.Tried, a.VM)
}
