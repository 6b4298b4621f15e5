package serve

import (
	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/task/lease"
)

const (
	// shards is the number of groups into which a failure domain's endpoints are divided. It limits the owners of a domain;
	// 32 groups of 24 endpoints are 768.
	shards = 32
	// maxOwned is how many endpoints one VM should own if its link can carry their orders. Larger pools are better: with 12
	// a wide job finds room. But with 88, a VM of 0.2 cores can't keep up with a burst.
	maxOwned = 24
	// minOwned is a pool with room for a job of eight tasks of half an endpoint each.
	minOwned = 4
	// endpointRate is the link capacity reserved for each owned endpoint, in bytes a second. Orders and renewals of an
	// endpoint with two or three tasks at a time take 6 KB/s on average, and urgent messages wait on a link that is more
	// than a third used.
	endpointRate = 20_000
)

// perOwner returns how many endpoints a VM should own; link is its link's rate in bytes a second, or 0 if unknown.
//
// With one figure for all links, one VM of a failure domain sent the orders of 30 endpoints through 2 Mbit/s while its
// neighbours' links were idle. Each order waited for those before it, and the median job began 65 ms after it arrived,
// on a calm day. Scores of 16 VMs on such links with 122 endpoints went from 0.616 to 0.855 on a calm day and from
// -0.104 to 0.639 on one with bursts (one run each). With half as many endpoints per VM bursts score 0.02 more, but in
// a domain of only 15 endpoints two pools score 0.02 to 0.04 less than one.
func perOwner(link float64) int {
	if link <= 0 {
		return maxOwned
	}
	return min(maxOwned, max(minOwned, int(link/endpointRate)))
}

// roster holds the listed endpoints, indexed by group: scanning all 3,000 endpoints for each lookup of a group would
// take a tenth of a core.
type roster struct {
	all    map[string]lease.Info
	groups map[claim.Group]map[string]bool // IDs of the endpoints of each group
	sizes  map[string]int                  // number of endpoints of each failure domain
	dead   map[string]bool                 // listed, but another incarnation answers at the address
	perVM  int                             // endpoints that one VM should own
}

func newRoster(perVM int) *roster {
	return &roster{perVM: perVM, all: map[string]lease.Info{}, groups: map[claim.Group]map[string]bool{}, sizes: map[string]int{}, dead: map[string]bool{}}
}

// groupOf returns the group of an endpoint.
func groupOf(in lease.Info) claim.Group {
	return claim.Group{Domain: in.Domain, Shard: uint8(xxhash.Sum64String(in.ID) % shards)}
}

// markDead removes an endpoint at whose address another incarnation answers. Its entry stays listed for seconds after a
// restart, and without the mark its owner would adopt and lose it again with each heartbeat.
func (r *roster) markDead(id string) {
	if _, ok := r.all[id]; ok {
		r.remove(id)
		r.dead[id] = true
	}
}

// put adds or updates a listed endpoint. An ID names one incarnation, so an endpoint marked dead stays dead while it is
// listed. An entry of a former process is dropped: copies from neighbours may be older than what was read before.
func (r *roster) put(in lease.Info) {
	if r.dead[in.ID] || (in.Born > 0 && in.Born < r.all[in.ID].Born) {
		return
	}
	if old, ok := r.all[in.ID]; ok && old.Domain != in.Domain {
		r.remove(in.ID)
	}
	g := groupOf(in)
	if r.groups[g] == nil {
		r.groups[g] = map[string]bool{}
	}
	if !r.groups[g][in.ID] {
		r.groups[g][in.ID] = true
		r.sizes[in.Domain]++
	}
	r.all[in.ID] = in
}

func (r *roster) remove(id string) {
	delete(r.dead, id)
	in, ok := r.all[id]
	if !ok {
		return
	}
	g := groupOf(in)
	delete(r.all, id)
	delete(r.groups[g], id)
	if len(r.groups[g]) == 0 {
		delete(r.groups, g)
	}
	if r.sizes[in.Domain]--; r.sizes[in.Domain] == 0 {
		delete(r.sizes, in.Domain)
	}
}

// unit returns the part of a domain to which a group belongs. A part is best owned by one VM: it has as many groups as
// give that VM enough endpoints. VMs that see different sizes only prefer other owners; the groups stay the same.
func (r *roster) unit(g claim.Group) int {
	owners := min(shards, max(1, (r.sizes[g.Domain]+r.perVM/2)/r.perVM))
	return int(g.Shard) * owners / shards
}
