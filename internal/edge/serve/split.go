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
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/parts"
	"dahliawinch/internal/task/route"
)

// readsParts reports whether an owner can run parts of jobs. VMs of older builds would run the first tasks of the job
// instead of the part's.
func (d *Node) readsParts(vm netip.AddrPort) bool {
	if vm == d.cfg.VM {
		return true
	}
	m := d.heardMember(vm)
	return m != nil && m.State == view.Alive && m.Beat.Parts
}

// splitCall sends the tasks of a call's job to several owners, if that is better than one, and reports whether it did;
// the caller holds the lock.
func (d *Node) splitCall(now time.Time, c *call) bool {
	if !d.cfg.Options.Split || c.formerOwner.IsValid() || !parts.Splittable(c.job) || d.ownersMissing(now) || d.strained {
		return false
	}
	latency := d.pace.MeanTime()
	best := d.routes.Pick(now, c.job.Rank, c.cores, nil, latency)
	rooms := d.routes.Rooms(now, c.job.Rank, c.job.Steps[0].Need.Cores, latency)
	i := slices.IndexFunc(rooms, func(r parts.Room) bool { return r.VM == best })
	if i < 0 {
		return false
	}
	whole := rooms[i]
	rooms = slices.DeleteFunc(rooms, func(r parts.Room) bool { return !d.readsParts(r.VM) })
	plan := parts.Plan(c.job.Steps[0].Count, whole, rooms, c.job.Objective(c.job.Steps[0].Run)-c.job.Steps[0].Run)
	if plan == nil {
		return false
	}
	c.parts = parts.New(plan, func() uint64 { return d.serial.Add(1) })
	d.logSplit(c, plan, whole, rooms)
	d.deps.Meter.AddSplitJob()
	for _, p := range c.parts.Parts() {
		d.partCalls[p.Call] = c
	}
	for _, p := range c.parts.Parts() {
		if c.ended {
			break
		}
		if vm := p.Owner; !d.sendPart(now, c, p, vm, nil) {
			d.applyStep(now, c, parts.Step{Move: p})
		}
	}
	return true
}

// logSplit logs the decision to split a job.
func (d *Node) logSplit(c *call, plan []parts.Share, whole parts.Room, rooms []parts.Room) {
	var owners []netip.AddrPort
	var counts, places []int
	var oldest time.Duration
	for _, s := range plan {
		r := rooms[slices.IndexFunc(rooms, func(r parts.Room) bool { return r.VM == s.VM })]
		owners, counts, places = append(owners, s.VM), append(counts, s.Count), append(places, r.Places)
		oldest = max(oldest, r.Age)
	}
	d.log.Info("job split", "job", c.job.ID, "queue", c.job.Queue, "parts", len(plan), "tasks", counts, "owners", owners, "free_places", places, "report_age", oldest.Round(time.Millisecond),
		"why", fmt.Sprintf("%s has %d places for %d tasks, the last would wait %s", whole.VM, whole.Places, c.job.Tasks(), whole.Last(c.job.Tasks()).Round(time.Millisecond)))
}

// sendPart gives a part to an owner and reports whether it was sent. Known are the VMs that may advertise the job without
// running this part.
func (d *Node) sendPart(now time.Time, c *call, p *parts.Part, vm netip.AddrPort, known []netip.AddrPort) bool {
	cores := float64(p.Count) * c.job.Steps[0].Need.Cores
	j := c.job.Range(p.First, p.Count)
	j.Age, j.TimeLeft, j.Begun = now.Sub(c.arrived), c.deadline.Sub(now), len(p.Tried) > 0 && c.parts.MayHaveBegun()
	if vm == d.cfg.VM {
		c.parts.Sent(now, p, vm)
		d.routes.RecordSent(vm, cores)
		d.scheduler.Submit(now, owner.Key{VM: vm, Inc: d.cfg.Inc, Call: p.Call}, &j)
		return true
	}
	m := d.heardMember(vm)
	if m == nil {
		c.parts.Unsent(p, vm)
		return false
	}
	j.AskedAt = m.Theirs(now)
	if err := d.deps.Mesh.Send(vm, &frame.RunJob{To: m.Inc, Call: p.Call, Job: j, Tried: append(slices.Clone(p.Tried), known...)}); err != nil {
		d.log.Info("owner unreachable", "job", c.job.ID, "first", p.First, "owner", vm, "err", err)
		d.routes.MarkUnreachable(vm, now)
		c.parts.Unsent(p, vm)
		return false
	}
	c.parts.Sent(now, p, vm)
	d.routes.RecordSent(vm, cores)
	return true
}

// applyStep carries out what follows from an event of a split job; the caller holds the lock.
func (d *Node) applyStep(now time.Time, c *call, s parts.Step) {
	for s.Move != nil {
		s = d.movePart(now, c, s.Move)
	}
	if a := s.Answer; a != nil {
		if a.Outcome == job.Refused {
			a.Retry = jitter(a.Retry)
		}
		d.finishCall(c, *a)
	}
	for i := range s.Cancel {
		d.cancelPart(c, &s.Cancel[i])
	}
}

