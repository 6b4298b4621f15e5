package serve

import (
	"github.com/cespare/xxhash/v2"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/task/lease"
)

const (
	// shards is into how many groups a failure domain's endpoints are divided. It bounds
	// the owners of a domain; 32 of 24 endpoints each are 768.
	shards = 32
	// mostOwned is how many endpoints one VM should own if its link carries their orders. More make
	// a better pool: with 12, a wide job finds room; with 88, one of 0.2 cores can't keep up with a
	// burst.
	mostOwned = 24
	// leastOwned keeps a pool in which a job of eight tasks of half an endpoint fits.
	leastOwned = 4
	// ownedRate is the part of a link, in bytes a second, that an owned endpoint asks for: the orders
	// and looks of an endpoint of two or three tasks at a time take 6 KB/s in the mean, and what is
	// urgent waits on a link of which more than a third is used.
	ownedRate = 20_000
)

// perOwner is how many endpoints a VM should own whose link carries so many bytes a second.
//
// What goes wrong with one figure for all links: one VM of a failure domain sends the orders of 30
// endpoints through 2 Mbit/s, while its neighbours' links idle; each order waits for those before
// it. One notices jobs that begin 65 ms after they came, in the median, on a calm day. 16 VMs on such
// links, 122 endpoints: worth 0.616 to 0.855 of a calm day, -0.104 to 0.639 of one with bursts (one
// play each). With half as many endpoints each bursts are worth 0.02 more, but where a domain has
// only 15 endpoints two pools of them earn 0.02 to 0.04 less than one.
func perOwner(link float64) int {
	if link <= 0 {
		return mostOwned
	}
	return min(mostOwned, max(leastOwned, int(link/ownedRate)))
}

// roster is what the platform lists, by group. A look at a group must not cost a look at
// all endpoints: with 3,000 of them it would take a VM a tenth of a core.
type roster struct {
	all    map[string]lease.Info
	groups map[claim.Group]map[string]bool // the endpoints of each
	sizes  map[string]int                  // endpoints of each failure domain
	dead   map[string]bool                 // listed, but another life answers at their address
	per    int                             // endpoints that one VM should own
}

func newRoster(per int) *roster {
	return &roster{per: per, all: map[string]lease.Info{}, groups: map[claim.Group]map[string]bool{}, sizes: map[string]int{}, dead: map[string]bool{}}
}

// groupOf is the group of an endpoint.
func groupOf(in lease.Info) claim.Group {
	return claim.Group{Domain: in.Domain, Shard: uint8(xxhash.Sum64String(in.ID) % shards)}
}

// bury drops an endpoint at whose address another life answers. What goes wrong without it: its
// entry stays listed for seconds after a restart, and its owner takes it over and loses it again
// with each heartbeat.
func (r *roster) bury(id string) {
	if _, ok := r.all[id]; ok {
		r.remove(id)
		r.dead[id] = true
	}
}

// put takes a listed endpoint in. An id names one life, so one that is dead stays so while it
// is listed.
func (r *roster) put(in lease.Info) {
	if r.dead[in.ID] {
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

// unit is the part of a domain that is best owned by one VM: so many groups that it has
// enough endpoints. VMs that see different sizes only prefer other owners; the groups stay
// the same.
func (r *roster) unit(g claim.Group) int {
	owners := min(shards, max(1, (r.sizes[g.Domain]+r.per/2)/r.per))
	return int(g.Shard) * owners / shards
}
