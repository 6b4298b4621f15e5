package view

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Links sets how many VMs of other failure domains links are kept to.
func (v *View) Links(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.links = n
	v.pick()
}

// pick chooses the links: all VMs of the own failure domain, and a few of the others
// by rendezvous hashing. Links to all others would cost messages that grow with the
// number of VMs; news travels over the few in some hops. The caller holds the lock.
func (v *View) pick() {
	type ranked struct {
		vm netip.AddrPort
		w  uint64
	}
	var far []ranked
	for vm, m := range v.all {
		if m.Domain != v.domain {
			far = append(far, ranked{vm, rank(v.self, vm)})
		}
	}
	slices.SortFunc(far, func(a, b ranked) int { return cmp.Compare(b.w, a.w) })
	picked := map[netip.AddrPort]bool{}
	for _, f := range far[:min(len(far), v.farLinks(len(v.all)-len(far)))] {
		picked[f.vm] = true
	}
	for vm, m := range v.all {
		if want := m.Domain == v.domain || picked[vm]; want != m.Picked {
			c := *m
			c.Picked = want
			v.all[vm] = &c
		}
	}
}

// farLinks is how many links to other failure domains a VM keeps that has so many neighbours.
//
// What goes wrong with one figure for all sizes: heartbeats over links to 74 neighbours and 32 VMs
// of other domains, and as many again that chose this one, are most of what 300 VMs do. One notices
// processor time that grows faster than the fleet. With 32 neighbours or fewer nothing changes.
func (v *View) farLinks(neighbours int) int {
	return min(v.links, max(leastFar, mostLinks-neighbours))
}

// rank is the same for both VMs of a pair, so that they mostly pick each other.
func rank(a, b netip.AddrPort) uint64 {
	if b.Compare(a) < 0 {
		a, b = b, a
	}
	return xxhash.Sum64String(a.String() + "|" + b.String())
}

// Speaks reports whether heartbeats go to a member: to those picked, and to those
// that picked this VM and are heard. One that leaves still needs them: it has jobs with
// owners, and would take their silence for a loss.
func (m *Member) Speaks() bool {
	return m.Picked || m.State == Alive || m.State == Suspect || m.State == Left
}
