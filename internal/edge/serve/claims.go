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

// claimableGroups returns the groups of endpoints that this VM may claim. One of another failure domain is included only
// while this VM reaches its endpoints: a claim across a partition would have no effect until the partition heals, and
// then take the endpoints from the owner that served them.
func (d *Node) claimableGroups(now time.Time) (gs []claim.Candidate) {
	for g := range d.roster.groups {
		if g.Domain == d.cfg.Domain || d.claims.Owns(g) != nil || d.reaches(now, g) {
			gs = append(gs, claim.Candidate{Group: g, Unit: d.roster.unit(g)})
		}
	}
	return gs
}

const (
	// reachValid is how long a group counts as reachable after one of its endpoints answered.
	reachValid = time.Second
	// reachLeast is how long a group must have been reachable before it may be claimed. After a partition its endpoints are
	// reached before its owner is heard, which takes a new link and a heartbeat.
	reachLeast = link.MaxReconnect + (view.RemoteFactor+1)*view.Period
	// reachTimeout bounds one check whether an endpoint can be reached.
	reachTimeout = 300 * time.Millisecond
	// unreachableFor is how long an owner keeps a group of another domain while it reaches none of its endpoints.
	unreachableFor = time.Second
)

// reaches reports whether a group has been reachable for long enough to be claimed.
func (d *Node) reaches(now time.Time, g claim.Group) bool {
	r := d.reached[g]
	return now.Sub(r.last) < reachValid && now.Sub(r.since) >= reachLeast
}

// reachGroups checks whether groups whose owner is silent or gone can be reached; the caller holds the lock. A group
// whose own domain has a live VM is left to that VM.
func (d *Node) reachGroups(now time.Time, peers []claim.Peer) {
	var owned map[claim.Group]bool
	for domain := range d.roster.sizes {
		if domain == d.cfg.Domain || claim.HasActiveVM(domain, peers) {
			continue
		}
		if owned == nil {
			owned = claim.Owned(peers)
		}
		for g, ids := range d.roster.groups {
			if g.Domain != domain || d.reaching[g] || now.Sub(d.reached[g].last) < reachValid/5 || owned[g] || d.claims.Owns(g) != nil {
				continue
			}
			for id := range ids { // any one of them
				in := d.roster.all[id]
				d.reaching[g] = true
				d.wg.Go(func() { d.reachEndpoint(g, agent.Target{ID: in.ID, Addr: in.Addr}) })
				break
			}
		}
	}
}

func (d *Node) reachEndpoint(g claim.Group, to agent.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reachTimeout)
	defer cancel()
	err := d.deps.Agent.Reach(ctx, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reaching, g)
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

// updateClaims claims and releases groups of endpoints.
func (d *Node) updateClaims(now time.Time) {
	p := d.plan.Load()
	if !d.endpointsRead || p == nil {
		return
	}
	d.checkUnheard(now)
	peers := d.claimPeers(now)
	d.reachGroups(now, peers)
	for _, c := range d.claims.Decide(now, d.leaving.Load(), d.claimableGroups(now), peers) {
		d.log.Info("group", "group", c.Group, "fence", c.Fence, "giving", c.HandingOver, "lost", c.Lost, "why", c.Why)
		if c.Lost {
			d.loseGroup(now, c.Group, c.Why)
		}
	}
	if now.Sub(d.began) < joinWindow { // the counts are only used until then
		d.countOwners(peers)
	}
	held := heldEndpoints(peers)
	for _, g := range d.claims.Groups() {
		d.syncGroup(now, g, held, p)
	}
}

// countOwners counts the VMs that own endpoints outside cordoned domains, and notes whether any group of such endpoints
// has no owner.
func (d *Node) countOwners(peers []claim.Peer) {
	owned := claim.Owned(peers)
	d.hasUnowned, d.ownerCount = false, 0
	for g := range d.roster.groups {
		if !owned[g] && d.claims.Owns(g) == nil && !d.cordons[g.Domain] {
			d.hasUnowned = true
		}
	}
	if slices.ContainsFunc(d.claims.Groups(), func(g claim.Group) bool { return !d.cordons[g.Domain] }) {
		d.ownerCount++
	}
	for _, p := range peers {
		if p.Live && !p.Silent && slices.ContainsFunc(p.Claims, func(c frame.Claim) bool { return !d.cordons[c.Domain] }) {
			d.ownerCount++
		}
	}
}

// claimPeers returns the other VMs as input for the claims, valid until the next call; the caller holds the lock.
func (d *Node) claimPeers(now time.Time) []claim.Peer {
	all, c := d.view.Members(), d.countContacts()
	last := d.isLast(c)
	ps := d.peerBuf[:0]
	for _, m := range all {
		ps = append(ps, claim.Peer{
			VM: m.VM, Domain: m.Domain, Leaving: m.State == view.Left || m.Beat.Leaving, Since: d.aliveSince[m.VM],
			Live:   m.State == view.Alive || (m.State == view.Suspect && !last) || (m.State == view.Left && now.Sub(m.Heard) < lostAfter),
			Claims: m.Beat.Claims, Strained: m.Beat.Strained, Listed: m.State == view.Listed, Absent: m.State == view.Listed && d.isDown(m.VM, c), Silent: m.State == view.Suspect, Power: float64(m.Beat.Power),
		})
	}
	d.peerBuf = ps
	return ps
}

// isDown reports whether a VM that was never heard is down: its machine says so, or it answers neither dials nor a probe
// through the store. While a neighbour is heard, this VM is not cut off from its domain, and the dials suffice.
func (d *Node) isDown(vm netip.AddrPort, c contacts) bool {
	return d.deps.Mesh.Refused(vm) || (d.deps.Mesh.Absent(vm) && (c.neighbour || d.prober.result.noNeighbour()))
}

