package serve

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/mesh/frame"
	"dahliawinch/internal/mesh/link"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

// groups are the parts of each failure domain's endpoints. One of another domain counts
// only while this VM reaches endpoints there: a claim beyond a partition would do nothing
// until the partition heals, and then take the endpoints from the owner that served them.
func (d *Node) groups(now time.Time) (gs []claim.Seat) {
	for g := range d.roster.groups {
		if g.Domain == d.cfg.Domain || d.claims.Owns(g) != nil || d.reaches(now, g) {
			gs = append(gs, claim.Seat{Group: g, Unit: d.roster.unit(g)})
		}
	}
	return gs
}

const (
	// reachFor is how long a reached endpoint speaks for its group.
	reachFor = time.Second
	// reachLong is for how long a group must have been reached to be claimed: after a
	// partition its endpoints are reached before its owner is heard, which takes a new link
	// and a heartbeat.
	reachLong = link.Heal + (view.Far+1)*view.Period
	// reachWait bounds a look whether an endpoint can be reached.
	reachWait = 300 * time.Millisecond
	// blindFor is how long an owner of another domain's group keeps it that reaches none
	// of its endpoints.
	blindFor = time.Second
)

// reaches reports whether endpoints of a group have been reached for a while.
func (d *Node) reaches(now time.Time, g claim.Group) bool {
	r := d.reached[g]
	return now.Sub(r.last) < reachFor && now.Sub(r.since) >= reachLong
}

// probe looks whether groups can be reached whose owner is silent or gone; the caller
// holds the lock. While a VM of a group's own domain is heard, that one claims it.
func (d *Node) probe(now time.Time, peers []claim.Peer) {
	var owned map[claim.Group]bool
	for domain := range d.roster.sizes {
		if domain == d.cfg.Domain || claim.Headed(domain, peers) {
			continue
		}
		if owned == nil {
			owned = claim.Owned(peers)
		}
		for g, ids := range d.roster.groups {
			if g.Domain != domain || d.probing[g] || now.Sub(d.reached[g].last) < reachFor/5 || owned[g] || d.claims.Owns(g) != nil {
				continue
			}
			for id := range ids { // any of them
				in := d.roster.all[id]
				d.probing[g] = true
				d.wg.Go(func() { d.reach(g, agent.Target{ID: in.ID, Addr: in.Addr}) })
				break
			}
		}
	}
}

func (d *Node) reach(g claim.Group, to agent.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reachWait)
	defer cancel()
	err := d.parts.Agent.Reach(ctx, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probing, g)
	if err != nil {
		delete(d.reached, g)
		return
	}
	r := d.reached[g]
	r.last = d.now()
	if r.since.IsZero() {
		r.since = r.last
	}
	d.reached[g] = r
}

// decide takes and gives groups of endpoints.
func (d *Node) decide(now time.Time) {
	p := d.plan.Load()
	if !d.listed || p == nil {
		return
	}
	d.lookUnheard(now)
	peers := d.peers(now)
	d.probe(now, peers)
	for _, c := range d.claims.Decide(now, d.leaving.Load(), d.groups(now), peers) {
		d.log.Info("group", "group", c.Group, "fence", c.Fence, "giving", c.Giving, "lost", c.Lost, "why", c.Why)
		if c.Lost {
			d.letGo(now, c.Group, c.Why)
		}
	}
	if now.Sub(d.began) < joinFor { // nobody asks later
		d.count(peers)
	}
	held := held(peers)
	for _, g := range d.claims.Groups() {
		d.tend(now, g, held, p)
	}
}

// count notes how many VMs own endpoints that get work, and whether a group of such has no owner.
func (d *Node) count(peers []claim.Peer) {
	owned := claim.Owned(peers)
	d.unowned, d.owners = false, 0
	for g := range d.roster.groups {
		if !owned[g] && d.claims.Owns(g) == nil && !d.cordons[g.Domain] {
			d.unowned = true
		}
	}
	if slices.ContainsFunc(d.claims.Groups(), func(g claim.Group) bool { return !d.cordons[g.Domain] }) {
		d.owners++
	}
	for _, p := range peers {
		if p.Live && !p.Silent && slices.ContainsFunc(p.Claims, func(c frame.Claim) bool { return !d.cordons[c.Domain] }) {
			d.owners++
		}
	}
}

// peers are the other VMs as the claims see them, until the next call; the caller holds the lock.
func (d *Node) peers(now time.Time) []claim.Peer {
	all, h := d.view.Members(), d.hearing()
	last := d.isLast(h)
	ps := d.heard[:0]
	for _, m := range all {
		ps = append(ps, claim.Peer{
			VM: m.VM, Domain: m.Domain, Leaving: m.State == view.Left || m.Beat.Leaving, Since: d.since[m.VM],
			Live:   m.State == view.Alive || (m.State == view.Suspect && !last) || (m.State == view.Left && now.Sub(m.Heard) < lostAfter),
			Claims: m.Beat.Claims, Strained: m.Beat.Strained, Listed: m.State == view.Listed, Absent: m.State == view.Listed && d.isLost(m.VM, h), Silent: m.State == view.Suspect, Power: float64(m.Beat.Power),
		})
	}
	d.heard = ps
	return ps
}

