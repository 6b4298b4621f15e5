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
	// lostAfter is the silence of an owner after which jobs given to it are answered.
	lostAfter = 700 * time.Millisecond
	// hearsay is how long it takes to hear of endpoints that other owners lose: two looks at an endpoint, and a
	// heartbeat between failure domains.
	hearsay = 2*(renewWait+renewGrace) + view.Far*view.Period
)

// beat sends heartbeats, looks at silences and decides who owns what.
func (d *Node) beat() {
	now := d.now()
	for _, c := range d.view.Tick(now) {
		d.changed(c)
	}
	now = d.lock()
	d.lookLate(now)
	d.lookAlone(now)
	d.decide(now)
	b := d.pulse(now)
	d.perform()
	d.mu.Unlock()
	d.beats++
	var to []netip.AddrPort
	for i, m := range d.view.Members() {
		if m.Speaks() && ((d.beats+int64(i))%view.Far == 0 || b.Leaving || d.view.Often(m)) {
			to = append(to, m.VM)
		}
	}
	d.parts.Mesh.Spread(to, b)
}

// lookLate takes in how late this VM's messages reach the others; the caller holds the lock.
func (d *Node) lookLate(now time.Time) {
	d.delay = d.view.Delay()
	on := d.strain.Look(now, d.delay)
	if on == d.strained {
		return
	}
	d.strained = on
	d.claims.Strain(on)
	d.log.Info("vm strained", "on", on, "delay", d.delay)
}

// lookAlone takes in whether this VM seems to be cut off from all others; the caller holds the lock.
func (d *Node) lookAlone(now time.Time) {
	on := d.view.Isolated(now)
	if on == d.isolated {
		return
	}
	d.isolated = on
	d.claims.Isolate(on)
	d.log.Info("vm isolated", "on", on, "members", len(d.view.Members()))
}

// hail sends a heartbeat to the VMs that this one was just told of and has not heard: after a
// loss of all VMs each waits with its claims until its neighbours are heard, and the next
// heartbeat would be up to 0.1 s later. Without it played days that end with such a loss are
// worth 0.002 to 0.008 less.
func (d *Node) hail() {
	b := d.pulse(d.lock())
	d.mu.Unlock()
	var to []netip.AddrPort
	for _, m := range d.view.Members() {
		if m.State == view.Listed && m.Speaks() {
			to = append(to, m.VM)
		}
	}
	d.parts.Mesh.Spread(to, b)
}

// changed takes in that a VM came, went or was replaced.
func (d *Node) changed(c view.Change) {
	d.log.Info("vm "+c.State.String(), "vm", c.VM, "inc", c.Inc, "reborn", c.Reborn)
	now := d.lock()
	defer d.mu.Unlock()
	if c.State == view.Alive && (d.since[c.VM].IsZero() || c.Reborn) {
		d.since[c.VM] = now
		_ = d.parts.Mesh.Cast(c.VM, d.pulse(now)) // it may be about to claim what is owned here
	}
	if c.State == view.Gone || c.State == view.Left {
		delete(d.since, c.VM)
	}
	if c.Reborn {
		d.table.Forget(c.VM)
		d.loseOwner(c.VM, "the owner was restarted")
		d.book.CancelOf(now, func(k owner.Key) bool { return k.VM == c.VM && k.Inc != c.Inc }, "its VM was restarted")
	}
	d.perform()
}

// silences ends what depended on VMs that are not heard.
func (d *Node) silences(now time.Time) {
	for _, m := range d.view.Members() {
		if m.State == view.Listed || now.Sub(m.Heard) < lostAfter {
			continue
		}
		d.table.Forget(m.VM)
		d.loseOwner(m.VM, "the owner is silent")
	}
}

