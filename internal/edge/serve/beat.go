package serve

import (
	"net/netip"
	"time"

	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/route"
)

const (
	// lostAfter is how long an owner may be silent before jobs handed to it are answered as unknown.
	lostAfter = 700 * time.Millisecond
	// lossReportDelay is how long it takes until another owner's report of lost endpoints arrives: two renewals of an
	// endpoint without an answer, plus a heartbeat between failure domains.
	lossReportDelay = 2*(renewWait+renewGrace) + view.RemoteFactor*view.Period
)

// heartbeat sends heartbeats, checks for silent VMs and updates the claims.
func (d *Node) heartbeat() {
	now := d.now()
	for _, c := range d.view.Tick(now) {
		d.memberChanged(c)
	}
	now = d.lock()
	d.updateStrain(now)
	d.updateIsolation(now)
	d.updateClaims(now)
	b := d.newBeat(now)
	speeds := d.speedEntries(now)
	d.logPressure(now)
	d.perform()
	d.mu.Unlock()
	d.beatCount++
	var to, near []netip.AddrPort
	for i, m := range d.view.Members() {
		if !m.Speaks() || ((d.beatCount+int64(i))%view.RemoteFactor != 0 && !b.Leaving && !d.view.Often(m)) {
			continue
		}
		if len(speeds) > 0 && m.Domain == d.cfg.Domain {
			near = append(near, m.VM)
			continue
		}
		to = append(to, m.VM)
	}
	d.deps.Mesh.SendAll(to, b)
	if len(near) > 0 {
		withSpeeds := *b
		withSpeeds.Speeds = speeds
		d.deps.Mesh.SendAll(near, &withSpeeds)
	}
}

// updateStrain updates whether this VM's messages reach the others late; the caller holds the lock.
func (d *Node) updateStrain(now time.Time) {
	d.delay = d.view.Delay()
	on := d.strain.Update(now, d.delay)
	if on == d.strained {
		return
	}
	d.strained = on
	d.claims.SetStrained(on)
	d.log.Info("vm strained", "on", on, "delay", d.delay)
}

// updateIsolation updates whether this VM seems to be cut off from all others; the caller holds the lock.
func (d *Node) updateIsolation(now time.Time) {
	on := d.view.Isolated(now)
	if on == d.isolated {
		return
	}
	d.isolated = on
	d.claims.SetIsolated(on)
	d.log.Info("vm isolated", "on", on, "members", len(d.view.Members()))
}

// beatListed sends a heartbeat to the VMs that were just read from the store and have not been heard. After a loss
// of all VMs each one delays its claims until it hears its neighbours, and the next regular heartbeat would be up to
// 0.1 s later. Without this extra heartbeat, simulated days that end with such a loss score 0.002 to 0.008 less.
func (d *Node) beatListed() {
	b := d.newBeat(d.lock())
	d.mu.Unlock()
	var to []netip.AddrPort
	for _, m := range d.view.Members() {
		if m.State == view.Listed && m.Speaks() {
			to = append(to, m.VM)
		}
	}
	d.deps.Mesh.SendAll(to, b)
}

// memberChanged handles the arrival, departure or restart of a VM.
func (d *Node) memberChanged(c view.Change) {
	d.log.Info("vm "+c.State.String(), "vm", c.VM, "inc", c.Inc, "restarted", c.Reborn)
	now := d.lock()
	defer d.mu.Unlock()
	if c.State == view.Alive && (d.aliveSince[c.VM].IsZero() || c.Reborn) {
		d.aliveSince[c.VM] = now
		b := d.newBeat(now)
		b.Speeds = d.speedsFor(now, c.VM)
		_ = d.deps.Mesh.Send(c.VM, b) // it may be about to claim groups that are owned here
	}
	if c.State == view.Gone || c.State == view.Left {
		delete(d.aliveSince, c.VM)
	}
	if c.Reborn {
		d.routes.Forget(c.VM)
		d.forgetDemand(c.VM)
		d.loseOwner(c.VM, "the owner was restarted")
		d.scheduler.CancelMatching(now, func(k owner.Key) bool { return k.VM == c.VM && k.Inc != c.Inc }, "its VM was restarted")
	}
	d.perform()
}

// dropSilent drops the loads of silent VMs and answers the jobs that they own.
func (d *Node) dropSilent(now time.Time) {
	for _, m := range d.view.Members() {
		if m.State == view.Listed || now.Sub(m.Heard) < lostAfter {
			continue
		}
		d.routes.Forget(m.VM)
		d.forgetDemand(m.VM)
		d.loseOwner(m.VM, "the owner is silent")
	}
}

