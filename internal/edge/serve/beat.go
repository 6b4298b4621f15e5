package serve

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
	"dahliawinch/internal/task/owner"
	"dahliawinch/internal/task/route"
)

const (
	// doubtAfter is the silence of a VM after which its jobs here are stopped. A caller
	// whose connection broke submits again 1.3 s later: nothing may run by then.
	doubtAfter = 900 * time.Millisecond
	// lostAfter is the silence of an owner after which jobs given to it are answered.
	lostAfter = 700 * time.Millisecond
)

// beat sends heartbeats, looks at silences and decides who owns what.
func (d *Node) beat() {
	now := d.now()
	for _, c := range d.view.Tick(now) {
		d.changed(now, c)
	}
	d.mu.Lock()
	d.decide(now)
	b := d.pulse(now)
	d.perform()
	d.mu.Unlock()
	d.beats++
	for i, m := range d.view.Members() {
		if !m.Speaks() {
			continue
		}
		if m.Domain == d.cfg.Domain || (d.beats+int64(i))%view.Far == 0 || b.Leaving {
			_ = d.parts.Mesh.Cast(m.VM, b) // a heartbeat that can't be sent is followed by the next
		}
	}
}

// changed takes in that a VM came, went or was replaced.
func (d *Node) changed(now time.Time, c view.Change) {
	d.log.Info("vm "+c.State.String(), "vm", c.VM, "inc", c.Inc, "reborn", c.Reborn)
	d.mu.Lock()
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
		d.loseOwner(now, c.VM, c.Inc, "the owner was restarted")
		d.book.CancelOf(now, func(k owner.Key) bool { return k.VM == c.VM && k.Inc != c.Inc }, "its VM was restarted")
	}
	d.perform()
}

// silences ends what depended on VMs that are not heard.
func (d *Node) silences(now time.Time) {
	for _, m := range d.view.Members() {
		quiet := now.Sub(m.Heard)
		if m.State == view.Listed || quiet < lostAfter {
			continue
		}
		d.table.Forget(m.VM)
		d.loseOwner(now, m.VM, 0, "the owner is silent")
		if quiet >= doubtAfter {
			d.book.CancelOf(now, func(k owner.Key) bool { return k.VM == m.VM }, "its VM is silent")
		}
	}
}

// groups are the parts of each failure domain's endpoints. One of another domain counts
// only while this VM reaches endpoints there: a claim beyond a partition would do nothing
// until the partition heals, and then take the endpoints from the owner that served them.
func (d *Node) groups(now time.Time) (gs []claim.Group) {
	sizes := map[string]int{}
	for _, in := range d.roster {
		sizes[in.Domain]++
	}
	seen := map[string]bool{}
	for id, in := range d.roster {
		name := d.group[id]
		if seen[name] {
			continue
		}
		seen[name] = true
		if in.Domain == d.cfg.Domain || d.claims.Owns(name) != nil || d.reaches(now, name) {
			gs = append(gs, claim.Group{Name: name, Domain: in.Domain, Key: keyOf(in, sizes[in.Domain])})
		}
	}
	return gs
}

const (
	// shards is into how many groups a failure domain's endpoints are divided.
	shards = 8
	// perOwner is how many endpoints one VM should own. More make a better pool: with 12,
	// a wide job finds room; with 88, one of 0.2 cores can't keep up with a burst.
	perOwner = 24
)

func shardOf(in lease.Info) int { return int(xxhash.Sum64String(in.ID) % shards) }

// groupOf names the group of an endpoint.
func groupOf(in lease.Info) string { return in.Domain + "/" + strconv.Itoa(shardOf(in)) }

// keyOf puts so many groups of a domain together that an owner has enough endpoints. VMs
// that see different sizes only prefer other owners; the groups stay the same.
func keyOf(in lease.Info, size int) string {
	owners := min(shards, max(1, (size+perOwner/2)/perOwner))
	return in.Domain + "#" + strconv.Itoa(shardOf(in)*owners/shards)
}

const (
	// reachFor is how long a reached endpoint speaks for its group.
	reachFor = time.Second
	// reachLong is for how long a group must have been reached to be claimed: after a
	// partition its endpoints are reached before its owner is heard.
	reachLong = 500 * time.Millisecond
	// reachWait bounds a look whether an endpoint can be reached.
	reachWait = 300 * time.Millisecond
	// blindFor is how long an owner of another domain's group keeps it that reaches none
	// of its endpoints.
	blindFor = time.Second
)