// rides reports whether this VM's load is told with its heartbeats: these are no rarer then than
// tellings of their own would be; the caller holds the lock.
//
// What goes wrong without it: at 300 VMs an owner tells its load to 110 others each 0.4 s, beside a
// heartbeat each 0.3 s, and each VM reads 100 such messages a second. One notices processor time that
// grows faster than the fleet.
func (d *Node) rides() bool { return d.loadPause > view.Far*view.Period && d.told.Total > 0 }

// pulse is this VM's heartbeat; the caller holds the lock.
func (d *Node) pulse(now time.Time) *frame.Beat {
	b := &frame.Beat{At: now, Leaving: d.leaving.Load(), Doubts: d.view.Doubts(now), Power: float32(d.cfg.Power), Claims: d.claimed(), Storeless: d.storeless.Load(), Late: d.view.Lates(now), Strained: d.strained}
	for _, s := range d.book.Suspects(now) {
		b.Suspects = append(b.Suspects, frame.Suspect(s))
	}
	for _, l := range d.book.Losses(now) {
		b.Losses = append(b.Losses, frame.Loss(l))
	}
	for _, c := range d.book.Cleared(now) {
		b.Cleared = append(b.Cleared, frame.Cleared(c))
	}
	if d.rides() {
		l := d.loadFrame(d.load(now))
		l.Next = view.Far * view.Period
		b.Load = &l
	}
	return b
}

// tick looks at deadlines.
func (d *Node) tick() {
	now := d.lock()
	defer d.mu.Unlock()
	d.renewOwn(now)
	d.silences(now)
	if now.Sub(d.began) < joinFor {
		d.decide(now) // not only with heartbeats: until the first claim all jobs wait
	}
	d.unpark(now)
	d.book.Tick(now)
	d.perform()
}

// repeatEvery is after how long an unchanged load is told again, so that it does not age
// out.
const repeatEvery = 160 * time.Millisecond

// tell sends this VM's load to the others when it changed.
func (d *Node) tell() {
	now := d.lock()
	l := d.load(now)
	if d.leaving.Load() {
		l = owner.Load{}
	}
	d.hear(now, d.cfg.VM, l, true, repeatEvery)
	if l == d.told && (now.Sub(d.toldAt) < repeatEvery || l.Total == 0) || now.Sub(d.toldAt) < d.loadPause {
		d.mu.Unlock()
		return
	}
	to := d.listeners(now)
	d.told, d.toldAt, d.loadPause = l, now, max(loadEvery, loadShare*time.Duration(len(to)))
	m := d.loadFrame(l)
	rides := d.rides()
	d.mu.Unlock()
	if !rides {
		d.parts.Mesh.Spread(to, &m)
	}
}

// lagStep is how finely the time of an order is told: a change of it alone is no news.
const lagStep = 4 * time.Millisecond

// load is what others need to know of this VM as an owner; the caller holds the lock.
func (d *Node) load(now time.Time) owner.Load {
	l := d.book.Load(now)
	l.Lag = d.pace.Usual().Truncate(lagStep)
	return l
}

// listeners are the VMs that need to know this one's load. One that leaves still has
// callers, and needs to know where to send their jobs.
func (d *Node) listeners(now time.Time) (to []netip.AddrPort) {
	for _, p := range d.view.Members() {
		if p.State == view.Alive || (p.State == view.Left && now.Sub(p.Heard) < lostAfter) {
			to = append(to, p.VM)
		}
	}
	return to
}

func (d *Node) hear(now time.Time, vm netip.AddrPort, l owner.Load, near bool, next time.Duration) {
	d.table.Hear(vm, route.Load{At: now, Free: l.Free, Total: l.Total, Ahead: l.Ahead, Lag: l.Lag, Near: near, Next: next})
}

// loadFrame is a load as it is told; the caller holds the lock.
func (d *Node) loadFrame(l owner.Load) frame.Load {
	return frame.Load{
		Free: float32(l.Free), Total: float32(l.Total), Ahead: [3]float32{float32(l.Ahead[0]), float32(l.Ahead[1]), float32(l.Ahead[2])},
		Next: max(repeatEvery, d.loadPause), Lag: l.Lag,
	}
}

