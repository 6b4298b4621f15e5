package claim

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// best returns the VM that should own an unowned group, by rendezvous hashing weighted by power, so that
// the groups of a lost VM spread over all others. VMs of the group's own failure domain come first, then
// those of its fallback domain, then any. A group handed over by a VM that stays goes to the least loaded neighbour.
func (t *Table) best(now time.Time, g Candidate, peers []Peer, from netip.AddrPort) (best netip.AddrPort) {
	if vm := t.successor(now, g, peers, from); vm.IsValid() {
		return vm
	}
	topWeight, tier, key := 0.0, 0, g.key()
	fallback := t.fallbackDomain(key, peers)
	consider := func(vm netip.AddrPort, domain string, power float64, strained bool) {
		c := 0 // own domain, then fallback domain, then others; in each, VMs that aren't strained first
		switch domain {
		case g.Domain:
			c = 4
		case fallback:
			c = 2
		}
		if !strained {
			c++
		}
		w := weight(key, vm, power)
		if !best.IsValid() || c > tier || (c == tier && w > topWeight) {
			best, topWeight, tier = vm, w, c
		}
	}
	if t.self != from {
		consider(t.self, t.domain, t.power, t.strained)
	}
	for _, p := range peers {
		if p.Live && !p.Leaving && p.VM != from {
			consider(p.VM, p.Domain, p.Power, p.Strained)
		}
	}
	return best
}

// fallbackDomain returns the failure domain whose VMs own the units of a domain that has no VM left.
//
// Choosing the best of all known VMs instead would cause conflicts: in a large deployment each VM has links
// to only some VMs of other domains. VMs that don't know each other would claim the same groups and take them
// from each other, and jobs on them would fail; the logs would show groups dropped for a higher fence. But every
// VM knows some VMs of each domain and all of its own, so all agree on the fallback domain, and the VMs of that
// domain agree on the owner.
func (t *Table) fallbackDomain(key string, peers []Peer) (best string) {
	topHash := uint64(0)
	consider := func(domain string) {
		if w := xxhash.Sum64String(key + "|" + domain); best == "" || w > topHash {
			best, topHash = domain, w
		}
	}
	consider(t.domain)
	for _, p := range peers {
		if p.Domain != t.domain && p.Live && !p.Leaving {
			consider(p.Domain)
		}
	}
	return best
}

// weight returns a VM's rendezvous score for a key. The chance of the highest score grows with the square
// of the power, since a weak owner delays all jobs of its pool.
func weight(key string, vm netip.AddrPort, power float64) float64 {
	if power <= 0 {
		power = 1
	}
	h := xxhash.Sum64String(key + "|" + vm.String())
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -power * power / math.Log(u)
}