// reaches reports whether endpoints of a group have been reached for a while.
func (d *Node) reaches(now time.Time, group string) bool {
	r := d.reached[group]
	return now.Sub(r.last) < reachFor && now.Sub(r.since) >= reachLong
}

// probe looks whether groups can be reached whose owner is silent or gone; the caller
// holds the lock.
func (d *Node) probe(now time.Time, peers []claim.Peer) {
	for id, in := range d.roster {
		g := d.group[id]
		if in.Domain == d.cfg.Domain || d.probing[g] || now.Sub(d.reached[g].last) < reachFor/5 || claim.Owned(g, peers) || d.claims.Owns(g) != nil {
			continue
		}
		d.probing[g] = true
		d.wg.Go(func() { d.reach(g, agent.Target{ID: in.ID, Addr: in.Addr}) })
	}
}

func (d *Node) reach(group string, to agent.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reachWait)
	defer cancel()
	err := d.parts.Agent.Reach(ctx, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probing, group)
	if err != nil {
		delete(d.reached, group)
		return
	}
	r := d.reached[group]
	r.last = d.now()
	if r.since.IsZero() {
		r.since = r.last
	}
	d.reached[group] = r
}

// decide takes and gives groups of endpoints.
func (d *Node) decide(now time.Time) {
	if !d.listed {
		return
	}
	peers := d.peers(now)
	d.probe(now, peers)
	for _, c := range d.claims.Decide(now, d.leaving.Load(), d.groups(now), peers) {
		d.log.Info("group", "group", c.Group, "fence", c.Fence, "giving", c.Giving, "lost", c.Lost, "why", c.Why)
		if c.Lost {
			d.letGo(now, c)
		}
	}
	held := held(peers)
	for _, g := range d.claims.Groups() {
		d.tend(now, g, held)
	}
}

func (d *Node) peers(now time.Time) (ps []claim.Peer) {
	for _, m := range d.view.Members() {
		ps = append(ps, claim.Peer{
			VM: m.VM, Domain: m.Domain, Leaving: m.State == view.Left || m.Beat.Leaving, Since: d.since[m.VM],
			Live:   (m.State == view.Alive || m.State == view.Suspect) || (m.State == view.Left && now.Sub(m.Heard) < lostAfter),
			Claims: m.Beat.Claims, Listed: m.State == view.Listed, Silent: m.State == view.Suspect, Power: float64(m.Beat.Power),
		})
	}
	return ps
}

// held are the endpoints that their former owners still use.
func held(peers []claim.Peer) map[string]bool {
	ids := map[string]bool{}
	for _, p := range peers {
		for _, c := range p.Claims {
			if p.Live && c.Giving {
				for _, id := range c.Held {
					ids[id] = true
				}
			}
		}
	}
	return ids
}

// letGo drops the endpoints of a group that another VM owns.
func (d *Node) letGo(now time.Time, c claim.Change) {
	for id := range d.roster {
		if d.group[id] == c.Group && d.book.Owned(id) {
			d.book.Lose(now, id, false, c.Why)
		}
	}
}

// tend makes the book follow a claim: own what is listed, give what is given.
func (d *Node) tend(now time.Time, group string, held map[string]bool) {
	o := d.claims.Owns(group)
	left := false
	for id, in := range d.roster {
		switch {
		case d.group[id] != group:
		case o.Giving:
			d.book.Give(id)
			left = left || d.book.Owned(id)
		case !held[id] && !d.book.Owned(id):
			d.book.Own(in, o.Fence)
		}
	}
	if !o.Giving {
		d.dropBlind(now, group)
		return
	}
	for _, id := range d.book.Release() {
		d.log.Info("endpoint given", "endpoint", id, "group", group)
	}
	if !left {
		d.claims.Drop(group)
		d.log.Info("group given", "group", group)
	}
}