// hasAlternative reports whether another VM can serve this one's callers.
func (d *Node) hasAlternative() bool {
	return slices.ContainsFunc(d.view.Members(), func(m *view.Member) bool {
		return m.State == view.Alive && !m.Beat.Strained && !m.Beat.Leaving
	})
}

// heldEndpoints returns the endpoints that their former owners still use.
func heldEndpoints(peers []claim.Peer) map[string]bool {
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

// loseGroup drops the endpoints of a group that another VM owns.
func (d *Node) loseGroup(now time.Time, g claim.Group, why string) {
	for id := range d.roster.groups[g] {
		if d.scheduler.Owned(id) {
			d.scheduler.Lose(now, id, false, why)
		}
	}
}

// syncGroup applies a claim to the scheduler: own the listed endpoints, or hand them over. It skips endpoints of a pool that
// no queue uses: their entries may be another writer's.
func (d *Node) syncGroup(now time.Time, g claim.Group, held map[string]bool, p *plan.Plan) {
	o := d.claims.Owns(g)
	pending := false
	for id := range d.roster.groups[g] {
		switch {
		case o.HandingOver:
			d.scheduler.HandOver(id)
			pending = pending || d.scheduler.Owned(id)
		case !held[id] && !d.scheduler.Owned(id) && p.Uses(d.roster.all[id].Pool):
			d.scheduler.Own(d.roster.all[id], o.Fence)
		}
	}
	if !o.HandingOver {
		d.dropUnreachable(now, g)
		return
	}
	for _, id := range d.scheduler.Release() {
		d.log.Info("endpoint handed over", "endpoint", id, "group", g)
	}
	if !pending {
		d.claims.Drop(g)
		d.log.Info("group handed over", "group", g)
	}
}

// dropUnreachable drops a group of another domain when none of its endpoints can be reached. Endpoints that a former
// owner still holds don't count.
func (d *Node) dropUnreachable(now time.Time, g claim.Group) {
	silent, answering := 0, 0
	for id := range d.roster.groups[g] {
		switch ep := d.scheduler.Find(id); {
		case ep == nil:
		case ep.Silent:
			silent++
		default:
			answering++
		}
	}
	if silent == 0 || answering > 0 || g.Domain == d.cfg.Domain {
		d.lastAnswer[g] = now
		return
	}
	if now.Sub(d.lastAnswer[g]) < unreachableFor {
		return
	}
	d.log.Info("group dropped", "group", g, "why", "none of its endpoints can be reached")
	d.loseGroup(now, g, "it can't be reached")
	d.claims.Drop(g)
	delete(d.reached, g)
}

// handleRefusal handles an endpoint that obeys another VM, or an address where another incarnation answers; the caller
// holds the lock.
//
// If the group belongs to another domain, the owner drops it at once: it may have no link to the other owner, and the
// two would take the group from each other without end. If the group belongs to this VM's domain, it waits until it
// hears the other's claim. It drops the group without waiting if it is isolated, or if the refusals last so long that no such
// claim can exist, for example because this VM's clock was behind when it made its fence.
func (d *Node) handleRefusal(why agent.Refusal, ep *lease.Endpoint, fence uint64) {
	if why == agent.WrongInstance {
		d.roster.markDead(ep.ID)
	}
	if why != agent.Fenced || fence < ep.Fence { // refused by a new process of the endpoint that has seen a later order of this VM
		return
	}
	d.claims.Raise(fence)
	g := groupOf(ep.Info)
	o, now := d.claims.Owns(g), d.now()
	if o == nil || o.HandingOver || (g.Domain == d.cfg.Domain && !d.isolated && !d.isFenceStale(now, g, o, ep.Claim)) {
		return
	}
	backoff := d.claims.BackOff(now, g)
	d.log.Info("group dropped", "group", g, "why", "another VM has a higher fence", "backoff", backoff)
	d.loseGroup(now, g, "another VM owns its group")
}

// outrankAfter is how long endpoints must refuse a fence before this VM concludes that no live VM has a higher one: it
// would have heard that VM's claim by then.
const outrankAfter = time.Second

// fenceRefusal is the fence of a claim that endpoints refuse, and since when.
type fenceRefusal struct {
	fence uint64
	since time.Time
}

// isFenceStale reports whether endpoints have refused a claim's fence for so long that no live VM holds a higher one;
// the caller holds the lock.
func (d *Node) isFenceStale(now time.Time, g claim.Group, o *claim.Ownership, fence uint64) bool {
	if fence != o.Fence {
		return false
	}
	r := d.refusals[g]
	if r.fence != fence {
		r = fenceRefusal{fence, now}
		d.refusals[g] = r
	}
	return now.Sub(r.since) >= outrankAfter
}

// claimFrames returns this VM's claims for its heartbeat.
func (d *Node) claimFrames() (cs []frame.Claim) {
	for _, g := range d.claims.Groups() {
		o := d.claims.Owns(g)
		c := frame.Claim{Domain: g.Domain, Fence: o.Fence, Giving: o.HandingOver}
		if n := len(cs) - 1; n < 0 || cs[n].Domain != c.Domain || cs[n].Fence != c.Fence || cs[n].Giving != c.Giving {
			cs = append(cs, c)
		}
		last := &cs[len(cs)-1]
		last.Shards |= 1 << g.Shard
		if o.HandingOver {
			last.Held = append(last.Held, d.ownedIDs(g)...)
		}
	}
	return cs
}

// ownedIDs lists the endpoints of a group that this VM has not released.
func (d *Node) ownedIDs(g claim.Group) (ids []string) {
	for id := range d.roster.groups[g] {
		if d.scheduler.Owned(id) {
			ids = append(ids, id)
		}
	}
	return ids
}
