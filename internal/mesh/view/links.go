package view

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Links sets how many VMs of other failure domains this VM keeps links to.
func (v *View) Links(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remoteLinks = n
	v.pickLinks()
}

// pickLinks chooses the links: all VMs of this failure domain, and a few of the others by rendezvous hashing.
// With links to all VMs, each VM's messages would grow with the number of VMs; with few links, news reaches
// distant VMs through others in between.
// The caller holds the lock.
func (v *View) pickLinks() {
	type ranked struct {
		vm netip.AddrPort
		w  uint64
	}
	var remote []ranked
	for vm, m := range v.members {
		if m.Domain != v.domain {
			remote = append(remote, ranked{vm, rank(v.self, vm)})
		}
	}
	slices.SortFunc(remote, func(a, b ranked) int { return cmp.Compare(b.w, a.w) })
	picked := map[netip.AddrPort]bool{}
	for _, f := range remote[:min(len(remote), v.remoteLinkCount(len(v.members)-len(remote)))] {
		picked[f.vm] = true
	}
	for vm, m := range v.members {
		if pick := m.Domain == v.domain || picked[vm]; pick != m.Picked {
			c := *m
			c.Picked = pick
			v.members[vm] = &c
		}
	}
}

// remoteLinkCount returns how many links to other failure domains a VM with so many neighbours keeps.
//
// A fixed number does not scale: with 300 VMs, heartbeats to 74 neighbours, to 32 VMs of other domains and to
// as many that picked this one are most of the work, and CPU time grows faster than the number of VMs. With 32
// neighbours or fewer the full number is kept.
func (v *View) remoteLinkCount(neighbours int) int {
	return min(v.remoteLinks, max(minRemoteLinks, maxLinks-neighbours))
}

// rank returns the same value on both VMs of a pair, so that they mostly pick each other.
func rank(a, b netip.AddrPort) uint64 {
	if b.Compare(a) < 0 {
		a, b = b, a
	}
	return xxhash.Sum64String(a.String() + "|" + b.String())
}

// Speaks reports whether a member is sent heartbeats: if this VM picked it, or it picked this VM and is
// heard. A leaving member still needs them: it has jobs with owners, and would take their silence for a loss.
func (m *Member) Speaks() bool {
	return m.Picked || m.State == Alive || m.State == Suspect || m.State == Left
}
