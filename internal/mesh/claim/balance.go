package claim

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// countUnits counts the units of this failure domain that each VM owns, according to heartbeats.
func (t *Table) countUnits(candidates []Candidate, peers []Peer) {
	clear(t.units)
	var unit [64]int // by shard of this domain; -1 if there is none
	for i := range unit {
		unit[i] = -1
	}
	counted := map[int]bool{}
	for _, s := range candidates {
		if s.Domain != t.domain {
			continue
		}
		unit[s.Shard] = s.Unit
		if o := t.owned[s.Group]; o != nil && !o.HandingOver && !counted[s.Unit] {
			counted[s.Unit] = true
			t.units[t.self]++
		}
	}
	for _, p := range peers {
		if p.Domain != t.domain {
			continue
		}
		clear(counted)
		for _, c := range p.Claims {
			if c.Domain != t.domain || c.Giving {
				continue
			}
			for set := c.Shards; set != 0; set &= set - 1 {
				if u := unit[bits.TrailingZeros64(set)]; u >= 0 && !counted[u] {
					counted[u] = true
					t.units[p.VM]++
				}
			}
		}
	}
}

// load returns the units per core of a VM of this domain if it gets extra units.
func (t *Table) load(vm netip.AddrPort, power float64, extra int) float64 {
	if power <= 0 {
		power = 1
	}
	return float64(t.units[vm]+extra) / power
}

// leastLoaded returns the VM of this domain with the lowest load after one more unit, among healthy ones that
// have been up for stableAfter. Ties are broken by hash weight.
func (t *Table) leastLoaded(now time.Time, key string, peers []Peer, except netip.AddrPort) (best netip.AddrPort, least float64) {
	topWeight := 0.0
	consider := func(vm netip.AddrPort, power float64) {
		c, w := t.load(vm, power, 1), weight(key, vm, power)
		if !best.IsValid() || c < least || (c == least && w > topWeight) {
			best, least, topWeight = vm, c, w
		}
	}
	if t.self != except && !t.strained && now.Sub(t.began) >= stableAfter {
		consider(t.self, t.power)
	}
	for _, p := range peers {
		if p.Domain == t.domain && p.VM != except && p.healthy() && now.Sub(p.Since) >= stableAfter {
			consider(p.VM, p.Power)
		}
	}
	return best, least
}

// surplusUnit returns a unit that this VM should hand over, if any: it owns several, and a neighbour would have
// a lower load with one more.
//
// Without it the VM that starts first, or stays up while the others restart, owns all units of a domain for its
// lifetime. In a burst its jobs are late while its neighbours are idle. Hashing alone does not balance either: it
// gives one of five VMs three of six units. An owner moves one unit at a time, and only after stableAfter
// without changes, so that a VM that restarts repeatedly gets none.
func (t *Table) surplusUnit(now time.Time, candidates []Candidate, peers []Peer) (unit string) {
	if t.units[t.self] < 2 {
		return ""
	}
	for _, g := range candidates {
		o := t.owned[g.Group]
		switch {
		case o == nil || g.Domain != t.domain:
		case o.HandingOver || now.Sub(o.since) < stableAfter:
			return ""
		case unit == "" || g.key() < unit:
			unit = g.key()
		}
	}
	if to, least := t.leastLoaded(now, unit, peers, t.self); !to.IsValid() || least >= t.load(t.self, t.power, 0) {
		return ""
	}
	return unit
}

// successor returns the VM that takes over a group which its owner hands over without leaving. It is invalid
// if there is no such owner, or the group belongs to another domain.
func (t *Table) successor(now time.Time, g Candidate, peers []Peer, from netip.AddrPort) (vm netip.AddrPort) {
	ownerStays := slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == from && p.Domain == t.domain && !p.Leaving })
	if !ownerStays || g.Domain != t.domain {
		return vm
	}
	vm, _ = t.leastLoaded(now, g.key(), peers, from)
	return vm
}