// movePart sends a part of which nothing has begun to another owner.
func (d *Node) movePart(now time.Time, c *call, p *parts.Part) parts.Step {
	if c.hasLeft() {
		return c.parts.End(callerLeft)
	}
	for len(p.Tried) < route.MaxTries {
		holders := c.parts.Holders(p)
		not := slices.Concat(p.Tried, holders, d.routes.Owners(now, func(vm netip.AddrPort) bool { return !d.readsParts(vm) }))
		vm := d.routes.Pick(now, c.job.Rank, float64(p.Count)*c.job.Steps[0].Need.Cores, not, d.pace.MeanTime())
		if !vm.IsValid() {
			break
		}
		if d.sendPart(now, c, p, vm, append(holders, d.cfg.VM)) {
			d.log.Info("part moved", "job", c.job.ID, "first", p.First, "tasks", p.Count, "owner", vm, "tried", p.Tried, "age", now.Sub(c.arrived).Round(time.Millisecond))
			return parts.Step{}
		}
	}
	d.log.Info("no owner for part", "job", c.job.ID, "first", p.First, "tasks", p.Count, "tried", p.Tried, "age", now.Sub(c.arrived).Round(time.Millisecond))
	return c.parts.Stuck(now)
}

// cancelPart cancels a part at its owner.
func (d *Node) cancelPart(c *call, p *parts.Part) {
	if p.Owner == d.cfg.VM {
		d.scheduler.Cancel(d.now(), owner.Key{VM: p.Owner, Inc: d.cfg.Inc, Call: p.Call}, "its job ended")
		return
	}
	if err := d.deps.Mesh.Send(p.Owner, &frame.CancelJob{At: d.now(), Call: p.Call}); err != nil {
		d.log.Info("cancel not sent to owner", "job", c.job.ID, "owner", p.Owner, "err", err) // the owner ends the part once keepalives stop
	}
}

// receivePartAnswer handles an owner's answer to a part of a call's job; the caller holds the lock.
func (d *Node) receivePartAnswer(now time.Time, from netip.AddrPort, n uint64, c *call, a job.Answer) {
	p := c.parts.Find(n)
	if p.State != parts.Placed || p.Owner != from {
		return
	}
	d.deps.Meter.AddPart(a.Outcome)
	if a.Outcome == job.Refused {
		d.log.Info("part refused", "job", c.job.ID, "first", p.First, "tasks", p.Count, "owner", from, "reason", string(a.Reason), "detail", a.Detail, "after", now.Sub(p.SentAt).Round(time.Millisecond))
	}
	s := c.parts.Answered(now, n, from, a, retryable(a.Reason))
	d.applyStep(now, c, s)
	d.perform()
}

// losePartOwner ends the split jobs of which a lost owner has a part.
func (d *Node) losePartOwner(vm netip.AddrPort, why string) {
	for _, c := range d.calls {
		if c.parts != nil {
			d.applyStep(d.now(), c, c.parts.Lost(vm, job.Answer{Outcome: job.Unknown, Reason: job.Silent, Detail: why}))
		}
	}
}

// settleSplit ends split jobs whose cancelled parts were not answered in time; the caller holds the lock.
func (d *Node) settleSplit(now time.Time) {
	for _, c := range d.calls {
		if c.parts != nil {
			d.applyStep(now, c, c.parts.Expired(now))
		}
	}
}

// endSplit ends the call of a split job that another VM submits, and reports whether there is one. Its caller has left
// and the end of its connection was not noticed.
func (d *Node) endSplit(m *frame.RunJob) bool {
	c := d.byID[m.Job.ID]
	if c == nil || c.parts == nil {
		return false
	}
	d.log.Info("split job submitted elsewhere", "job", m.Job.ID)
	d.cancelCall(c, d.resubmitted())
	return true
}

// wantedParts returns the parts that must be kept alive.
func (c *call) wantedParts() (all []*parts.Part) {
	if c.parts == nil || c.parts.Ending() {
		return nil
	}
	for _, p := range c.parts.Parts() {
		if p.State == parts.Placed {
			all = append(all, p)
		}
	}
	return all
}

// forgetParts drops the call numbers of a finished call's parts.
func (d *Node) forgetParts(c *call) {
	if c.parts == nil {
		return
	}
	var counts, tries []int
	var owners []netip.AddrPort
	for _, p := range c.parts.Parts() {
		delete(d.partCalls, p.Call)
		counts, tries, owners = append(counts, p.Count), append(tries, len(p.Tried)), append(owners, p.Owner)
	}
	d.log.Info("job gathered", "job", c.job.ID, "outcome", c.answer.Outcome.String(), "reason", string(c.answer.Reason), "parts", len(counts), "tasks", counts, "owners", owners, "refusals", tries)
}

// advertisedSplit returns the split jobs that this VM gathers and that callers may submit again by now. Its owners alone
// can't tell when all parts are over; the caller holds the lock.
func (d *Node) advertisedSplit(now time.Time, minAge time.Duration) (hashes []uint64) {
	for _, c := range d.calls {
		if c.parts != nil && now.Sub(c.arrived) >= minAge {
			hashes = append(hashes, batch.HashID(c.job.ID))
		}
	}
	return hashes
}