// isLost reports whether a VM that was never heard is not there: its machine says so, or it answers neither dials
// nor a probe through the store. While a neighbour is heard, this VM is not cut off from its domain.
func (d *Node) isLost(vm netip.AddrPort, h hearing) bool {
	return d.parts.Mesh.Refused(vm) || (d.parts.Mesh.Absent(vm) && (h.near || d.prober.result.lacksNear()))
}

// relieved reports whether another VM can take this one's callers.
func (d *Node) relieved() bool {
	return slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool {
		return m.State == view.Alive && !m.Beat.Strained && !m.Beat.Leaving
	})
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
func (d *Node) letGo(now time.Time, g claim.Group, why string) {
	for id := range d.roster.groups[g] {
		if d.book.Owned(id) {
			d.book.Lose(now, id, false, why)
		}
	}
}

// tend makes the book follow a claim: own what is listed, give what is given.
// An endpoint of a pool that no queue uses is left alone: its entry may be another writer's.
func (d *Node) tend(now time.Time, g claim.Group, held map[string]bool, p *plan.Plan) {
	o := d.claims.Owns(g)
	left := false
	for id := range d.roster.groups[g] {
		switch {
		case o.Giving:
			d.book.Give(id)
			left = left || d.book.Owned(id)
		case !held[id] && !d.book.Owned(id) && p.Uses(d.roster.all[id].Pool):
			d.book.Own(d.roster.all[id], o.Fence)
		}
	}
	if !o.Giving {
		d.dropBlind(now, g)
		return
	}
	for _, id := range d.book.Release() {
		d.log.Info("endpoint given", "endpoint", id, "group", g)
	}
	if !left {
		d.claims.Drop(g)
		d.log.Info("group given", "group", g)
	}
}

// dropBlind gives up a group of another domain of which no endpoint can be reached. Those that a former
// owner still holds say nothing.
func (d *Node) dropBlind(now time.Time, g claim.Group) {
	silent, answer := 0, 0
	for id := range d.roster.groups[g] {
		switch ep := d.book.Find(id); {
		case ep == nil:
		case ep.Silent:
			silent++
		default:
			answer++
		}
	}
	if silent == 0 || answer > 0 || g.Domain == d.cfg.Domain {
		d.blind[g] = now
		return
	}
	if now.Sub(d.blind[g]) < blindFor {
		return
	}
	d.log.Info("group dropped", "group", g, "why", "none of its endpoints can be reached")
	d.letGo(now, g, "it can't be reached")
	d.claims.Drop(g)
	delete(d.reached, g)
}

// denied takes in that an endpoint obeys another VM, or that another life answers at its
// address; the caller holds the lock. An owner of the own domain hears of the other's claim, unless
// it is isolated or there is none, as when this VM's clock is behind; one of another domain's group may
// not be linked to it, and would fight for the group without end.
func (d *Node) denied(why agent.Refusal, ep *lease.Endpoint, fence uint64) {
	if why == agent.Dead {
		d.roster.bury(ep.ID)
	}
	if why != agent.Fenced {
		return
	}
	d.claims.Raise(fence)
	g := groupOf(ep.Info)
	o, now := d.claims.Owns(g), d.now()
	if o == nil || o.Giving || (g.Domain == d.cfg.Domain && !d.isolated && !d.outranked(now, g, o, fence)) {
		return
	}
	rest := d.claims.Shun(now, g)
	d.log.Info("group dropped", "group", g, "why", "another VM has a higher fence", "rest", rest)
	d.letGo(now, g, "another VM owns its group")
}

// outrankFor is how long the fence of a claim is refused until the claim of another VM should have been heard.
const outrankFor = time.Second

// refusal is the fence of a claim that endpoints refuse.
type refusal struct {
	fence uint64
	since time.Time
}

// outranked reports whether endpoints have refused a claim's fence for so long that nobody is heard who has a
// higher one; the caller holds the lock.
func (d *Node) outranked(now time.Time, g claim.Group, o *claim.Own, fence uint64) bool {
	if fence != o.Fence {
		return false
	}
	r := d.refused[g]
	if r.fence != fence {
		r = refusal{fence, now}
		d.refused[g] = r
	}
	return now.Sub(r.since) >= outrankFor
}

// claimed are this VM's claims as its heartbeat tells them.
func (d *Node) claimed() (cs []frame.Claim) {
	for _, g := range d.claims.Groups() {
		o := d.claims.Owns(g)
		c := frame.Claim{Domain: g.Domain, Fence: o.Fence, Giving: o.Giving}
		if n := len(cs) - 1; n < 0 || cs[n].Domain != c.Domain || cs[n].Fence != c.Fence || cs[n].Giving != c.Giving {
			cs = append(cs, c)
		}
		last := &cs[len(cs)-1]
		last.Shards |= 1 << g.Shard
		if o.Giving {
			last.Held = append(last.Held, d.heldOf(g)...)
		}
	}
	return cs
}

// heldOf lists the endpoints of a group that this VM has not let go of.
func (d *Node) heldOf(g claim.Group) (ids []string) {
	for id := range d.roster.groups[g] {
		if d.book.Owned(id) {
			ids = append(ids, id)
		}
	}
	return ids
}
