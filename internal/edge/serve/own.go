package serve

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/mesh/view"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/lease"
)

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

// heldOf lists the endpoints of a group that this VM has not let go of.
func (d *Node) heldOf(group string) (ids []string) {
	for id, g := range d.group {
		if g == group && d.book.Owned(id) {
			ids = append(ids, id)
		}
	}
	return ids
}