// loadInBeat reports whether this VM's load is sent inside its heartbeats, because separate load messages would be
// no more frequent; the caller holds the lock.
//
// Otherwise, with 300 VMs an owner sends its load to 110 others every 0.4 s besides a heartbeat every 0.3 s, each VM
// reads 100 such messages a second, and processor time grows faster than the fleet.
func (d *Node) loadInBeat() bool {
	return d.loadInterval > view.RemoteFactor*view.Period && d.sentLoad.Total > 0
}

// newBeat returns this VM's heartbeat; the caller holds the lock.
func (d *Node) newBeat(now time.Time) *frame.Heartbeat {
	b := &frame.Heartbeat{At: now, Leaving: d.leaving.Load(), Doubts: d.view.Doubts(now), Power: float32(d.cfg.Cores), Claims: d.claimFrames(), Storeless: d.storeless.Load(), Late: d.view.Lates(now), Strained: d.strained}
	for _, s := range d.scheduler.Suspects(now) {
		b.Suspects = append(b.Suspects, frame.Suspect(s))
	}
	for _, l := range d.scheduler.Losses(now) {
		b.Losses = append(b.Losses, frame.Loss(l))
	}
	for _, c := range d.scheduler.Cleared(now) {
		b.Cleared = append(b.Cleared, frame.Cleared(c))
	}
	b.Parts = d.cfg.Options.Split
	b.Jobs, b.Relayed, b.Unheard = d.advertised(now), d.view.RelayedJobs(now), d.view.Unheard()
	if d.loadInBeat() {
		l := d.loadFrame(d.load(now))
		l.Next = view.RemoteFactor * view.Period
		b.Load = &l
	}
	b.Shared = sharedFrames(d.scheduler.Shares())
	b.Demand = d.demandFrame(now, true)
	return b
}

// tick checks deadlines and silent VMs.
func (d *Node) tick() {
	now := d.lock()
	defer d.mu.Unlock()
	d.keepLocalJobs(now)
	d.dropSilent(now)
	d.endUnreachable()
	d.settleSplit(now)
	if now.Sub(d.began) < joinWindow {
		d.updateClaims(now) // more often than heartbeats: until the first claim all jobs wait
	}
	d.unpark(now)
	d.scheduler.Tick(now)
	d.perform()
}

// loadRepeat is how often an unchanged load is sent again, so that receivers don't expire it.
const loadRepeat = 160 * time.Millisecond

// sendLoad sends this VM's load to the others when it has changed or loadRepeat is over.
func (d *Node) sendLoad() {
	now := d.lock()
	l := d.load(now)
	if d.leaving.Load() {
		l = owner.Load{}
	}
	d.recordLoad(now, d.cfg.VM, l, true, loadRepeat)
	d.updateRoom(now)
	if l == d.sentLoad && (now.Sub(d.loadSentAt) < loadRepeat || l.Total == 0) || now.Sub(d.loadSentAt) < d.loadInterval {
		d.mu.Unlock()
		return
	}
	to := d.loadReceivers(now)
	d.sentLoad, d.loadSentAt, d.loadInterval = l, now, max(loadEvery, loadPerVM*time.Duration(len(to)))
	m := d.loadFrame(l)
	inBeat := d.loadInBeat()
	d.mu.Unlock()
	if !inBeat {
		d.deps.Mesh.SendAll(to, &m)
	}
}

// lagStep is the resolution of the order time in a load: a smaller change alone does not cause a message.
const lagStep = 4 * time.Millisecond

// load returns what others need to know about this VM as an owner; the caller holds the lock.
func (d *Node) load(now time.Time) owner.Load {
	l := d.scheduler.Load(now)
	l.Lag = d.pace.MeanTime().Truncate(lagStep)
	return l
}

// loadReceivers returns the VMs that need this VM's load. A leaving VM still has callers and needs to know where to
// send their jobs.
func (d *Node) loadReceivers(now time.Time) (to []netip.AddrPort) {
	for _, p := range d.view.Members() {
		if p.State == view.Alive || (p.State == view.Left && now.Sub(p.Heard) < lostAfter) {
			to = append(to, p.VM)
		}
	}
	return to
}

func (d *Node) recordLoad(now time.Time, vm netip.AddrPort, l owner.Load, sameDomain bool, next time.Duration) {
	if d.demand != nil {
		d.demand.SetTotal(vm, l.Total)
	}
	d.routes.Update(vm, route.Load{At: now, Free: l.Free, Total: l.Total, Ahead: l.Ahead, OrderLatency: l.Lag, Near: sameDomain, NextReport: next})
}

// loadFrame converts a load to its message; the caller holds the lock.
func (d *Node) loadFrame(l owner.Load) frame.Load {
	return frame.Load{
		Free: float32(l.Free), Total: float32(l.Total), Ahead: [3]float32{float32(l.Ahead[0]), float32(l.Ahead[1]), float32(l.Ahead[2])},
		Next: max(loadRepeat, d.loadInterval), Lag: l.Lag,
	}
}