// dropBlind gives up a group of another domain of which no endpoint can be reached.
func (d *Node) dropBlind(now time.Time, group string) {
	blind, domain := true, d.cfg.Domain
	for id, in := range d.roster {
		if d.group[id] != group {
			continue
		}
		domain = in.Domain
		ep := d.book.Find(id)
		blind = blind && (ep == nil || ep.Silent)
	}
	if !blind || domain == d.cfg.Domain {
		d.blind[group] = now
		return
	}
	if now.Sub(d.blind[group]) < blindFor {
		return
	}
	d.log.Info("group dropped", "group", group, "why", "none of its endpoints can be reached")
	d.letGo(now, claim.Change{Group: group, Why: "it can't be reached"})
	d.claims.Drop(group)
	delete(d.reached, group)
}

// pulse is this VM's heartbeat.
func (d *Node) pulse(now time.Time) *frame.Beat {
	b := &frame.Beat{At: now, Leaving: d.leaving.Load(), Doubts: d.view.Doubts(now), Power: float32(d.cfg.Power)}
	for _, g := range d.claims.Groups() {
		o := d.claims.Owns(g)
		c := frame.Claim{Group: g, Fence: o.Fence, Giving: o.Giving}
		if o.Giving {
			c.Held = d.heldOf(g)
		}
		b.Claims = append(b.Claims, c)
	}
	return b
}

// heldOf lists the endpoints of a group that this VM has not let go of.
func (d *Node) heldOf(group string) (ids []string) {
	for id, g := range d.group {
		if g == group && d.book.Owned(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// tick looks at deadlines.
func (d *Node) tick() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silences(now)
	d.unpark(now)
	d.book.Tick(now)
	d.perform()
}

// repeatEvery is after how many unchanged looks a load is told again, so that it does
// not age out.
const repeatEvery = 4

// tell sends this VM's load to the others when it changed.
func (d *Node) tell() {
	now := d.now()
	d.mu.Lock()
	l := d.book.Load(now)
	if d.leaving.Load() {
		l = owner.Load{}
	}
	d.hear(now, d.cfg.VM, l, true)
	same := l == d.told
	d.quiet++
	if same && (d.quiet < repeatEvery || l.Total == 0) {
		d.mu.Unlock()
		return
	}
	d.told, d.quiet = l, 0
	d.mu.Unlock()
	m := loadFrame(l)
	for _, p := range d.view.Members() {
		// One that leaves still has callers, and needs to know where to send their jobs.
		if p.State == view.Alive || (p.State == view.Left && now.Sub(p.Heard) < lostAfter) {
			_ = d.parts.Mesh.Cast(p.VM, &m) // the next one follows soon
		}
	}
}

func (d *Node) hear(now time.Time, vm netip.AddrPort, l owner.Load, near bool) {
	d.table.Hear(vm, route.Load{At: now, Free: l.Free, Total: l.Total, Ahead: l.Ahead, Near: near})
}

func loadFrame(l owner.Load) frame.Load {
	return frame.Load{Free: float32(l.Free), Total: float32(l.Total), Ahead: [3]float32{float32(l.Ahead[0]), float32(l.Ahead[1]), float32(l.Ahead[2])}}
}

func loadOf(m frame.Load) owner.Load {
	return owner.Load{Free: float64(m.Free), Total: float64(m.Total), Ahead: [3]float64{float64(m.Ahead[0]), float64(m.Ahead[1]), float64(m.Ahead[2])}}
}

// Receive takes in a message of another VM.
func (d *Node) Receive(from frame.Hello, m frame.Msg) {
	now := d.now()
	switch m := m.(type) {
	case *frame.Beat:
		if c, ok := d.view.Hear(now, from, m); ok {
			d.changed(now, c)
		}
	case *frame.Load:
		d.mu.Lock()
		d.hear(now, from.VM, loadOf(*m), from.Domain == d.cfg.Domain)
		d.mu.Unlock()
	case *frame.Hand:
		d.mu.Lock()
		d.book.Submit(now, owner.Key{VM: from.VM, Inc: from.Inc, Call: m.Call}, &m.Job)
		d.perform()
		d.mu.Unlock()
	case *frame.Drop:
		d.mu.Lock()
		d.book.Cancel(now, owner.Key{VM: from.VM, Inc: from.Inc, Call: m.Call}, "its caller left")
		d.perform()
		d.mu.Unlock()
	case *frame.Told:
		d.mu.Lock()
		d.hear(now, from.VM, loadOf(m.Load), from.Domain == d.cfg.Domain)
		d.resolve(now, from.VM, m.Call, m.Answer)
		d.mu.Unlock()
	default:
	}
}