func loadOf(m frame.Load) owner.Load {
	return owner.Load{Free: float64(m.Free), Total: float64(m.Total), Ahead: [3]float64{float64(m.Ahead[0]), float64(m.Ahead[1]), float64(m.Ahead[2])}, Lag: m.Lag}
}

// take takes in a job that another VM hands over. One that was under way for too long came over a link that was cut, or
// this VM was paused: the one that sent it takes this one for lost, and its caller submits the job again elsewhere.
func (d *Node) take(from frame.Hello, m *frame.Hand) {
	key := owner.Key{VM: from.VM, Inc: from.Inc, Call: m.Call}
	now := d.lock()
	defer d.mu.Unlock()
	age := now.Sub(m.Job.Asked)
	if m.To != d.cfg.Inc || age > d.cfg.Limits.Fresh() {
		d.log.Info("job came too late", "job", m.Job.ID, "by", from.VM, "age", age, "to", m.To)
		d.answer(&owner.Tell{Key: key, Answer: *job.Refuse(job.Silent, 0, "it came %s after it was sent", age)})
		return
	}
	d.book.Submit(now, key, &m.Job)
	d.perform()
}

// age is how long ago another VM stamped a message; 0 while none of its heartbeats was read.
func (d *Node) age(now time.Time, vm netip.AddrPort, stamp time.Time) time.Duration {
	p := d.view.Find(vm)
	if p == nil || p.State == view.Listed {
		return 0
	}
	return p.Age(now, stamp)
}

// heed takes in which tasks another owner suspects, which endpoints it has lost, and which endpoints it has cleared.
func (d *Node) heed(m *frame.Beat) {
	now := d.lock()
	defer d.mu.Unlock()
	for _, s := range m.Suspects {
		d.book.Heed(now, owner.Suspect(s))
	}
	for _, l := range m.Losses {
		d.book.Miss(now, owner.Loss(l))
	}
	for _, c := range m.Cleared {
		d.book.Yield(now, owner.Cleared(c))
	}
	d.perform()
}

// Receive takes in a message of another VM.
func (d *Node) Receive(from frame.Hello, m frame.Msg) {
	now := d.now()
	switch m := m.(type) {
	case *frame.Beat:
		if c, ok := d.view.Hear(now, from, m); ok {
			d.changed(c)
		}
		if len(m.Suspects)+len(m.Losses)+len(m.Cleared) > 0 {
			d.heed(m)
		}
		if m.Load != nil {
			d.mu.Lock()
			d.hear(now, from.VM, loadOf(*m.Load), from.Domain == d.cfg.Domain, m.Load.Next)
			d.mu.Unlock()
		}
	case *frame.Load:
		d.mu.Lock()
		d.hear(now, from.VM, loadOf(*m), from.Domain == d.cfg.Domain, m.Next)
		d.mu.Unlock()
	case *frame.Hand:
		d.take(from, m)
	case *frame.Keepalive:
		d.receiveKeepalive(from, m)
	case *frame.Drop:
		d.log.Info("job not wanted", "by", from.VM, "call", m.Call, "age", d.age(now, from.VM, m.At).Round(time.Millisecond))
		now := d.lock()
		d.book.Cancel(now, owner.Key{VM: from.VM, Inc: from.Inc, Call: m.Call}, "its caller left")
		d.perform()
		d.mu.Unlock()
	case *frame.Told:
		now := d.lock()
		d.hear(now, from.VM, loadOf(m.Load), from.Domain == d.cfg.Domain, m.Load.Next)
		if m.To == d.cfg.Inc { // calls of a former incarnation had the same numbers
			d.resolve(now, from.VM, m.Call, m.Answer)
		}
		d.mu.Unlock()
	case *frame.Planned:
		d.plannedBy(from.VM, m)
	case *frame.Listed:
		d.listedBy(from.VM, m)
	case *frame.Ask:
		d.tellCopy(from.VM, m)
	default:
	}
}