func loadOf(m frame.Load) owner.Load {
	return owner.Load{Free: float64(m.Free), Total: float64(m.Total), Ahead: [3]float64{float64(m.Ahead[0]), float64(m.Ahead[1]), float64(m.Ahead[2])}, Lag: m.Lag}
}

// acceptJob submits a job handed over by another VM. It refuses one that was in transit for too long: a link was cut
// or this VM was paused, so the sender counts this VM as lost and the caller submits the job again elsewhere.
func (d *Node) acceptJob(from frame.Hello, m *frame.RunJob) {
	key := owner.Key{VM: from.VM, Inc: from.Inc, Call: m.Call}
	now := d.lock()
	defer d.mu.Unlock()
	age := now.Sub(m.Job.AskedAt)
	if m.To != d.cfg.Inc || age > d.cfg.Limits.Fresh() {
		d.log.Info("job arrived too late", "job", m.Job.ID, "by", from.VM, "age", age, "to", m.To)
		d.deliverAnswer(&owner.Reply{Key: key, Answer: *job.Refuse(job.Silent, 0, "it came %s after it was sent", age)})
		return
	}
	if d.endSplit(m) {
		d.deliverAnswer(&owner.Reply{Key: key, Answer: d.mayStillRun(d.cfg.VM)})
		d.perform()
		return
	}
	if vm, ok := d.runsElsewhere(now, m); ok {
		d.log.Info("job runs elsewhere", "job", m.Job.ID, "by", from.VM, "owner", vm)
		d.deliverAnswer(&owner.Reply{Key: key, Answer: d.mayStillRun(vm)})
		return
	}
	d.scheduler.Submit(now, key, &m.Job)
	d.perform()
}

// age returns how long ago another VM stamped a message; 0 if none of its heartbeats was read yet.
func (d *Node) age(now time.Time, vm netip.AddrPort, stamp time.Time) time.Duration {
	p := d.view.Find(vm)
	if p == nil || p.State == view.Listed {
		return 0
	}
	return p.Age(now, stamp)
}

// applyReports applies another owner's reports of suspected tasks, lost endpoints and cleared endpoints.
func (d *Node) applyReports(m *frame.Heartbeat) {
	now := d.lock()
	defer d.mu.Unlock()
	for _, s := range m.Suspects {
		d.scheduler.AddSuspect(now, owner.Suspect(s))
	}
	for _, l := range m.Losses {
		d.scheduler.AddLoss(now, owner.Loss(l))
	}
	for _, c := range m.Cleared {
		d.scheduler.ApplyCleared(now, owner.Cleared(c))
	}
	d.perform()
}

// Receive handles a message from another VM.
func (d *Node) Receive(from frame.Hello, m frame.Msg) {
	now := d.now()
	switch m := m.(type) {
	case *frame.Heartbeat:
		if c, ok := d.view.Hear(now, from, m); ok {
			d.memberChanged(c)
		}
		if len(m.Suspects)+len(m.Losses)+len(m.Cleared) > 0 {
			d.applyReports(m)
		}
		d.mergeSpeeds(now, from, m)
		d.receiveShared(from, m)
		d.hearDemand(now, from, m)
		if m.Load != nil {
			d.mu.Lock()
			d.recordLoad(now, from.VM, loadOf(*m.Load), from.Domain == d.cfg.Domain, m.Load.Next)
			d.mu.Unlock()
		}
	case *frame.Load:
		d.mu.Lock()
		d.recordLoad(now, from.VM, loadOf(*m), from.Domain == d.cfg.Domain, m.Next)
		d.mu.Unlock()
	case *frame.RunJob:
		d.acceptJob(from, m)
	case *frame.Keepalive:
		d.receiveKeepalive(from, m)
	case *frame.CancelJob:
		d.log.Info("job cancelled by its VM", "by", from.VM, "call", m.Call, "age", d.age(now, from.VM, m.At).Round(time.Millisecond))
		now := d.lock()
		d.scheduler.Cancel(now, owner.Key{VM: from.VM, Inc: from.Inc, Call: m.Call}, "its caller left")
		d.perform()
		d.mu.Unlock()
	case *frame.JobAnswer:
		now := d.lock()
		d.recordLoad(now, from.VM, loadOf(m.Load), from.Domain == d.cfg.Domain, m.Load.Next)
		d.hearRoom(now, from.VM, m.Demand)
		if m.To == d.cfg.Inc { // calls of an earlier incarnation had the same numbers
			d.receiveAnswer(now, from.VM, m.Call, m.Answer)
		}
		d.mu.Unlock()
	case *frame.PlanUpdate:
		d.receivePlans(from.VM, m)
	case *frame.EndpointUpdate:
		d.receiveEndpoints(from.VM, m)
	case *frame.SnapshotRequest:
		d.sendCopy(from.VM, m)
	default:
	}
}
