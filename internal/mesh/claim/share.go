package claim

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// count notes how many units of the own domain each VM keeps, as heartbeats tell.
func (b *Book) count(seats []Seat, peers []Peer) {
	clear(b.units)
	var unit [64]int // of each of the domain's groups
	for i := range unit {
		unit[i] = -1
	}
	seen := map[int]bool{}
	for _, s := range seats {
		if s.Domain != b.domain {
			continue
		}
		unit[s.Shard] = s.Unit
		if o := b.own[s.Group]; o != nil && !o.Giving && !seen[s.Unit] {
			seen[s.Unit] = true
			b.units[b.self]++
		}
	}
	for _, p := range peers {
		if p.Domain != b.domain {
			continue
		}
		clear(seen)
		for _, c := range p.Claims {
			if c.Domain != b.domain || c.Giving {
				continue
			}
			for set := c.Shards; set != 0; set &= set - 1 {
				if u := unit[bits.TrailingZeros64(set)]; u >= 0 && !seen[u] {
					seen[u] = true
					b.units[p.VM]++
				}
			}
		}
	}
}

// carries is what a VM of the own domain has to carry for each core if it gets so many units more.
func (b *Book) carries(vm netip.AddrPort, power float64, more int) float64 {
	if power <= 0 {
		power = 1
	}
	return float64(b.units[vm]+more) / power
}

// lightest returns the neighbour that would have the least to carry with one unit more, of those
// that have been there for a while; of equal ones the best by hashing.
func (b *Book) lightest(now time.Time, key string, peers []Peer, but netip.AddrPort) (best netip.AddrPort, least float64) {
	top := 0.0
	look := func(vm netip.AddrPort, power float64) {
		c, w := b.carries(vm, power, 1), weight(key, vm, power)
		if !best.IsValid() || c < least || (c == least && w > top) {
			best, least, top = vm, c, w
		}
	}
	if b.self != but && !b.strained && now.Sub(b.began) >= calm {
		look(b.self, b.power)
	}
	for _, p := range peers {
		if p.Domain == b.domain && p.VM != but && p.fit() && now.Sub(p.Since) >= calm {
			look(p.VM, p.Power)
		}
	}
	return best, least
}

// spare returns the unit that this VM should hand over, if any: it has several, and a neighbour
// would have less to carry with one more of them.
//
// What goes wrong without it: whoever is there first, or is left when the others restart, owns all
// units of a domain for as long as it lives, and can't keep up with a burst while its neighbours are
// idle; and hashing gives one of five VMs three of six units. One notices late jobs of one owner. An
// owner moves one unit at a time, and only after a while in which nothing changed, so that a VM that
// keeps restarting gets none.
func (b *Book) spare(now time.Time, seats []Seat, peers []Peer) (unit string) {
	if b.units[b.self] < 2 {
		return ""
	}
	for _, g := range seats {
		o := b.own[g.Group]
		switch {
		case o == nil || g.Domain != b.domain:
		case o.Giving || now.Sub(o.since) < calm:
			return ""
		case unit == "" || g.key() < unit:
			unit = g.key()
		}
	}
	if to, least := b.lightest(now, unit, peers, b.self); !to.IsValid() || least >= b.carries(b.self, b.power, 0) {
		return ""
	}
	return unit
}

// relief returns who takes over a group that an owner which stays hands over; invalid if there is no
// such owner, or the group is another domain's.
func (b *Book) relief(now time.Time, g Seat, peers []Peer, giving netip.AddrPort) (vm netip.AddrPort) {
	stays := slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == giving && p.Domain == b.domain && !p.Leaving })
	if !stays || g.Domain != b.domain {
		return vm
	}
	vm, _ = b.lightest(now, g.key(), peers, giving)
	return vm
}
